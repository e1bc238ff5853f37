//! Claims of pools whose owner is lost, and the effects of ownership changes.

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

/// Wait before pools that never had an owner are claimed, in milliseconds: hosts that start
/// together have to discover each other first.
const FIRST_CLAIM_MS: u64 = 300;
/// Interval between two checks of the pools' owners, in milliseconds.
const CLAIM_INTERVAL_MS: u64 = 30;
/// Claim delay of hosts of other zones, in milliseconds: a killed host of the zone has
/// restarted by then.
const OTHER_ZONE_DELAY_MS: u64 = 900;
/// Shortest time that an owner has for answering a challenge, in milliseconds.
const CHALLENGE_MS: u64 = 120;
/// Time for the answer as a multiple of the time that the store took to write the challenge:
/// the owner first receives the record, then writes its answer.
const CHALLENGE_STORE_CALLS: u64 = 4;
/// Wait before this host claims a pool again after it was fenced, in milliseconds: the record of
/// the new owner is expected meanwhile.
const RECLAIM_MS: u64 = 2_000;

/// A probe of a worker in another zone, which shows whether the zone is reachable.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    /// When it was sent.
    pub(crate) sent: Time,
    /// When it was answered.
    pub(crate) answered: Option<Time>,
}

impl Fleet {
    /// Applies a host's registration, or the end of one.
    pub(crate) fn apply_registration(
        &mut self,
        now: Time,
        name: &Name,
        revision: u64,
        entry: Option<&HostEntry>,
    ) {
        if let Some(ended) = self.members.apply_registration(now, name, revision, entry) {
            self.peer_ended(now, &ended);
            self.apply_output(now);
        }
    }

    /// Applies a pool's ownership record.
    pub(crate) fn apply_record(&mut self, now: Time, name: &Name, revision: u64, value: &[u8]) {
        match self.pools.apply_record(now, name, revision, value) {
            Ok(true) => self.owner_changed(now, name),
            Ok(false) => {}
            Err(e) => {
                let pairs = vec![("pool", name.to_string()), ("error", e.to_string())];
                self.log(Level::Error, "record_unreadable", pairs);
            }
        }
    }

    /// Applies the reply to a swap of an ownership record.
    pub(crate) fn apply_swap_result(&mut self, now: Time, op_id: u64, reply: &StoreResult) {
        let Some((name, is_new)) = self.pools.apply_swap_result(now, op_id, reply) else { return };
        let pairs = vec![("pool", name.to_string()), ("outcome", format!("{reply:?}"))];
        self.log(Level::Info, "owner_change_ended", pairs);
        if is_new {
            self.owner_changed(now, &name);
        } else if *reply == StoreResult::Lost {
            self.transfer_after_lost_swap(now, &name);
        }
    }

    fn owner_changed(&mut self, now: Time, name: &Name) {
        let owner = self.pools.owner(name).map_or(String::new(), ToString::to_string);
        let pool = self.pools.by_name.get(name);
        let token = pool.map_or(0, Pool::token);
        let pairs =
            vec![("pool", name.to_string()), ("owner", owner), ("token", token.to_string())];
        self.log(Level::Info, "owner_known", pairs);
        self.update_pool_names();
        self.update_owned_workers(now);
    }

    /// Applies the list of all workers in the store.
    pub(crate) fn apply_worker_list(&mut self, now: Time, workers: Vec<WorkerEntry>) {
        let pooled = workers.into_iter().map(|entry| {
            let pool = pool_of(&entry.zone, &entry.id);
            (entry, pool)
        });
        self.workers = pooled.collect();
        self.worker_list_received(now);
        self.update_pool_names();
        self.update_owned_workers(now);
    }

