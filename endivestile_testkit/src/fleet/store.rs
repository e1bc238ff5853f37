//! Fake of the platform's store: keys with revisions that change by compare-and-swap.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{StoreOp, StoreResult};

/// Contents and faults of the store.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Values with the revision of their last change.
    pub(crate) keys: BTreeMap<Name, (u64, Bytes)>,
    /// Whether the store is down.
    pub(crate) down: bool,
    /// Time from a request to its answer, in microseconds.
    pub(crate) delay_us: u64,
    /// Number of coming answers that are lost after their change took effect.
    pub(crate) answers_to_lose: u32,
    /// Whether each zone is evacuated, with the revision at which an operator changed it.
    pub(crate) evacuations: BTreeMap<Name, (u64, bool)>,
    /// Revision of the last change.
    pub(crate) revision: u64,
}

impl Store {
    /// Executes a compare-and-swap; returns the key if it changed.
    pub(crate) fn swap(&mut self, op: &StoreOp) -> (StoreResult, Option<Name>) {
        let StoreOp::Swap { key, revision, value } = op else {
            return (StoreResult::Lost, None);
        };
        let current = self.keys.get(key).map_or(0, |(revision, _)| *revision);
        if current != *revision {
            return (StoreResult::Raced, None);
        }
        self.put(key, value.clone());
        (StoreResult::Swapped(self.revision), Some(key.clone()))
    }

    /// Evacuates a zone or ends its evacuation.
    pub(crate) fn set_evacuated(&mut self, zone: &Name, evacuated: bool) {
        self.revision += 1;
        self.evacuations.insert(zone.clone(), (self.revision, evacuated));
    }

    /// Writes a key unconditionally.
    pub(crate) fn put(&mut self, key: &Name, value: Bytes) {
        self.revision += 1;
        self.keys.insert(key.clone(), (self.revision, value));
    }
}
