//! Handing shards on: to a host that joined, and all of them at a planned stop.

use std::collections::{BTreeMap, BTreeSet};

use crate::shard::core::{Cx, Event};
use crate::shard::effect::ShardEffect;
use crate::shard::slot::Slot;
use crate::{HostState, HostView, Peer, Shards, Time, View};

/// Period at which a host with too many shards hands one on, in milliseconds.
const MOVE_MS: u64 = 2_000;

impl Shards {
    /// Hands one shard on, if this host has more than its share and it is time.
    pub(crate) fn balance(&mut self, now: Time, view: &View, out: &mut Vec<ShardEffect>) {
        if self.core.leaving {
            return self.hand_on_all(now, view, out);
        }
        if now < self.core.move_at {
            self.core.wake(self.core.move_at);
            return;
        }
        let mut cx = Event { now, view, out }.with(&mut self.core);
        cx.core.move_at = cx.jittered(2 * MOVE_MS);
        cx.core.wake(cx.core.move_at);
        for slot in &mut self.slots {
            slot.heir.take_if(|heir| view.state(heir) != HostState::Live);
        }
        if !view.store || self.slots.iter().any(|slot| slot.heir.is_some()) {
            return;
        }
        let needy = needy_hosts(view, &self.slots);
        let found = self.slots.iter_mut().find_map(|slot| slot.find_heir(view, &needy));
        if let Some((slot, peer)) = found {
            slot.heir = Some(peer);
            slot.settle(&mut cx);
        }
    }

    /// Names the witness of every shard its heir.
    fn hand_on_all(&mut self, now: Time, view: &View, out: &mut Vec<ShardEffect>) {
        let mut cx = Event { now, view, out }.with(&mut self.core);
        for slot in &mut self.slots {
            slot.hand_on(&mut cx);
        }
        let peers = view.live().any(|host| host.peer != view.me);
        cx.core.stuck = !peers || now >= cx.core.leave_by;
        if !cx.core.stuck {
            cx.core.wake(cx.core.leave_by);
        }
    }

    /// Returns whether a stopping host is home of no shard that a peer could take.
    pub fn idle(&self) -> bool {
        self.core.leaving
            && (self.core.stuck || self.slots.iter().all(|slot| slot.standing.home == 0))
    }
}

impl Slot {
    /// Names the witness that the shard has, or will have, its heir.
    fn hand_on(&mut self, cx: &mut Cx<'_>) {
        if self.standing.home == 0 {
            return;
        }
        let Some(record) = self.record() else { return };
        let heir = self.wanted_witness(cx, record);
        if self.heir != heir {
            self.heir = heir;
            self.settle(cx);
        }
    }

    /// Returns this shard and, if this host is its home, the first needy host in its rank.
    fn find_heir(&mut self, view: &View, needy: &BTreeSet<Peer>) -> Option<(&mut Self, Peer)> {
        if self.standing.home == 0 || needy.is_empty() {
            return None;
        }
        let ranked = view.ranked(&self.rank_key());
        let heir = ranked.into_iter().find(|host| needy.contains(&host.peer))?;
        Some((self, heir.peer.clone()))
    }

    /// Returns the other half of the shard, if this host has one half.
    pub(crate) fn partner(&self, me: &Peer) -> Option<&Peer> {
        let record = self.record()?;
        if record.home == *me {
            return record.witness.as_ref();
        }
        (record.witness.as_ref() == Some(me)).then_some(&record.home)
    }
}

/// Returns the live hosts below their share, if this host is above its own.
///
/// The rank alone would leave a host with few shards as it is: with 12 shards
/// on three hosts it gave 7, 4 and 1. By the records every host sees the same
/// numbers, and a shard only moves from above a share to below one, so that
/// none moves to and fro.
fn needy_hosts(view: &View, slots: &[Slot]) -> BTreeSet<Peer> {
    let mut counts: BTreeMap<&Peer, usize> = BTreeMap::new();
    for owner in slots.iter().filter_map(Slot::owner) {
        *counts.entry(owner).or_default() += 1;
    }
    let total: u64 = view.live().map(weight).sum();
    let shards = slots.len() as u64;
    let count = |host: &HostView| counts.get(&host.peer).map_or(0, |&count| count as u64);
    let me = view.live().find(|host| host.peer == view.me);
    let full = me.is_some_and(|me| count(me) > (shards * weight(me)).div_ceil(total));
    if !full {
        return BTreeSet::new();
    }
    let needy = view.live().filter(|host| count(host) < shards * weight(host) / total);
    needy.map(|host| host.peer.clone()).collect()
}

fn weight(host: &HostView) -> u64 {
    u64::from(host.weight.max(1))
}
