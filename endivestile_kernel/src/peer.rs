//! Incarnations of entry hosts.

use std::fmt;

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

/// One incarnation of an entry host: a restarted host is another peer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Peer {
    /// Name of the host in the inventory.
    pub host: Name,
    /// Number of the incarnation, different at every start of the host's process. The numbers of
    /// two starts have no order.
    pub birth: u64,
}

impl Peer {
    /// Creates the identity of incarnation `birth` of `host`.
    pub fn new(host: impl Into<Name>, birth: u64) -> Self {
        Self { host: host.into(), birth }
    }
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{:x}", self.host, self.birth)
    }
}