    /// Updates the names of all pools: those of listed workers and those with a record, since a
    /// host without workers rarely reads the list.
    fn update_pool_names(&mut self) {
        let listed = self.workers.iter().map(|(_, pool)| pool);
        let recorded = self.pools.by_name.iter().filter(|(_, pool)| pool.record.is_some());
        let names: BTreeSet<&Name> = listed.chain(recorded.map(|(name, _)| name)).collect();
        if !names.iter().copied().eq(self.pool_names.iter()) {
            self.pool_names = names.into_iter().cloned().collect();
        }
    }

    /// Passes the workers that this host owns to the scheduler.
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

    /// Handles the answer to a lease renewal, or to a probe, which has the number 0.
    pub(crate) fn handle_renewal(
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

    /// Gives up the pools of which a worker rejected this host's token: another host owns them,
    /// although the store has not reported it yet.
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

    /// Claims the pools whose owner is lost once this host's claim delay is over, writes grants
    /// into their records, and answers challenges to the pools that this host owns.
    pub(crate) fn claim_pools(&mut self, now: Time) {
        // To a host that was cut off itself, all others look unreachable: once the store is back,
        // their frames get time to arrive before anything is claimed from them.
        let connected = self.store_since.is_some_and(|since| since.after_ms(UNREACHABLE_MS) <= now);
        if self.leaving || self.claim_due > now {
            return;
        }
        self.claim_due = now.after_ms(CLAIM_INTERVAL_MS);
        for name in self.pool_names.clone().iter() {
            let Some(pool) = self.pools.by_name.get(name) else {
                // Its workers are listed, and nothing is known of an owner.
                self.pools.by_name.insert(name.clone(), Pool::default());
                if connected && self.should_claim(now, name) {
                    self.claim(now, name);
                }
                continue;
            };
            if pool.swap_pending(now) {
                continue;
            }
            if pool.owned_by_grant() {
                if self.store_since.is_some() {
                    self.record_grant(now, name);
                }
            } else if pool.owned_by(&self.setup.me) {
                self.answer_challenge(now, name);
            } else if self.names_earlier_incarnation(name)
                || (connected && self.should_claim(now, name))
            {
                self.claim(now, name);
            }
        }
    }

    /// Answers a challenge to this owner, provided that it reaches workers of the zone.
    fn answer_challenge(&mut self, now: Time, name: &Name) {
        let challenged = self.pools.by_name.get(name).is_some_and(Pool::challenged);
        if challenged && self.scheduler.reaches_zone(now, zone_of(name)) {
            let swap = self.pools.swap_challenge(now, name, None);
            self.send_swap(swap, "owner_confirmed");
        }
    }

    /// Returns whether the record names an earlier incarnation of this host.
    fn names_earlier_incarnation(&self, name: &Name) -> bool {
        let me = &self.setup.me;
        self.pools.owner(name).is_some_and(|owner| owner.host == me.host && owner != me)
    }

    /// Claims a pool. An owner that is neither stopping nor known to have ended is challenged
    /// first, and loses the pool only if it does not answer.
    ///
    /// A host that receives no frames from the owner may itself be the one that is cut off.
    /// Without the challenge, two hosts that are cut off from each other but not from store and
    /// workers would claim the pool from each other repeatedly.
    fn claim(&mut self, now: Time, name: &Name) {
        let me = self.setup.me.clone();
        let Some(pool) = self.pools.by_name.get(name) else { return };
        let may_live = pool.record.as_ref().is_some_and(|record| {
            record.owner.host != me.host && !self.members.has_ended(&record.owner)
        });
        let must_challenge = self.setup.policy.has(Mechanism::Challenge);
        if !may_live
            || !must_challenge
            || self.peer_leaving(pool.record.as_ref().map(|record| &record.owner))
        {
            let swap = self.pools.swap_owner(now, name, &me);
            return self.send_swap(swap, "owner_claimed");
        }
        match pool.own_challenge {
            None => {
                let swap = self.pools.swap_challenge(now, name, Some(me));
                self.send_swap(swap, "owner_challenged");
            }
            Some((at, store_ms))
                if at.after_ms(CHALLENGE_MS.max(store_ms * CHALLENGE_STORE_CALLS)) <= now =>
            {
                let swap = self.pools.swap_owner(now, name, &me);
                self.send_swap(swap, "owner_claimed");
            }
            Some(_) => {}
        }
    }

    /// Returns whether a host has announced that it is stopping.
    fn peer_leaving(&self, peer: Option<&Peer>) -> bool {
        let member = peer.and_then(|peer| self.members.get(peer));
        member.is_some_and(|member| member.leaving)
    }

    /// Transfers a pool of this host to another owner through its record.
    pub(crate) fn transfer_pool(&mut self, now: Time, name: &Name, owner: &Peer) {
        let swap = self.pools.swap_owner(now, name, owner);
        self.send_swap(swap, "owner_handover");
    }

    /// Logs a swap of an ownership record as `event` and sends it to the store.
    pub(crate) fn send_swap(&mut self, swap: Option<RecordSwap>, event: &'static str) {
        let Some(swap) = swap else { return };
        let pairs = vec![
            ("pool", swap.pool.to_string()),
            ("revision", swap.revision.to_string()),
            ("record", String::from_utf8_lossy(&swap.value).into_owned()),
        ];
        self.log(Level::Info, event, pairs);
        self.out.push(FleetEffect::Count(Count::RecordChanges));
        let key = Name::from(format!("{POOL_KEY_PREFIX}{}", swap.pool));
        let op = StoreOp::Swap { key, revision: swap.revision, value: swap.value };
        self.out.push(FleetEffect::StoreCall { op_id: swap.op_id, op });
    }

    /// Returns whether this host should claim a pool now.
    fn should_claim(&mut self, now: Time, name: &Name) -> bool {
        // Of the hosts of other zones, only owners exchange heartbeats with every owner.
        if *self.setup.zone != *zone_of(name) && !self.scheduler.owns_workers() {
            return false;
        }
        let Some(pool) = self.pools.by_name.get_mut(name) else { return false };
        let me = &self.setup.me;
        let delay = match &pool.record {
            None => FIRST_CLAIM_MS,
            // A worker rejected the token of a record that still names this host: only a new
            // epoch regains the workers.
            Some(record) if record.owner == *me => {
                let since = *pool.vacant_since.get_or_insert(now);
                return pool.fenced && since.after_ms(RECLAIM_MS) <= now;
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
        let own_delay = self.claim_delay(now, name);
        if since.after_ms(delay + own_delay.unwrap_or(OTHER_ZONE_DELAY_MS)) > now {
            return false;
        }
        own_delay.is_some() || self.reachable_long_enough(now, name)
    }

    /// Returns whether a zone's workers have answered for long enough. When the network heals,
    /// they answer before frames from the zone's own hosts arrive, and claiming them then would
    /// stop the runs of those hosts.
    fn reachable_long_enough(&mut self, now: Time, name: &Name) -> bool {
        let reachable = self.zone_reachable(now, zone_of(name));
        let Some(pool) = self.pools.by_name.get_mut(name) else { return false };
        if !reachable {
            pool.reachable_since = None;
            return false;
        }
        pool.reachable_since.get_or_insert(now).after_ms(OTHER_ZONE_DELAY_MS) <= now
    }

    /// Starts a graceful shutdown: transfers the pools to other hosts and finishes the jobs that
    /// callers submitted here.
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

    /// Reports that the process may end once nothing depends on this host any more.
    pub(crate) fn check_drained(&mut self, now: Time) {
        if !self.leaving || self.drained {
            return;
        }
        let me = &self.setup.me;
        let owns = self.pools.owned(me).next().is_some();
        let alone = self.members.all().all(|member| !member.is_alive(now, UNREACHABLE_MS));
        let busy = !self.front.open.is_empty()
            || !self.scheduler.jobs.is_empty()
            || self.grants_unacked(now);
        if !busy && (!owns || alone) {
            self.drained = true;
            self.out.push(FleetEffect::Drained);
        }
    }
}
