//! Waiting tasks of one team.

use std::collections::BTreeMap;

use crate::Time;

/// Order within a team: older submissions first, then jobs with fewer tasks left.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Arrival of the submission.
    pub(crate) arrived: Time,
    /// Tasks of the submission not yet finished.
    pub(crate) left: u16,
    /// Number of the order at this placer.
    pub(crate) seq: u64,
}

/// Waiting tasks of one team, and the service it has had.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    /// Service had, in microseconds over the team's weight.
    pub(crate) vtime: u64,
    /// Weight of the team.
    pub(crate) weight: u32,
    /// Slots of the waiting tasks in the placer's table.
    pub(crate) tasks: BTreeMap<Rank, u32>,
}
