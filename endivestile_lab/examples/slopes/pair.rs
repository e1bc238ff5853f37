//! A home and a witness that hear each other at once, with a store.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Effect, Event, ShardRecord, StoreOp, StoreResult, Time};

use crate::inventory::{self, Size};
use crate::rig::Rig;

/// Shards of the pair.
const SHARDS: u32 = 4;

/// Two kernels of two zones.
pub(crate) struct Pair {
    /// The kernels.
    pub(crate) rigs: [Rig; 2],
    store: BTreeMap<Name, (u64, Bytes)>,
    writes: u64,
}

impl Pair {
    /// Starts both and lets them claim the shards.
    pub(crate) fn new(workers: usize) -> Self {
        let mut config = inventory::config(Size { zones: 2, hosts: 2, workers });
        config.rules.shards = SHARDS;
        let rigs = [Rig::new(0, 2), Rig::new(1, 2)];
        let mut pair = Self { rigs, store: BTreeMap::new(), writes: 0 };
        for at in 0..2 {
            pair.rigs[at].event(Event::StoreAvailable(true));
            pair.rigs[at].register(1 - at, 2, false);
            pair.rigs[at].configure(&config);
        }
        for ms in 1..8_000 {
            pair.tick(Time::ZERO.after_ms(ms));
        }
        pair
    }

    /// Lets time pass and carries out what follows.
    pub(crate) fn tick(&mut self, now: Time) {
        for rig in &mut self.rigs {
            rig.now = now;
            if rig.kernel.deadline().is_some_and(|due| due <= now) {
                rig.event(Event::Tick);
            }
        }
        self.settle();
    }

    /// Delivers frames and store calls until nothing is under way.
    pub(crate) fn settle(&mut self) {
        loop {
            let effects = [0, 1].map(|at| std::mem::take(&mut self.rigs[at].rest));
            if effects.iter().all(Vec::is_empty) {
                return;
            }
            for (at, effects) in effects.into_iter().enumerate() {
                for effect in effects {
                    self.carry(at, effect);
                }
            }
        }
    }

    fn carry(&mut self, at: usize, effect: Effect) {
        match effect {
            Effect::Send { frame, .. } => self.rigs[1 - at].event(Event::Frame(frame)),
            Effect::StoreCall { op_id, op } => {
                let result = self.call(op);
                self.rigs[at].event(Event::StoreCallEnded { op_id, result });
            }
            _ => {}
        }
    }

    fn call(&mut self, op: StoreOp) -> StoreResult {
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
                self.writes += 1;
                self.store.insert(key.clone(), (self.writes, value.clone()));
                self.tell(&key, value);
                StoreResult::Swapped(self.writes)
            }
        }
    }

    /// Tells both hosts of a new record, as their watches would.
    fn tell(&mut self, key: &Name, value: Bytes) {
        for shard in (0..SHARDS).filter(|&shard| ShardRecord::key(shard) == *key) {
            for rig in &mut self.rigs {
                let (revision, value) = (self.writes, value.clone());
                rig.event(Event::ShardRecordChange { shard, revision, value });
            }
        }
    }
}
