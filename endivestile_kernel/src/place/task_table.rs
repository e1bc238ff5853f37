//! Table of the tasks of a placer, waiting or running.

use super::resources::Resources;
use super::team_queue::Rank;
use crate::{AttemptId, Peer, PlaceRequest, Time};

/// One call to a backend.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BackendCall {
    /// Identifier of the call.
    pub(crate) attempt: AttemptId,
    /// Index of the backend.
    pub(crate) backend: u32,
    /// Start time.
    pub(crate) started: Time,
    /// Cost charged to its team, in microseconds.
    pub(crate) cost: u64,
    /// Whether the home still waits for the answer.
    pub(crate) awaited: bool,
}

/// A waiting or running task.
#[derive(Debug)]
pub(crate) struct TaskEntry {
    /// Host that sent the order.
    pub(crate) home: Peer,
    /// The order.
    pub(crate) order: PlaceRequest,
    /// Index of its pool.
    pub(crate) pool: u32,
    /// Index of its team.
    pub(crate) team: u32,
    /// Sequence number of the order at this placer.
    pub(crate) seq: u64,
    /// Natural logarithm of its estimated size, 0 for a typical one.
    pub(crate) ln_size: f64,
    /// Until when it waits for a faster backend than the free ones; `None` before it
    /// has waited for one.
    pub(crate) wait_until: Option<Time>,
    /// When it is given up unless it has started.
    pub(crate) expires_at: Time,
    /// Number of calls that failed to start it.
    pub(crate) failed_starts: u8,
    /// Number of smaller tasks that were started before it because it did not fit.
    pub(crate) overtaken: u8,
    /// Whether it is admitted as a trial although its estimated run time exceeds its
    /// deadline.
    pub(crate) trial: bool,
    /// Worker reserved for it.
    pub(crate) reserved_worker: Option<u32>,
    /// The current call, while it runs.
    pub(crate) call: Option<BackendCall>,
}

impl TaskEntry {
    /// Returns its rank among the tasks of its team.
    pub(crate) const fn rank(&self) -> Rank {
        Rank { arrived: self.order.arrived, left: self.order.remaining, seq: self.seq }
    }

    /// Returns the capacity that it needs.
    pub(crate) fn demand(&self) -> Resources {
        Resources::demand_of(&self.order.task.target)
    }
}

/// Table of tasks with stable slots.
#[derive(Debug, Default)]
pub(crate) struct TaskTable {
    slots: Vec<Option<TaskEntry>>,
    vacant: Vec<u32>,
}

impl TaskTable {
    /// Adds a task and returns its slot.
    pub(crate) fn insert(&mut self, task: TaskEntry) -> u32 {
        if let Some(slot) = self.vacant.pop() {
            self.slots[slot as usize] = Some(task);
            return slot;
        }
        self.slots.push(Some(task));
        (self.slots.len() - 1) as u32
    }

    /// Returns a task.
    pub(crate) fn get(&self, slot: u32) -> Option<&TaskEntry> {
        self.slots.get(slot as usize)?.as_ref()
    }

    /// Returns a task for modification.
    pub(crate) fn get_mut(&mut self, slot: u32) -> Option<&mut TaskEntry> {
        self.slots.get_mut(slot as usize)?.as_mut()
    }

    /// Removes a task.
    pub(crate) fn remove(&mut self, slot: u32) -> Option<TaskEntry> {
        let task = self.slots.get_mut(slot as usize)?.take()?;
        self.vacant.push(slot);
        Some(task)
    }

    /// Returns all tasks with their slots.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (u32, &TaskEntry)> {
        let slots = self.slots.iter().enumerate();
        slots.filter_map(|(slot, task)| Some((slot as u32, task.as_ref()?)))
    }

    /// Returns whether the table is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.slots.len() == self.vacant.len()
    }
}
