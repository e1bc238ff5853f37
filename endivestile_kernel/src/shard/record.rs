//! The record of a shard in the platform's store.

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::Peer;

/// Prefix of the records' keys in the store.
const PREFIX: &str = "endivestile/shards/";

/// Seconds by which a caller's clock may run ahead of a host's, and by which
/// two hosts' clocks may differ.
///
/// A host whose clock is off by more could take an expired id for a fresh one
/// after its peers forgot it; operators notice by refusals of fresh ids.
pub const MAX_CLOCK_SKEW_S: u64 = 60;

/// Who owns a shard, agreed by compare-and-swap in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardRecord {
    /// The incarnation that starts submissions.
    pub home: Peer,
    /// The incarnation that remembers ids for the home; none when the home stands alone.
    pub witness: Option<Peer>,
    /// Grows by one with every change.
    pub epoch: u64,
    /// Ids dated at or below it, in seconds since 1970, belong to a lost table.
    pub floor: u64,
    /// Number by which the writer knows its own write when the answer was lost.
    pub write: u64,
}

impl ShardRecord {
    /// Returns the key of a shard's record.
    pub fn key(shard: u32) -> Name {
        Name::from(format!("{PREFIX}{shard}"))
    }

    /// Encodes the record as JSON, which operators can read in the store.
    pub fn encode(&self) -> Bytes {
        Bytes::from(serde_json::to_vec(self).unwrap_or_default())
    }

    /// Decodes a record; none when the value is not one.
    pub fn decode(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

/// Returns whether an id dated `secs` lies too far ahead of the wall clock
/// `wall_s` (both in seconds since 1970) to be accepted.
///
/// Accepting it would let the table forget the id while it is still valid.
pub fn too_far_ahead(secs: u64, wall_s: u64) -> bool {
    secs > wall_s.saturating_add(MAX_CLOCK_SKEW_S)
}

/// Returns whether an id dated `secs` is older than the resubmission window.
pub(crate) fn expired(secs: u64, wall_s: u64, window_s: u64) -> bool {
    wall_s > secs.saturating_add(window_s)
}

/// Returns the floor of a claim after the loss of a whole table.
///
/// The lost home accepted ids up to one margin ahead of its own clock, and its
/// clock may have run one margin ahead of ours; an id above the floor was
/// therefore never accepted by it.
pub(crate) fn floor_after_loss(wall_s: u64) -> u64 {
    wall_s.saturating_add(2 * MAX_CLOCK_SKEW_S)
}
