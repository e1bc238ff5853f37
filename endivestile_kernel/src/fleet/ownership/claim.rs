//! When a host takes pools over, and what follows from who owns which.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::hosts::membership::HostEntry;
use crate::fleet::metrics::Count;
use crate::fleet::ownership::partition::{pool_of, zone_of};
use crate::fleet::ownership::pools::{POOL_KEY_PREFIX, Pool, RecordSwap};
use crate::fleet::workers::protocol::{CallError, RenewReply, WorkerEntry};
use crate::{Level, Peer, StoreOp, StoreResult, Time};

/// Wait before workers without any owner are claimed, in milliseconds: hosts
/// that start together have to find each other first.
const FIRST_MS: u64 = 300;
/// Time between two looks at who owns the pools, in milliseconds.
const CLAIM_MS: u64 = 30;
/// Wait of hosts of other zones, in milliseconds: a host of the zone that was
/// killed is back by then.
const OUTSIDE_MS: u64 = 900;
/// Time for an owner that is asked whether it lives, in milliseconds.
const ANSWER_MS: u64 = 120;
/// How many times longer than the question the answer takes at most: the owner
/// hears of it, and writes.
const STORE_CALLS: u64 = 4;
/// Wait for the store's word on who deposed this host, in milliseconds.
const DEPOSED_MS: u64 = 2_000;

/// A look at a worker of another zone, to learn whether the zone is in reach.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    /// When it was sent.
    pub(crate) sent: Time,
    /// When it was answered.
    pub(crate) answered: Option<Time>,
}

impl Fleet {
    pub(crate) fn apply_registration(&mut self, now: Time, name: &Name, entry: Option<&HostEntry>) {
        if let Some(ended) = self.members.apply_registration(now, name, entry) {
            self.peer_ended(now, &ended);
            self.apply_output(now);
        }
    }

    /// Takes in a pool's record.
    pub(crate) fn apply_record(&mut self, now: Time, name: &Name, revision: u64, value: &[u8]) {
        match self.pools.apply_record(now, name, revision, value) {
            Ok(true) => self.owners_changed(now, name),
            Ok(false) => {}
            Err(e) => {
                let pairs = vec![("pool", name.to_string()), ("error", e.to_string())];
                self.log(Level::Error, "record_unreadable", pairs);
            }
        }
    }

    /// Takes in how a change of a record ended.
    pub(crate) fn apply_swap_result(&mut self, now: Time, token: u64, stored: &StoreResult) {
        let Some((name, done)) = self.pools.apply_swap_result(now, token, stored) else { return };
        let pairs = vec![("pool", name.to_string()), ("outcome", format!("{stored:?}"))];
        self.log(Level::Info, "owner_change_ended", pairs);
        if done {
            self.owners_changed(now, &name);
        } else if *stored == StoreResult::Lost {
            self.transfer_after_lost_swap(now, &name);
        }
    }

    fn owners_changed(&mut self, now: Time, name: &Name) {
        let owner = self.pools.owner(name).map_or(String::new(), ToString::to_string);
        let pool = self.pools.by_name.get(name);
        let token = pool.map_or(0, Pool::token);
        let pairs =
            vec![("pool", name.to_string()), ("owner", owner), ("token", token.to_string())];
        self.log(Level::Info, "owner_known", pairs);
        self.name_pools();
        self.update_owned_workers(now);
    }

    pub(crate) fn apply_worker_list(&mut self, now: Time, workers: Vec<WorkerEntry>) {
        let pooled = workers.into_iter().map(|entry| {
            let pool = pool_of(&entry.zone, &entry.id);
            (entry, pool)
        });
        self.workers = pooled.collect();
        self.worker_list_received(now);
        self.name_pools();
        self.update_owned_workers(now);
    }

    /// Works out which pools there are: those of listed workers, and those with a record,
    /// since a host without workers reads the list seldom.
    fn name_pools(&mut self) {
        let listed = self.workers.iter().map(|(_, pool)| pool);
        let recorded = self.pools.by_name.iter().filter(|(_, pool)| pool.record.is_some());
        let names: BTreeSet<&Name> = listed.chain(recorded.map(|(name, _)| name)).collect();
        if !names.iter().copied().eq(self.pool_names.iter()) {
            self.pool_names = names.into_iter().cloned().collect();
        }
    }

