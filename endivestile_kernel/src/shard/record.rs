//! Ownership record of a shard in the platform's store.

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::Peer;

/// Prefix of the keys of the records.
const PREFIX: &str = "endivestile/shards/";

/// Maximum clock difference in seconds between two hosts, and by which a
/// caller's clock may be ahead of a host's.
///
/// A host whose clock is off by more could accept an expired id that its peers
/// have already dropped. Such a host also refuses fresh ids, which operators
/// can observe.
pub const MAX_CLOCK_SKEW_S: u64 = 60;

/// Home and witness of a shard, changed by compare-and-swap only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// Incarnation that starts submissions.
    pub home: Peer,
    /// Incarnation that keeps a copy of the home's ids, if any.
    pub witness: Option<Peer>,
    /// Increases with every change of the record, usually by one.
    pub epoch: u64,
    /// Ids dated at or before this second since 1970 belong to a lost table and are refused.
    pub floor: u64,
    /// Random number by which a writer recognizes its own write after a lost reply.
    pub write: u64,
}

impl ShardRecord {
    /// Returns the key of a shard's record.
    pub fn key(shard: u32) -> Name {
        Name::from(format!("{PREFIX}{shard}"))
    }

    /// Encodes the record as JSON, so that operators can read it in the store.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Decodes a record; returns none if the value is not a valid record.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// Returns whether an id dated `secs` is too far ahead of the wall clock
/// `wall_s` to be accepted, both in seconds since 1970.
///
/// The table would drop such an id while it is still valid.
pub fn too_far_ahead(secs: u64, wall_s: u64) -> bool {
    secs > wall_s.saturating_add(MAX_CLOCK_SKEW_S)
}

/// Returns whether an id dated `secs` is older than the resubmission window at `wall_s`.
pub(crate) fn expired(secs: u64, wall_s: u64, window_s: u64) -> bool {
    wall_s > secs.saturating_add(window_s)
}

/// Returns the floor for a claim after the loss of home and witness.
///
/// The lost home accepted ids dated up to `MAX_CLOCK_SKEW_S` ahead of its
/// clock, which may itself have been that far ahead of ours. It cannot have
/// accepted an id dated above the floor.
pub(crate) fn floor_after_loss(wall_s: u64) -> u64 {
    wall_s.saturating_add(2 * MAX_CLOCK_SKEW_S)
}
