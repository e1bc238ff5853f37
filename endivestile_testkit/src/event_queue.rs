//! Event queue of a discrete-event simulation.

use std::collections::BTreeMap;

/// Events ordered by virtual time. Events of the same time keep their insertion order.
#[derive(Debug)]
pub(crate) struct EventQueue<T> {
    events: BTreeMap<(u64, u64), T>,
    last_number: u64,
}

impl<T> EventQueue<T> {
    /// Creates an empty queue.
    pub(crate) fn new() -> Self {
        Self { events: BTreeMap::new(), last_number: 0 }
    }

    /// Adds an event at virtual time `at`.
    pub(crate) fn push(&mut self, at: u64, event: T) {
        self.last_number += 1;
        self.events.insert((at, self.last_number), event);
    }

    /// Removes and returns the earliest event, unless it is later than `end`.
    pub(crate) fn pop_until(&mut self, end: u64) -> Option<(u64, T)> {
        let entry = self.events.first_entry().filter(|entry| entry.key().0 <= end)?;
        let ((at, _), event) = entry.remove_entry();
        Some((at, event))
    }
}
