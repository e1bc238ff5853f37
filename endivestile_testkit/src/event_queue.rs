//! What is going to happen in a world of virtual time, in order.

use std::collections::BTreeMap;

/// Happenings by instant; those of one instant come in the order in which they
/// were planned.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    planned: BTreeMap<(u64, u64), T>,
    order: u64,
}

impl<T> EventQueue<T> {
    /// Starts with nothing planned.
    pub(crate) fn new() -> Self {
        Self { planned: BTreeMap::new(), order: 0 }
    }

    /// Plans a happening.
    pub(crate) fn push(&mut self, at: u64, happening: T) {
        self.order += 1;
        self.planned.insert((at, self.order), happening);
    }

    /// Takes the next happening that comes no later than `end`.
    pub(crate) fn pop_until(&mut self, end: u64) -> Option<(u64, T)> {
        let entry = self.planned.first_entry().filter(|entry| entry.key().0 <= end)?;
        let ((at, _), happening) = entry.remove_entry();
        Some((at, happening))
    }
}
