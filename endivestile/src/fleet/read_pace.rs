//! Pace of this host's reads of the store.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use endivestile_kernel::fleet::ReadShare;

/// The store's read rate, and the number of hosts that share it.
#[derive(Debug, Clone)]
pub(crate) struct ReadPace {
    hosts: Arc<AtomicU32>,
    reads_per_s: u32,
}

impl ReadPace {
    /// Starts with this host as the only one. `reads_per_s` is the number of reads per second
    /// that the store serves to all hosts together; 0 if unknown.
    pub(crate) fn new(reads_per_s: u32) -> Self {
        Self { hosts: Arc::new(AtomicU32::new(1)), reads_per_s }
    }

    /// Sets the number of registered hosts.
    pub(crate) fn set_hosts(&self, hosts: usize) {
        self.hosts.store(u32::try_from(hosts).unwrap_or(u32::MAX).max(1), Ordering::Relaxed);
    }

    /// Returns the shortest time between two calls of this host, in milliseconds.
    pub(crate) fn interval_ms(&self, share: ReadShare) -> u64 {
        share.interval_ms(self.hosts.load(Ordering::Relaxed), self.reads_per_s)
    }
}
