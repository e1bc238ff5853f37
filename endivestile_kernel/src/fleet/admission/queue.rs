//! Tasks that wait for room, in the order in which they are served.

use std::collections::BTreeMap;
use std::ops::Bound;

use crate::Time;
use crate::fleet::workers::run::TaskRef;

/// Place of a task in the queue; the lowest goes first.
///
/// A job that can still be served well goes before one that cannot: under
/// load, serving the late ones first makes every job late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    /// Whether its job can no longer be served well.
    pub(crate) late: bool,
    /// Among these, the job that comes first: by the instant at which it has
    /// to start, or by priority and arrival once it is late.
    pub(crate) rank: (u32, Time),
    /// Among equals, the one that came first.
    pub(crate) seq: u64,
}

impl QueueKey {
    /// Lies before every late task and behind all others.
    const FIRST_LATE: Self = Self { late: true, rank: (0, Time::ZERO), seq: 0 };
}

/// Queue of one service.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    tasks: BTreeMap<QueueKey, TaskRef>,
    seq: u64,
}

impl Queue {
    /// Queues a task; returns its place.
    pub(crate) fn push(&mut self, late: bool, rank: (u32, Time), task: TaskRef) -> QueueKey {
        self.seq += 1;
        let key = QueueKey { late, rank, seq: self.seq };
        self.tasks.insert(key, task);
        key
    }

    /// Takes a task out.
    pub(crate) fn remove(&mut self, key: &QueueKey) {
        self.tasks.remove(key);
    }

    /// Returns the first task behind a place, or the first of all.
    pub(crate) fn next_after(&self, key: Option<QueueKey>) -> Option<(QueueKey, TaskRef)> {
        let from = key.map_or(Bound::Unbounded, Bound::Excluded);
        let first = self.tasks.range((from, Bound::Unbounded)).next();
        first.map(|(key, task)| (*key, *task))
    }

    /// Returns the tasks of late jobs, in their order.
    pub(crate) fn late_tasks(&self) -> impl Iterator<Item = (&QueueKey, &TaskRef)> {
        self.tasks.range(QueueKey::FIRST_LATE..)
    }

    /// Returns how many tasks wait.
    pub(crate) fn len(&self) -> usize {
        self.tasks.len()
    }
}
