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

/// What the stand-in's owner and its service share.
#[derive(Debug, Default)]
pub(crate) struct Shared {
    /// Keys, leases and watchers.
    keyspace: Mutex<Keyspace>,
    /// Faults in force.
    faults: Mutex<Faults>,
    /// Calls counted so far.
    counts: Mutex<CallCounts>,
    /// Told when the store comes up again.
    up: Notify,
    /// Told when the stand-in ends.
    end: Notify,
}
