//! Injected faults of the store and counts of its calls.

/// Faults currently injected.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Whether every call is refused.
    pub(crate) down: bool,
    /// Whether calls block until the store is up again.
    pub(crate) hang: bool,
    /// Delay of every call, in milliseconds.
    pub(crate) delay_ms: u64,
    /// Number of further writes that take effect but get no answer.
    pub(crate) answers_to_lose: u32,
    /// Number of further calls that are refused without effect.
    pub(crate) calls_to_refuse: u32,
}

/// How the store treats a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallAction {
    /// Serve the call.
    Serve,
    /// Block the call until the store is up again.
    Hang,
    /// Refuse the call without effect.
    Refuse,
}

impl Faults {
    /// Returns the action for a call that has just arrived and updates the fault counts.
    pub(crate) fn next_action(&mut self) -> CallAction {
        if self.hang {
            return CallAction::Hang;
        }
        if self.down {
            return CallAction::Refuse;
        }
        if decrement(&mut self.calls_to_refuse) { CallAction::Refuse } else { CallAction::Serve }
    }

    /// Returns whether the answer to a completed write is lost and updates the fault count.
    pub(crate) fn loses_answer(&mut self) -> bool {
        decrement(&mut self.answers_to_lose)
    }
}

/// Decrements a count and returns whether it was above zero.
fn decrement(count: &mut u32) -> bool {
    let positive = *count > 0;
    *count = count.saturating_sub(1);
    positive
}

/// Number of calls that reached the store, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct CallCounts {
    /// Reads of a key or range.
    pub range: u64,
    /// Writes outside a transaction.
    pub put: u64,
    /// Deletes outside a transaction.
    pub delete: u64,
    /// Transactions.
    pub txn: u64,
    /// Watches created.
    pub watch: u64,
    /// Watches open now.
    pub waiting: u64,
    /// Leases granted or revoked.
    pub lease: u64,
    /// Keep-alives of leases.
    pub keepalive: u64,
    /// Events sent to watches.
    pub events: u64,
}

impl CallCounts {
    /// Returns the number of calls of all kinds. A watch counts once, when it is created.
    pub fn total(&self) -> u64 {
        self.range + self.put + self.delete + self.txn + self.watch + self.lease + self.keepalive
    }

    /// Returns the number of calls that write.
    pub fn writes(&self) -> u64 {
        self.put + self.delete + self.txn + self.lease + self.keepalive
    }
}
