//! Which host takes over the workers of a zone, and when.

use std::collections::BTreeSet;

use endivestile_config::model::Name;

use super::call::Call;
use super::core::{Fleet, FleetEffect};
use super::measure::Count;
use super::members::{HostEntry, rank};
use super::pools::POOL_KEYS;
use super::serve::LOST_MS;
use super::worker::{CallFault, Held, HoldOrder, WorkerEntry};
use crate::{Level, Peer, StoreOp, Stored, Time};

/// Wait before workers without any owner are claimed, in milliseconds: hosts
/// that start together have to find each other first.
const FIRST_MS: u64 = 300;
/// Wait of each further candidate, in milliseconds: two round trips to a slow store.
const TURN_MS: u64 = 120;
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
/// Members of the zone that may go first at most: registrations of hosts that
/// are gone for good would otherwise delay every claim.
const MAX_BEFORE: u64 = 4;
/// Age of a probe's answer up to which it shows that a zone's workers are in
/// reach, in milliseconds.
const PROBE_MS: u64 = 400;

/// A look at a worker of another zone, to learn whether the zone is in reach.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Probe {
    sent: Time,
    reached: Option<Time>,
}

impl Fleet {
    pub(super) fn register(&mut self, now: Time, name: &Name, entry: Option<&HostEntry>) {
        if let Some(ended) = self.members.register(now, name, entry) {
            self.peer_ended(now, &ended);
            self.settle(now);
        }
    }

    /// Takes in a pool's record.
    pub(super) fn record(&mut self, now: Time, zone: &Name, revision: u64, value: &[u8]) {
        match self.pools.record(now, zone, revision, value) {
            Ok(true) => self.owners_changed(now, zone),
            Ok(false) => {}
            Err(e) => {
                let pairs = vec![("zone", zone.to_string()), ("error", e.to_string())];
                self.note(Level::Error, "record_unreadable", pairs);
            }
        }
    }

    /// Takes in how a change of a record ended.
    pub(super) fn stored(&mut self, now: Time, token: u64, stored: &Stored) {
        let Some((zone, done)) = self.pools.stored(now, token, stored) else { return };
        let pairs = vec![("zone", zone.to_string()), ("outcome", format!("{stored:?}"))];
        self.note(Level::Info, "owner_change_ended", pairs);
        if done {
            self.owners_changed(now, &zone);
        }
    }

    fn owners_changed(&mut self, now: Time, zone: &Name) {
        let owner = self.pools.owner(zone).map_or(String::new(), ToString::to_string);
        let pool = self.pools.by_zone.get(zone);
        let token = pool.map_or(0, super::pools::Pool::token);
        let pairs =
            vec![("zone", zone.to_string()), ("owner", owner), ("token", token.to_string())];
        self.note(Level::Info, "owner_known", pairs);
        self.take_workers(now);
    }

    pub(super) fn list_workers(&mut self, now: Time, workers: Vec<WorkerEntry>) {
        self.workers = workers;
        self.take_workers(now);
    }

    /// Hands the scheduler the workers that this host owns.
    fn take_workers(&mut self, now: Time) {
        let me = &self.setup.me;
        let owned = |zone: &Name| {
            let pool = self.pools.by_zone.get(zone)?;
            pool.owned_by(me).then(|| pool.token())
        };
        let mine = self.workers.iter().filter_map(|entry| {
            let token = owned(&entry.zone)?;
            Some((entry.clone(), token))
        });
        let mine: Vec<(WorkerEntry, u64)> = mine.collect();
        let zones = self.pools.by_zone.keys().filter(|zone| owned(zone).is_some());
        let zones: BTreeSet<Name> = zones.cloned().collect();
        self.scheduler.set_workers(now, &mine, &zones);
        self.report.0 = Time::ZERO;
        self.settle(now);
    }

    /// Takes in the answer to a hold, or to a probe.
    pub(super) fn held(
        &mut self,
        now: Time,
        worker: &Name,
        number: u64,
        end: Result<Held, CallFault>,
    ) {
        if number == 0 {
            let lost = matches!(end, Err(CallFault::Unreachable | CallFault::Lost));
            if let Some(probe) = self.probes.get_mut(worker).filter(|_| !lost) {
                probe.reached = Some(now);
            }
            return;
        }
        self.scheduler.held(now, worker, number, end);
        self.check_fenced(now);
    }

    /// A worker refused our token: somebody else owns the pool by now, though
    /// the store has not told yet.
    fn check_fenced(&mut self, now: Time) {
        let fenced: BTreeSet<Name> = self.scheduler.fenced_zones();
        for zone in fenced {
            let Some(pool) = self.pools.by_zone.get_mut(&zone) else { continue };
            if pool.deposed {
                continue;
            }
            pool.deposed = true;
            pool.vacant = None;
            self.out.push(FleetEffect::Count(Count::Deposed));
            self.note(Level::Warn, "deposed", vec![("zone", zone.to_string())]);
            self.take_workers(now);
        }
    }

