//! The fake store: swaps, reads and watches, with answers lost or late.

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{ShardRecord, StoreOp, StoreResult};

use crate::world::{Run, World};

/// A watched record on its way to a host.
pub(super) struct Watched {
    pub(super) at: u64,
    pub(super) node: usize,
    pub(super) shard: u32,
    pub(super) revision: u64,
    pub(super) value: Bytes,
}

pub(super) struct Call {
    pub(super) at: u64,
    pub(super) node: usize,
    pub(super) birth: u64,
    pub(super) token: u64,
    pub(super) op: StoreOp,
}

impl World {
    pub(super) fn serve_store(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.calls).into_iter().partition(|call| call.at <= now);
        self.calls = rest;
        for call in due {
            let stored = if self.store_up { self.serve(call.op) } else { StoreResult::Lost };
            let node = &self.nodes[call.node];
            if node.run == Run::Up && node.peer.birth == call.birth {
                self.event(call.node, |shards, now, view, out| {
                    shards.handle_store_reply(now, view, call.token, stored, out);
                });
            }
        }
        if !self.store_up {
            return;
        }
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.watch).into_iter().partition(|watched| watched.at <= now);
        self.watch = rest;
        for watched in due {
            self.watched(watched);
        }
    }

    fn watched(&mut self, watched: Watched) {
        if self.nodes[watched.node].run != Run::Up {
            self.watch.push(watched);
            return;
        }
        let Watched { node, shard, revision, value, .. } = watched;
        self.event(node, |shards, now, view, out| {
            shards.handle_watch_event(now, view, shard, revision, &value, out);
        });
    }

    fn serve(&mut self, op: StoreOp) -> StoreResult {
        let stored = match op {
            StoreOp::Get { key } => {
                let (revision, value) = self.values.get(&key).cloned().unwrap_or_default();
                StoreResult::Value { revision, value }
            }
            StoreOp::Swap { key, revision, value } => self.swap(key, revision, value),
        };
        if self.lose > 0 {
            self.lose -= 1;
            return StoreResult::Lost;
        }
        stored
    }

    /// Overwrites a record past the tools.
    pub(crate) fn put(&mut self, shard: u32, value: Bytes) {
        let key = ShardRecord::key(shard);
        let revision = self.values.get(&key).map_or(0, |entry| entry.0);
        self.swap(key, revision, value);
    }

    fn swap(&mut self, key: Name, revision: u64, value: Bytes) -> StoreResult {
        if self.values.get(&key).map_or(0, |entry| entry.0) != revision {
            return StoreResult::Raced;
        }
        self.revision += 1;
        self.values.insert(key.clone(), (self.revision, value.clone()));
        let shard = key.rsplit('/').next().and_then(|text| text.parse().ok()).expect("a shard");
        for node in 0..self.nodes.len() {
            let (at, revision) = (self.now + self.watch_ms + node as u64, self.revision);
            self.watch.push(Watched { at, node, shard, revision, value: value.clone() });
        }
        StoreResult::Swapped(self.revision)
    }
}
