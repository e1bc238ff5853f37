//! Timers of the placer.

/// Action of an expired timer, with the slot of the task or the index of the pool
/// or backend that it concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Give up a waiting task that can no longer meet its deadline.
    Expire(u32),
    /// Stop waiting for a faster backend.
    WaitLimit(u32),
    /// Probe an ejected backend.
    Probe(u32),
    /// Offer blocked slots again.
    Unblock(u32),
    /// Adjust run times without recent samples.
    RevisitRunTimes,
}
