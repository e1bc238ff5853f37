//! The kernels of two hosts, with a store; frames are delivered without delay.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Effect, Event, ShardRecord, StoreOp, StoreResult, Time};

use crate::harness::KernelHarness;
use crate::inventory::{self, Size};

/// Shards of the pair.
const SHARDS: u32 = 4;

/// Two kernels in different zones; each is the witness of the other's shards.
pub(crate) struct KernelPair {
    /// Both kernels.
    pub(crate) harnesses: [KernelHarness; 2],
    /// Values of the store with their revisions, by key.
    store: BTreeMap<Name, (u64, Bytes)>,
    /// Revision of the last write.
    last_revision: u64,
}

impl KernelPair {
    /// Starts both kernels and advances time until they have claimed the shards.
    pub(crate) fn new(workers: usize) -> Self {
        let mut config = inventory::config(Size { zones: 2, hosts: 2, workers });
        config.rules.shards = SHARDS;
        let harnesses = [KernelHarness::new(0, 2), KernelHarness::new(1, 2)];
        let mut pair = Self { harnesses, store: BTreeMap::new(), last_revision: 0 };
        for at in 0..2 {
            pair.harnesses[at].handle_event(Event::StoreAvailable(true));
            pair.harnesses[at].register(1 - at, 2, false);
            pair.harnesses[at].configure(&config);
        }
        for ms in 1..8_000 {
            pair.advance_to(Time::ZERO.after_ms(ms));
        }
        pair
    }

    /// Advances time to `now` and delivers all frames and store calls that follow.
    pub(crate) fn advance_to(&mut self, now: Time) {
        for harness in &mut self.harnesses {
            harness.now = now;
            if harness.kernel.deadline().is_some_and(|due| due <= now) {
                harness.handle_event(Event::Tick);
            }
        }
        self.deliver_all();
    }

    /// Delivers frames and store calls until none is outstanding.
    pub(crate) fn deliver_all(&mut self) {
        loop {
            let effects = [0, 1].map(|at| std::mem::take(&mut self.harnesses[at].outgoing));
            if effects.iter().all(Vec::is_empty) {
                return;
            }
            for (at, effects) in effects.into_iter().enumerate() {
                for effect in effects {
                    self.execute(at, effect);
                }
            }
        }
    }

    /// Executes an effect of the kernel with index `at`.
    fn execute(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { frame, .. } => self.harnesses[1 - at].handle_event(Event::Frame(frame)),
            Effect::StoreCall { op_id, op } => {
                let result = self.execute_store_op(op);
                self.harnesses[at].handle_event(Event::StoreCallEnded { op_id, result });
            }
            _ => {}
        }
    }

    /// Executes a store call.
    fn execute_store_op(&mut self, op: StoreOp) -> StoreResult {
        match op {
            StoreOp::Get { key } => {
                let (revision, value) = self.store.get(&key).cloned().unwrap_or_default();
                StoreResult::Value { revision, value }
            }
            StoreOp::Swap { key, revision, value } => {
                let current = self.store.get(&key).map_or(0, |(revision, _)| *revision);
                if current != revision {
                    return StoreResult::Raced;
                }
                self.last_revision += 1;
                self.store.insert(key.clone(), (self.last_revision, value.clone()));
                self.notify_watches(&key, value);
                StoreResult::Swapped(self.last_revision)
            }
        }
    }

    /// Reports a changed shard record to both kernels, as their watches would.
    fn notify_watches(&mut self, key: &Name, value: Bytes) {
        for shard in (0..SHARDS).filter(|&shard| ShardRecord::key(shard) == *key) {
            for harness in &mut self.harnesses {
                let (revision, value) = (self.last_revision, value.clone());
                harness.handle_event(Event::ShardRecordChange { shard, revision, value });
            }
        }
    }
}
