//! Simulated store: compare-and-swap, reads and watches, with delayed or lost replies.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{ShardRecord, StoreOp, StoreResult};

use crate::world::{ProcessState, World};

/// A watch event in flight to a host.
pub(super) struct WatchEvent {
    pub(super) at_ms: u64,
    pub(super) node: usize,
    pub(super) shard: u32,
    pub(super) revision: u64,
    pub(super) value: Bytes,
}

pub(super) struct StoreCall {
    pub(super) at_ms: u64,
    pub(super) node: usize,
    pub(super) birth: u64,
    pub(super) token: u64,
    pub(super) op: StoreOp,
}

impl World {
    pub(super) fn serve_store(&mut self) {
        let now = self.now_ms;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.open_calls).into_iter().partition(|call| call.at_ms <= now);
        self.open_calls = rest;
        for call in due {
            let stored = if self.store_up { self.serve(call.op) } else { StoreResult::Lost };
            let node = &self.nodes[call.node];
            if node.process == ProcessState::Running && node.peer.birth == call.birth {
                self.handle(call.node, |shards, now, view, out| {
                    shards.handle_store_reply(now, view, call.token, stored, out);
                });
            }
        }
        if !self.store_up {
            return;
        }
        let (due, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.watch_events)
            .into_iter()
            .partition(|event| event.at_ms <= now);
        self.watch_events = rest;
        for event in due {
            self.deliver_watch(event);
        }
    }

    fn deliver_watch(&mut self, event: WatchEvent) {
        if self.nodes[event.node].process != ProcessState::Running {
            self.watch_events.push(event);
            return;
        }
        let WatchEvent { node, shard, revision, value, .. } = event;
        self.handle(node, |shards, now, view, out| {
            shards.handle_watch_event(now, view, shard, revision, &value, out);
        });
    }

    fn serve(&mut self, op: StoreOp) -> StoreResult {
        let stored = match op {
            StoreOp::Get { key } => {
                let (revision, value) = self.records.get(&key).cloned().unwrap_or_default();
                StoreResult::Value { revision, value }
            }
            StoreOp::Swap { key, revision, value } => self.swap(key, revision, value),
        };
        if self.lost_replies > 0 {
            self.lost_replies -= 1;
            return StoreResult::Lost;
        }
        stored
    }

    /// Overwrites a record without the shards' compare-and-swap.
    pub(crate) fn overwrite_record(&mut self, shard: u32, value: Bytes) {
        let key = ShardRecord::key(shard);
        let revision = self.records.get(&key).map_or(0, |entry| entry.0);
        self.swap(key, revision, value);
    }

    fn swap(&mut self, key: Name, revision: u64, value: Bytes) -> StoreResult {
        if self.records.get(&key).map_or(0, |entry| entry.0) != revision {
            return StoreResult::Raced;
        }
        self.revision += 1;
        self.records.insert(key.clone(), (self.revision, value.clone()));
        let shard = key.rsplit('/').next().and_then(|text| text.parse().ok()).expect("a shard");
        for node in 0..self.nodes.len() {
            let (at_ms, revision) =
                (self.now_ms + self.watch_delay_ms + node as u64, self.revision);
            self.watch_events.push(WatchEvent {
                at_ms,
                node,
                shard,
                revision,
                value: value.clone(),
            });
        }
        StoreResult::Swapped(self.revision)
    }
}
