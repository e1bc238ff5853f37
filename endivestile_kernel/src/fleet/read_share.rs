//! Division of the store's read rate among the hosts.
//!
//! The store serves all hosts together at a limited rate, and most changes reach all hosts at
//! the same moment. If each host answered each of them with a call, a fleet that is large enough
//! would exceed the rate, and the refused calls would return as retries.

/// Shortest wait of one watch of the operators' keys, in milliseconds.
const MIN_OPERATOR_WATCH_MS: u32 = 900;

/// Returns the longest wait of one watch of the operators' keys, in milliseconds, if a
/// configuration has to apply within `config_ms`.
///
/// An unresponsive connection hides changes until the watch has ended and its call has timed out.
/// Half of the limit is left for the call and for reading the keys again.
pub fn operator_watch_ms(config_ms: u32) -> u32 {
    (config_ms / 2).max(MIN_OPERATOR_WATCH_MS)
}

/// Part of the store's read rate that one kind of reads of all hosts together may use. The parts
/// add up to less than the whole, which leaves room for hosts that start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadShare {
    /// Watches of host registrations and ownership records.
    Records,
    /// Watches of the operators' keys.
    OperatorKeys,
    /// Reads of the list of workers by hosts that own none.
    Background,
    /// Reads of owners, whose number does not follow that of the hosts.
    Unlimited,
}

impl ReadShare {
    const fn percent(self) -> Option<u64> {
        match self {
            Self::Records => Some(40),
            Self::OperatorKeys => Some(20),
            Self::Background => Some(1),
            Self::Unlimited => None,
        }
    }

    /// Returns the shortest time between two calls of one host, in milliseconds, at which the
    /// calls of `hosts` hosts stay within this share of `reads_per_s`; 0 if there is no limit.
    /// A rate of 0 is unknown and sets none.
    pub fn interval_ms(self, hosts: u32, reads_per_s: u32) -> u64 {
        let rate = u64::from(reads_per_s) * self.percent().unwrap_or(0);
        if rate == 0 { 0 } else { (u64::from(hosts) * 100_000).div_ceil(rate) }
    }
}
