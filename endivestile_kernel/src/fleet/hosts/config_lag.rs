//! Comparison of this host's configuration with that of its peers.

use crate::Time;

/// Time within which the watch of the store normally delivers a configuration that a peer has
/// already applied, in milliseconds.
const DELIVERY_MS: u64 = 300;

/// A configuration that peers have and this host does not.
#[derive(Debug, Default)]
pub struct ConfigLag {
    /// The latest version that a peer has, and since when this host has known of it, or when it
    /// last requested a read.
    newer: Option<(u64, Time)>,
}

impl ConfigLag {
    /// Compares this host's version with that of a peer, and returns whether to read the
    /// operators' keys now: the connection of the watch may have become unresponsive.
    pub fn observe(&mut self, now: Time, own: u64, theirs: u64) -> bool {
        self.newer = self.newer.filter(|(version, _)| *version > own);
        if theirs <= own {
            return false;
        }
        let (version, since) = *self.newer.get_or_insert((theirs, now));
        if since.after_ms(DELIVERY_MS) > now {
            return false;
        }
        self.newer = Some((version.max(theirs), now));
        true
    }
}
