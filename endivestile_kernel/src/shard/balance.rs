//! Transfers shards to hosts with too few of them, and all shards before a planned stop.

use std::collections::{BTreeMap, BTreeSet};

use crate::shard::context::{Context, Env};
use crate::shard::effect::ShardEffect;
use crate::shard::replica::Replica;
use crate::{HostState, HostView, Peer, Shards, Time, View};

/// Minimum interval between two transfers by a host with too many shards, in
/// milliseconds; jitter adds up to as much again.
const MIN_REBALANCE_MS: u64 = 2_000;

impl Shards {
    /// Periodically transfers one shard if this host has more than its share.
    pub(crate) fn balance(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        if self.shared.draining {
            return self.transfer_all(now, view, effects);
        }
        if now < self.shared.rebalance_at {
            self.shared.wake_at(self.shared.rebalance_at);
            return;
        }
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        cx.shared.rebalance_at = cx.jittered(2 * MIN_REBALANCE_MS);
        cx.shared.wake_at(cx.shared.rebalance_at);
        for replica in &mut self.replicas {
            replica.successor.take_if(|successor| view.state(successor) != HostState::Live);
        }
        if !view.store_available || self.replicas.iter().any(|replica| replica.successor.is_some())
        {
            return;
        }
        let underloaded = underloaded_hosts(view, &self.replicas);
        let candidate =
            self.replicas.iter_mut().find_map(|replica| replica.find_successor(view, &underloaded));
        if let Some((replica, peer)) = candidate {
            replica.successor = Some(peer);
            replica.reconcile(&mut cx);
        }
    }

    /// Chooses a successor for every shard and checks whether transfers are still possible.
    fn transfer_all(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        for replica in &mut self.replicas {
            replica.choose_successor(&mut cx);
        }
        let has_peers = view.live().any(|host| host.peer != view.me);
        cx.shared.transfer_blocked = !has_peers || now >= cx.shared.drain_deadline;
        if !cx.shared.transfer_blocked {
            cx.shared.wake_at(cx.shared.drain_deadline);
        }
    }

    /// Returns whether a draining host is no longer the home of any shard that a
    /// peer could take over.
    pub fn is_drained(&self) -> bool {
        self.shared.draining
            && (self.shared.transfer_blocked
                || self.replicas.iter().all(|replica| replica.fencing.home_epoch == 0))
    }
}

impl Replica {
    /// Makes the witness that the shard has or should have its successor.
    fn choose_successor(&mut self, cx: &mut Context<'_>) {
        if self.fencing.home_epoch == 0 {
            return;
        }
        let Some(record) = self.record() else { return };
        let successor = self.wanted_witness(cx, record);
        if self.successor != successor {
            self.successor = successor;
            self.reconcile(cx);
        }
    }

    /// Returns this replica and the first underloaded host in its rank order, if
    /// this host is the home.
    fn find_successor(
        &mut self,
        view: &View,
        underloaded: &BTreeSet<Peer>,
    ) -> Option<(&mut Self, Peer)> {
        if self.fencing.home_epoch == 0 || underloaded.is_empty() {
            return None;
        }
        let ranked = view.ranked(&self.rank_key());
        let successor = ranked.into_iter().find(|host| underloaded.contains(&host.peer))?;
        Some((self, successor.peer.clone()))
    }

    /// Returns the witness if `me` is the home, and the home if `me` is the witness.
    pub(crate) fn replica_peer(&self, me: &Peer) -> Option<&Peer> {
        let record = self.record()?;
        if record.home == *me {
            return record.witness.as_ref();
        }
        (record.witness.as_ref() == Some(me)).then_some(&record.home)
    }
}

/// Returns the live hosts with less than their share of shards, if this host has
/// more than its own.
///
/// Rank order alone distributes shards unevenly: 12 shards on three hosts gave
/// 7, 4 and 1. All hosts count the same records, and a shard only moves from a
/// host above its share to one below, so that no shard moves back and forth.
fn underloaded_hosts(view: &View, replicas: &[Replica]) -> BTreeSet<Peer> {
    let mut counts: BTreeMap<&Peer, usize> = BTreeMap::new();
    for home_peer in replicas.iter().filter_map(Replica::home_peer) {
        *counts.entry(home_peer).or_default() += 1;
    }
    let total: u64 = view.live().map(weight).sum();
    let shards = replicas.len() as u64;
    let count = |host: &HostView| counts.get(&host.peer).map_or(0, |&count| count as u64);
    let me = view.live().find(|host| host.peer == view.me);
    let overloaded = me.is_some_and(|me| count(me) > (shards * weight(me)).div_ceil(total));
    if !overloaded {
        return BTreeSet::new();
    }
    let underloaded = view.live().filter(|host| count(host) < shards * weight(host) / total);
    underloaded.map(|host| host.peer.clone()).collect()
}

fn weight(host: &HostView) -> u64 {
    u64::from(host.weight.max(1))
}
