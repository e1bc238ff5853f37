//! Stand-in for the platform's key-value store: an etcd v3 subset in memory.

mod fault;
mod keyspace;
mod service;
mod stand_in;
mod txn;
mod watcher;

pub use fault::CallCounts;
pub use stand_in::StoreStandIn;

use std::sync::Mutex;

use tokio::sync::Notify;

use fault::Faults;
use keyspace::Keyspace;

/// State shared by the test's handle and the service.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Keys, leases and watches.
    keyspace: Mutex<Keyspace>,
    /// Faults currently injected.
    faults: Mutex<Faults>,
    /// Number of calls so far.
    counts: Mutex<CallCounts>,
    /// Notified when the store comes up again.
    up: Notify,
    /// Notified when the stand-in is dropped.
    stop: Notify,
}