    /// Claims the pools whose owner is lost, if it is this host's turn.
    pub(super) fn claim_pools(&mut self, now: Time) {
        // A host that was cut off itself sees everybody silent: it has to hear
        // of the others before it takes anything from them.
        let connected = self.store_since.is_some_and(|since| since.after_ms(LOST_MS) <= now);
        if self.leaving {
            return;
        }
        let zones: BTreeSet<Name> = self.workers.iter().map(|entry| entry.zone.clone()).collect();
        for zone in zones {
            let pool = self.pools.by_zone.entry(zone.clone()).or_default();
            if pool.changing(now) {
                continue;
            }
            if pool.owned_by(&self.setup.me) {
                self.confirm(now, &zone);
            } else if self.named_before(&zone) || (connected && self.wants(now, &zone)) {
                self.claim(now, &zone);
            }
        }
    }

    /// Answers a host that asks in the record whether this owner lives.
    fn confirm(&mut self, now: Time, zone: &Name) {
        let challenged = self.pools.by_zone.get(zone).is_some_and(super::pools::Pool::challenged);
        if challenged && self.scheduler.reaches(now, zone) {
            let change = self.pools.ask(now, zone, None);
            self.write(change, "owner_confirmed");
        }
    }

    /// Returns whether the record names an earlier life of this host.
    fn named_before(&self, zone: &Name) -> bool {
        let me = &self.setup.me;
        let record = self.pools.by_zone.get(zone).and_then(|pool| pool.record.as_ref());
        record.is_some_and(|record| record.owner.host == me.host && record.owner != *me)
    }

    /// Takes a pool, after its owner was asked in the record and did not answer.
    ///
    /// A host that cannot hear the owner may be the one that is cut off. Without
    /// the question two hosts that are cut from each other, but not from store
    /// and workers, would take the pool from each other again and again.
    fn claim(&mut self, now: Time, zone: &Name) {
        let me = self.setup.me.clone();
        let Some(pool) = self.pools.by_zone.get(zone) else { return };
        let lives = pool.record.as_ref().is_some_and(|record| {
            record.owner.host != me.host && self.members.get(&record.owner).is_some()
        });
        if !lives || self.left(pool.record.as_ref().map(|record| &record.owner)) {
            let change = self.pools.change(now, zone, &me);
            return self.write(change, "owner_claimed");
        }
        match pool.asked {
            None => {
                let change = self.pools.ask(now, zone, Some(me));
                self.write(change, "owner_challenged");
            }
            Some((at, took)) if at.after_ms(ANSWER_MS.max(took * STORE_CALLS)) <= now => {
                let change = self.pools.change(now, zone, &me);
                self.write(change, "owner_claimed");
            }
            Some(_) => {}
        }
    }

    /// Returns whether a host has said that it is stopping.
    fn left(&self, peer: Option<&Peer>) -> bool {
        let member = peer.and_then(|peer| self.members.get(peer));
        member.is_some_and(|member| member.leaving)
    }

    fn change_owner(&mut self, now: Time, zone: &Name, owner: &Peer) {
        let change = self.pools.change(now, zone, owner);
        self.write(change, "owner_handover");
    }

    fn write(&mut self, change: Option<super::pools::Change>, event: &'static str) {
        let Some(change) = change else { return };
        let pairs = vec![
            ("zone", change.zone.to_string()),
            ("revision", change.revision.to_string()),
            ("record", String::from_utf8_lossy(&change.value).into_owned()),
        ];
        self.note(Level::Info, event, pairs);
        self.out.push(FleetEffect::Count(Count::RecordChanges));
        let key = Name::from(format!("{POOL_KEYS}{}", change.zone));
        let op = StoreOp::Swap { key, revision: change.revision, value: change.value };
        self.out.push(FleetEffect::Store { token: change.token, op });
    }

    /// Returns whether this host is to claim a pool now.
    fn wants(&mut self, now: Time, zone: &Name) -> bool {
        let wait = self.turn(now, zone);
        let Some(pool) = self.pools.by_zone.get_mut(zone) else { return false };
        let me = &self.setup.me;
        let first = match &pool.record {
            None => FIRST_MS,
            // A worker refused the token of a record that still names us: only a
            // new epoch brings the workers back.
            Some(record) if record.owner == *me => {
                let since = *pool.vacant.get_or_insert(now);
                return pool.deposed && since.after_ms(DEPOSED_MS) <= now;
            }
            Some(record) => {
                let member = self.members.named(&record.owner.host);
                let alive = member.is_some_and(|member| {
                    let known = member.since.max(pool.changed);
                    let fresh = member.heard.is_none() && known.after_ms(LOST_MS) > now;
                    member.peer == record.owner && (fresh || member.answers(now, LOST_MS))
                });
                if alive || pool.confirmed > now {
                    pool.vacant = None;
                    pool.reached = None;
                    return false;
                }
                0
            }
        };
        let since = *pool.vacant.get_or_insert(now);
        if since.after_ms(first + wait.unwrap_or(OUTSIDE_MS)) > now {
            return false;
        }
        wait.is_some() || self.long_in_reach(now, zone)
    }

