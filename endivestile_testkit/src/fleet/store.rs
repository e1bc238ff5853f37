//! The store as fleets see it: keys changed under a condition, and hosts that
//! are told of each change unless they are cut off.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{StoreOp, StoreResult};

/// The store.
#[derive(Debug, Default)]
pub(crate) struct Store {
    /// Values with the revisions of their last change.
    pub(crate) keys: BTreeMap<Name, (u64, Bytes)>,
    /// Whether it answers nobody.
    pub(crate) down: bool,
    /// Time for an answer, in microseconds.
    pub(crate) delay_us: u64,
    /// Answers that will be lost after the change took effect.
    pub(crate) answers_to_lose: u32,
    /// Zones that operators have evacuated or taken back, with the revision of that.
    pub(crate) evacuations: BTreeMap<Name, (u64, bool)>,
    pub(crate) revision: u64,
}

impl Store {
    /// Carries out a change.
    pub(crate) fn swap(&mut self, op: &StoreOp) -> (StoreResult, Option<Name>) {
        let StoreOp::Swap { key, revision, value } = op else {
            return (StoreResult::Lost, None);
        };
        let held = self.keys.get(key).map_or(0, |(revision, _)| *revision);
        if held != *revision {
            return (StoreResult::Raced, None);
        }
        self.put(key, value.clone());
        (StoreResult::Swapped(self.revision), Some(key.clone()))
    }

    /// Has a zone evacuated, or takes it back.
    pub(crate) fn set_evacuated(&mut self, zone: &Name, evacuated: bool) {
        self.revision += 1;
        self.evacuations.insert(zone.clone(), (self.revision, evacuated));
    }

    /// Writes a key whatever stands there.
    pub(crate) fn put(&mut self, key: &Name, value: Bytes) {
        self.revision += 1;
        self.keys.insert(key.clone(), (self.revision, value));
    }
}
