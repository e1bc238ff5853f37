//! Waiting tasks of one team.

use std::collections::BTreeMap;

use crate::Time;

/// Order within a team: older submissions first, then those with fewer tasks left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Arrival time of the submission.
    pub(crate) arrived: Time,
    /// Number of unfinished tasks of the submission.
    pub(crate) left: u16,
    /// Sequence number of the order at this placer.
    pub(crate) seq: u64,
}

/// Waiting tasks of one team and the service that it has received.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    /// Virtual time: service received in microseconds, divided by the weight.
    pub(crate) vtime: u64,
    /// Weight of the team.
    pub(crate) weight: u32,
    /// Slots of the waiting tasks in the task table.
    pub(crate) tasks: BTreeMap<Rank, u32>,
}