    /// Hands the scheduler the workers that this host owns.
    pub(crate) fn update_owned_workers(&mut self, now: Time) {
        let owned = self.pools.owned(&self.setup.me);
        let tokens: BTreeMap<Name, u64> =
            owned.map(|(name, pool)| (name.clone(), pool.token())).collect();
        let mine = self.workers.iter().filter_map(|(entry, pool)| {
            let token = tokens.get(pool)?;
            Some((entry.clone(), pool.clone(), *token))
        });
        let mine: Vec<(WorkerEntry, Name, u64)> = mine.collect();
        let pools: BTreeSet<Name> = tokens.into_keys().collect();
        let owned = self.scheduler.owns_workers();
        self.scheduler.set_workers(now, &mine, &pools);
        if !owned && self.scheduler.owns_workers() {
            self.await_worker_list(now);
        }
        self.report.0 = Time::ZERO;
        self.apply_output(now);
    }

    /// Takes in the answer to a hold, or to a probe.
    pub(crate) fn renewal_ended(
        &mut self,
        now: Time,
        worker: &Name,
        number: u64,
        end: Result<RenewReply, CallError>,
    ) {
        if number == 0 {
            let lost = matches!(end, Err(CallError::Unreachable | CallError::Lost));
            if let Some(probe) = self.probes.get_mut(worker).filter(|_| !lost) {
                probe.answered = Some(now);
            }
            return;
        }
        self.scheduler.handle_renewal(now, worker, number, end);
        self.check_fenced(now);
    }

    /// A worker refused our token: somebody else owns the pool by now, though
    /// the store has not told yet.
    fn check_fenced(&mut self, now: Time) {
        let refused: BTreeSet<Name> = self.scheduler.fenced_pools();
        for name in refused {
            let Some(pool) = self.pools.by_name.get_mut(&name) else { continue };
            if pool.fenced {
                continue;
            }
            pool.fenced = true;
            pool.vacant_since = None;
            self.out.push(FleetEffect::Count(Count::Deposed));
            self.log(Level::Warn, "deposed", vec![("pool", name.to_string())]);
            self.update_owned_workers(now);
        }
    }

    /// Claims the pools whose owner is lost, if it is this host's turn.
    pub(crate) fn claim_pools(&mut self, now: Time) {
        // A host that was cut off itself sees everybody silent: it has to hear
        // of the others before it takes anything from them.
        let connected = self.store_since.is_some_and(|since| since.after_ms(UNREACHABLE_MS) <= now);
        if self.leaving || self.claim_due > now {
            return;
        }
        self.claim_due = now.after_ms(CLAIM_MS);
        for name in self.pool_names.clone().iter() {
            let pool = self.pools.by_name.entry(name.clone()).or_default();
            if pool.swap_pending(now) {
                continue;
            }
            if pool.owned_by_grant() {
                if self.store_since.is_some() {
                    self.record_grant(now, name);
                }
            } else if pool.owned_by(&self.setup.me) {
                self.confirm(now, name);
            } else if self.named_before(name) || (connected && self.wants(now, name)) {
                self.claim(now, name);
            }
        }
    }

    /// Answers a host that asks in the record whether this owner lives.
    fn confirm(&mut self, now: Time, name: &Name) {
        let challenged = self.pools.by_name.get(name).is_some_and(Pool::challenged);
        if challenged && self.scheduler.reaches_zone(now, zone_of(name)) {
            let change = self.pools.swap_challenge(now, name, None);
            self.send_swap(change, "owner_confirmed");
        }
    }

    /// Returns whether the record names an earlier life of this host.
    fn named_before(&self, name: &Name) -> bool {
        let me = &self.setup.me;
        self.pools.owner(name).is_some_and(|owner| owner.host == me.host && owner != me)
    }

    /// Takes a pool, after its owner was asked in the record and did not answer.
    ///
    /// A host that cannot hear the owner may be the one that is cut off. Without
    /// the question two hosts that are cut from each other, but not from store
    /// and workers, would take the pool from each other again and again.
    fn claim(&mut self, now: Time, name: &Name) {
        let me = self.setup.me.clone();
        let Some(pool) = self.pools.by_name.get(name) else { return };
        let lives = pool.record.as_ref().is_some_and(|record| {
            record.owner.host != me.host && self.members.get(&record.owner).is_some()
        });
        let asks = self.setup.policy.has(Mechanism::Challenge);
        if !lives || !asks || self.left(pool.record.as_ref().map(|record| &record.owner)) {
            let change = self.pools.swap_owner(now, name, &me);
            return self.send_swap(change, "owner_claimed");
        }
        match pool.own_challenge {
            None => {
                let change = self.pools.swap_challenge(now, name, Some(me));
                self.send_swap(change, "owner_challenged");
            }
            Some((at, took)) if at.after_ms(ANSWER_MS.max(took * STORE_CALLS)) <= now => {
                let change = self.pools.swap_owner(now, name, &me);
                self.send_swap(change, "owner_claimed");
            }
            Some(_) => {}
        }
    }

