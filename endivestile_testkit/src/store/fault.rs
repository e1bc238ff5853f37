//! Faults of the store and counts of its calls.

/// Faults in force.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Whether every call is refused.
    pub(crate) down: bool,
    /// Whether calls hang until the store is up again.
    pub(crate) hang: bool,
    /// Delay of every call, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Writes that still lose their answers after they took effect.
    pub(crate) answers_to_lose: u32,
    /// Calls that are still refused without effect.
    pub(crate) calls_to_refuse: u32,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallAction {
    /// It is served.
    Serve,
    /// It waits until the store is up again.
    Hang,
    /// It is refused without effect.
    Refuse,
}

impl Faults {
    /// Decides on one call that arrives now.
    pub(crate) fn next_action(&mut self) -> CallAction {
        if self.hang {
            return CallAction::Hang;
        }
        if self.down {
            return CallAction::Refuse;
        }
        if take(&mut self.calls_to_refuse) { CallAction::Refuse } else { CallAction::Serve }
    }

    /// Tells whether the answer to a write that took effect is lost.
    pub(crate) fn loses_answer(&mut self) -> bool {
        take(&mut self.answers_to_lose)
    }
}

/// Takes one from a count, unless it is used up.
fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}

/// Calls that reached the store, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads of a key or range.
    pub range: u64,
    /// Plain writes.
    pub put: u64,
    /// Deletes.
    pub delete: u64,
    /// Transactions.
    pub txn: u64,
    /// Watches created.
    pub watch: u64,
    /// Watches that wait now.
    pub waiting: u64,
    /// Leases granted or revoked.
    pub lease: u64,
    /// Keep-alives of leases.
    pub keepalive: u64,
    /// Events sent to watches.
    pub events: u64,
}

impl CallCounts {
    /// Returns the calls of all kinds; a waiting watch counts as one.
    pub fn total(&self) -> u64 {
        self.range + self.put + self.delete + self.txn + self.watch + self.lease + self.keepalive
    }

    /// Returns the calls that write.
    pub fn writes(&self) -> u64 {
        self.put + self.delete + self.txn + self.lease + self.keepalive
    }
}
