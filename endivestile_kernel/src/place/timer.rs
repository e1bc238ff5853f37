//! What a placer does at an instant.

/// What a placer does at an instant, by slot of the task, back end or pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Give up a waiting task that can't make its deadline.
    Expire(u32),
    /// Stop waiting for a faster back end.
    WaitLimit(u32),
    /// Probe a back end that is out.
    Probe(u32),
    /// Believe refused slots free again.
    Unblock(u32),
    /// Look after speeds that were not confirmed for long.
    RevisitRunTimes,
}
