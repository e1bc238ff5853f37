//! Priority queue of the tasks that wait for free capacity.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::Time;
use crate::fleet::workers::run::TaskRef;

/// Position of a task in the queue; the lowest goes first.
///
/// Jobs that can still meet their objective go before late ones: under overload, serving
/// late jobs first would make every job late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Whether the job can no longer meet its objective.
    pub(crate) late: bool,
    /// Rank among tasks with the same `late`, see [`WaitingTask::rank`].
    ///
    /// [`WaitingTask::rank`]: crate::fleet::admission::order::WaitingTask::rank
    pub(crate) rank: (u32, Time),
    /// Insertion number; breaks ties first in, first out.
    pub(crate) seq: u64,
}

impl QueueKey {
    /// Sorts before all late tasks and after all others.
    const FIRST_LATE: Self = Self { late: true, rank: (0, Time::ZERO), seq: 0 };
}

/// Waiting tasks of one service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tasks: BTreeMap<QueueKey, TaskRef>,
    seq: u64,
}

impl Queue {
    /// Adds a task and returns its position.
    pub(crate) fn push(&mut self, late: bool, rank: (u32, Time), task: TaskRef) -> QueueKey {
        self.seq += 1;
        let key = QueueKey { late, rank, seq: self.seq };
        self.tasks.insert(key, task);
        key
    }

    /// Removes the task at a position, if any.
    pub(crate) fn remove(&mut self, key: &QueueKey) {
        self.tasks.remove(key);
    }

    /// Returns the first task after a position, or the first one without a position.
    pub(crate) fn next_after(&self, key: Option<QueueKey>) -> Option<(QueueKey, TaskRef)> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let first = self.tasks.range((from, Bound::Unbounded)).next();
        first.map(|(key, task)| (*key, *task))
    }

    /// Returns the tasks of late jobs in queue order.
    pub(crate) fn late_tasks(&self) -> impl Iterator<Item = (&QueueKey, &TaskRef)> {
        self.tasks.range(QueueKey::FIRST_LATE..)
    }

    /// Returns the number of waiting tasks.
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }
}
