//! First-fit search over workers.

use super::resources::Resources;

/// Segment tree of maxima over the free capacity of workers, in order of
/// preference.
#[derive(Debug, Default)]
pub(crate) struct FitTree {
    width: usize,
    nodes: Vec<Resources>,
}

impl FitTree {
    /// Creates a tree of `len` leaves without capacity.
    pub(crate) fn new(len: usize) -> Self {
        let width = len.next_power_of_two().max(1);
        Self { width, nodes: vec![Resources::default(); 2 * width] }
    }

    /// Sets the capacity of a leaf.
    pub(crate) fn set(&mut self, at: usize, free: Resources) {
        let mut node = self.width + at;
        if self.nodes[node] == free {
            return;
        }
        self.nodes[node] = free;
        while node > 1 {
            node /= 2;
            self.nodes[node] = self.nodes[2 * node].max(&self.nodes[2 * node + 1]);
        }
    }

    /// Returns the capacity of a leaf.
    pub(crate) fn free(&self, at: usize) -> Resources {
        self.nodes[self.width + at]
    }

    /// Returns the first leaf at or after `from` that covers `demand`.
    pub(crate) fn find(&self, demand: &Resources, from: usize) -> Option<usize> {
        if from >= self.width {
            return None;
        }
        self.descend(1, self.width, 0, (demand, from))
    }

    fn descend(
        &self,
        node: usize,
        span: usize,
        start: usize,
        query: (&Resources, usize),
    ) -> Option<usize> {
        let (demand, from) = query;
        if start + span <= from || !self.nodes[node].covers(demand) {
            return None;
        }
        if span == 1 {
            return Some(start);
        }
        let half = span / 2;
        self.descend(2 * node, half, start, query)
            .or_else(|| self.descend(2 * node + 1, half, start + half, query))
    }
}