    /// Returns whether a zone's workers have answered for a while. When a cut
    /// heals they answer before the zone's own hosts are heard again, and
    /// claiming them then would stop what those hosts have running.
    fn long_in_reach(&mut self, now: Time, zone: &Name) -> bool {
        let reached = self.in_reach(now, zone);
        let Some(pool) = self.pools.by_zone.get_mut(zone) else { return false };
        if !reached {
            pool.reached = None;
            return false;
        }
        pool.reached.get_or_insert(now).after_ms(OUTSIDE_MS) <= now
    }

    /// Returns how long this host lets others go first; none for a host of another zone.
    fn turn(&self, now: Time, zone: &Name) -> Option<u64> {
        if self.setup.zone != *zone {
            return None;
        }
        let mine = rank(zone, &self.setup.me.host);
        let before = self.members.all().filter(|member| {
            let lives = member.heard.is_none() || member.answers(now, LOST_MS);
            member.zone == *zone && !member.leaving && lives && rank(zone, &member.peer.host) < mine
        });
        Some((before.count() as u64).min(MAX_BEFORE) * TURN_MS)
    }

    /// Returns whether a zone's workers answer this host; asks one if that is not known.
    ///
    /// From outside, a zone whose hosts have died and one that is cut off look
    /// alike. Claiming the workers of the latter serves nobody, and takes them
    /// from the zone's own host once the cut has healed.
    fn in_reach(&mut self, now: Time, zone: &Name) -> bool {
        let workers: Vec<WorkerEntry> =
            self.workers.iter().filter(|entry| entry.zone == *zone).cloned().collect();
        let fresh = |probe: &&Probe| probe.reached.is_some_and(|at| at.after_ms(PROBE_MS) > now);
        let ids = workers.iter().map(|entry| &entry.id);
        if ids.filter_map(|id| self.probes.get(id)).any(|probe| fresh(&probe)) {
            return true;
        }
        let Some(entry) = workers.get(now.as_micros() as usize % workers.len().max(1)) else {
            return false;
        };
        let last = self.probes.get(&entry.id).map(|probe| probe.sent);
        if last.is_some_and(|sent| sent.after_ms(PROBE_MS) > now) {
            return false;
        }
        self.probes.insert(entry.id.clone(), Probe { sent: now, reached: None });
        let order = HoldOrder {
            worker: entry.id.clone(),
            address: entry.address.clone(),
            until: None,
            token: 0,
            observed: 0,
            wait: 0,
        };
        self.out.push(FleetEffect::Worker(Call::Hold(0, order)));
        false
    }

    /// Starts a graceful shutdown: the workers go to another host, and what
    /// callers have handed in here is seen to its end.
    pub(super) fn shutdown(&mut self, now: Time) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        self.note(Level::Info, "leaving", vec![("open", self.front.open.len().to_string())]);
        self.out.push(FleetEffect::Leave);
        let me = self.setup.me.clone();
        let owned = self.pools.by_zone.iter().filter(|(_, pool)| pool.owned_by(&me));
        let zones: Vec<Name> = owned.map(|(zone, _)| zone.clone()).collect();
        for zone in zones {
            if let Some(next) = self.successor(now, &zone) {
                self.change_owner(now, &zone, &next);
            }
        }
    }

    /// Returns the host that takes a zone's workers next.
    fn successor(&self, now: Time, zone: &Name) -> Option<Peer> {
        let live = self.members.all().filter(|member| {
            !member.leaving && member.heard.is_none_or(|_| member.answers(now, LOST_MS))
        });
        let order = |member: &&super::members::Member| {
            (member.zone != *zone, rank(zone, &member.peer.host))
        };
        live.min_by_key(order).map(|member| member.peer.clone())
    }

    /// Says so once nothing depends on this host any more.
    pub(super) fn check_drained(&mut self, now: Time) {
        let me = &self.setup.me;
        let owns = self.pools.by_zone.values().any(|pool| pool.owned_by(me));
        let alone = self.members.all().all(|member| !member.answers(now, LOST_MS));
        let busy = !self.front.open.is_empty() || !self.scheduler.jobs.is_empty();
        if self.leaving && !self.drained && !busy && (!owns || alone) {
            self.drained = true;
            self.out.push(FleetEffect::Drained);
        }
    }
}