    /// Returns whether a host has said that it is stopping.
    fn left(&self, peer: Option<&Peer>) -> bool {
        let member = peer.and_then(|peer| self.members.get(peer));
        member.is_some_and(|member| member.leaving)
    }

    pub(crate) fn transfer_pool(&mut self, now: Time, name: &Name, owner: &Peer) {
        let change = self.pools.swap_owner(now, name, owner);
        self.send_swap(change, "owner_handover");
    }

    pub(crate) fn send_swap(&mut self, change: Option<RecordSwap>, event: &'static str) {
        let Some(change) = change else { return };
        let pairs = vec![
            ("pool", change.pool.to_string()),
            ("revision", change.revision.to_string()),
            ("record", String::from_utf8_lossy(&change.value).into_owned()),
        ];
        self.log(Level::Info, event, pairs);
        self.out.push(FleetEffect::Count(Count::RecordChanges));
        let key = Name::from(format!("{POOL_KEY_PREFIX}{}", change.pool));
        let op = StoreOp::Swap { key, revision: change.revision, value: change.value };
        self.out.push(FleetEffect::StoreCall { op_id: change.call, op });
    }

    /// Returns whether this host is to claim a pool now.
    fn wants(&mut self, now: Time, name: &Name) -> bool {
        // Of the hosts of other zones only owners hear all owners all the time.
        if *self.setup.zone != *zone_of(name) && !self.scheduler.owns_workers() {
            return false;
        }
        let Some(pool) = self.pools.by_name.get_mut(name) else { return false };
        let me = &self.setup.me;
        let first = match &pool.record {
            None => FIRST_MS,
            // A worker refused the token of a record that still names us: only a
            // new epoch brings the workers back.
            Some(record) if record.owner == *me => {
                let since = *pool.vacant_since.get_or_insert(now);
                return pool.fenced && since.after_ms(DEPOSED_MS) <= now;
            }
            Some(record) => {
                let member = self.members.by_host(&record.owner.host);
                let alive = member.is_some_and(|member| {
                    let known = member.known_since.max(pool.changed_at);
                    let fresh = member.last_frame.is_none() && known.after_ms(UNREACHABLE_MS) > now;
                    member.peer == record.owner && (fresh || member.is_alive(now, UNREACHABLE_MS))
                });
                if alive || pool.confirmed_until > now {
                    pool.vacant_since = None;
                    pool.reachable_since = None;
                    return false;
                }
                0
            }
        };
        let since = *pool.vacant_since.get_or_insert(now);
        let wait = self.claim_delay(now, name);
        if since.after_ms(first + wait.unwrap_or(OUTSIDE_MS)) > now {
            return false;
        }
        wait.is_some() || self.long_in_reach(now, name)
    }

    /// Returns whether a zone's workers have answered for a while. When a cut
    /// heals they answer before the zone's own hosts are heard again, and
    /// claiming them then would stop what those hosts have running.
    fn long_in_reach(&mut self, now: Time, name: &Name) -> bool {
        let reached = self.zone_reachable(now, zone_of(name));
        let Some(pool) = self.pools.by_name.get_mut(name) else { return false };
        if !reached {
            pool.reachable_since = None;
            return false;
        }
        pool.reachable_since.get_or_insert(now).after_ms(OUTSIDE_MS) <= now
    }

    /// Starts a graceful shutdown: the workers go to another host, and what
    /// callers have handed in here is seen to its end.
    pub(crate) fn shutdown(&mut self, now: Time) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.log(Level::Info, "leaving", vec![("open", self.front.open.len().to_string())]);
        self.out.push(FleetEffect::RegisterLeaving);
        let me = self.setup.me.clone();
        let owned = self.pools.owned(&me);
        let names: Vec<Name> = owned.map(|(name, _)| name.clone()).collect();
        for name in names {
            let zone = zone_of(&name);
            if self.store_since.is_none() {
                if let Some(next) = self.live_successor(now, zone) {
                    self.transfer_directly(now, &name, &next);
                }
            } else if let Some(next) = self.successor(now, zone) {
                self.transfer_pool(now, &name, &next);
            }
        }
    }

    /// Says so once nothing depends on this host any more.
    pub(crate) fn check_drained(&mut self, now: Time) {
        let me = &self.setup.me;
        let owns = self.pools.owned(me).next().is_some();
        let alone = self.members.all().all(|member| !member.is_alive(now, UNREACHABLE_MS));
        let busy = !self.front.open.is_empty()
            || !self.scheduler.jobs.is_empty()
            || self.grants_unacked(now);
        if self.leaving && !self.drained && !busy && (!owns || alone) {
            self.drained = true;
            self.out.push(FleetEffect::Drained);
        }
    }
}
