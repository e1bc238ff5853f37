//! In which order hosts take over pools.
//!
//! All hosts work out the same order without a message: those with the least
//! pools for their processor time first, then by a rank that depends on who is
//! replaced. An owner places some hundred starts a second, which a host of a tenth
//! of a core cannot do beside its own callers; and when hosts are stopped in turn,
//! everything would gather at the few with the most processor time.

use std::cmp::Reverse;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::hosts::membership::{Member, host_rank};
use crate::fleet::ownership::claim::Probe;
use crate::fleet::ownership::partition::{desired_owners, pool_index, zone_of};
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::protocol::{RenewRequest, WorkerEntry};
use crate::{Peer, Time};

/// Wait of each further candidate, in milliseconds: two round trips to a slow store.
const TURN_MS: u64 = 120;
/// Members of the zone that may go first at most: registrations of hosts that
/// are gone for good would otherwise delay every claim.
const MAX_BEFORE: usize = 4;
/// Age of a probe's answer up to which it shows that a zone's workers are in
/// reach, in milliseconds.
const PROBE_MS: u64 = 400;

/// A host that may own pools.
struct Candidate {
    host: Name,
    cpu_milli: u32,
    /// Workers that it can drive.
    capacity: u32,
}

impl Candidate {
    fn of(member: &Member) -> Self {
        let (host, cpu_milli) = (member.peer.host.clone(), member.cpu_milli);
        Self { host, cpu_milli, capacity: member.capacity() }
    }
}

impl Fleet {
    /// Returns how long this host lets others go first; none for a host of another zone.
    ///
    /// Everything that an owner leaves behind goes to one host, if that lives:
    /// jobs that were placed there are then placed anew without waiting for
    /// leases. Pools that nobody ever owned are dealt out to as many hosts as
    /// the zone's workers need.
    pub(crate) fn claim_delay(&self, now: Time, pool: &Name) -> Option<u64> {
        if *self.setup.zone != *zone_of(pool) {
            return None;
        }
        let owner = self.pools.owner(pool);
        let seed = owner.map_or(zone_of(pool), |owner| &owner.host);
        let order = self.order(now, seed, owner);
        let mine = order.iter().position(|at| at.host == self.setup.me.host).unwrap_or(0);
        let before = match owner {
            Some(_) => mine,
            None => {
                let workers =
                    self.workers.iter().filter(|(entry, _)| entry.zone == self.setup.zone);
                let capacities = order.iter().map(|at| at.capacity);
                let owners = desired_owners(workers.count(), capacities);
                let first = pool_index(pool) % owners.min(order.len());
                (mine + order.len() - first) % order.len()
            }
        };
        Some(before.min(MAX_BEFORE) as u64 * TURN_MS)
    }

    /// Returns the hosts of this zone that may own pools, this one among them.
    fn order(&self, now: Time, seed: &str, lost: Option<&Peer>) -> Vec<Candidate> {
        let may = |member: &&Member| {
            let lives = member.last_frame.is_none() || member.is_alive(now, UNREACHABLE_MS);
            member.zone == self.setup.zone && !member.leaving && lives
        };
        let others = self.members.all().filter(may);
        let mut hosts: Vec<Candidate> = others.map(Candidate::of).collect();
        hosts.push(Candidate {
            host: self.setup.me.host.clone(),
            cpu_milli: self.setup.cpu_milli,
            capacity: self.setup.capacity(),
        });
        hosts.sort_by_cached_key(|at| {
            let load = lost.map_or(0, |lost| self.load(&at.host, at.cpu_milli, lost));
            (load, Reverse((at.capacity, at.cpu_milli)), host_rank(seed, &at.host))
        });
        hosts
    }

    /// Returns how many pools a host would have for each core of its processor
    /// time, in thousandths, if it took all of another's.
    fn load(&self, host: &str, cpu_milli: u32, lost: &Peer) -> u64 {
        if !self.setup.policy.has(Mechanism::CandidateOrder) {
            return 0;
        }
        let pools = u64::from(self.pools.pools_after_takeover(host, lost));
        pools * 1_000_000 / u64::from(cpu_milli.max(1))
    }

    /// Returns the host that takes a zone's pools from this one when it stops.
    pub(crate) fn successor(&self, now: Time, zone: &str) -> Option<Peer> {
        self.next_owner(zone, |member| {
            member.last_frame.is_none_or(|_| member.is_alive(now, UNREACHABLE_MS))
        })
    }

    /// Returns the host that takes a zone's pools at this one's word: it has to be heard,
    /// since nobody else learns of them.
    pub(crate) fn live_successor(&self, now: Time, zone: &str) -> Option<Peer> {
        self.next_owner(zone, |member| member.is_alive(now, UNREACHABLE_MS))
    }

    fn next_owner(&self, zone: &str, live: impl Fn(&Member) -> bool) -> Option<Peer> {
        let live = self.members.all().filter(|member| !member.leaving && live(member));
        let me = &self.setup.me;
        let order = |member: &&Member| {
            let host = &member.peer.host;
            let load = self.load(host, member.cpu_milli, me);
            (*member.zone != *zone, load, Reverse(member.cpu_milli), host_rank(&me.host, host))
        };
        live.min_by_key(order).map(|member| member.peer.clone())
    }

    /// Returns whether a zone's workers answer this host; asks one if that is not known.
    ///
    /// From outside, a zone whose hosts have died and one that is cut off look
    /// alike. Claiming the workers of the latter serves nobody, and takes them
    /// from the zone's own host once the cut has healed.
    pub(crate) fn zone_reachable(&mut self, now: Time, zone: &str) -> bool {
        let here = self.workers.iter().map(|(entry, _)| entry).filter(|e| *e.zone == *zone);
        let workers: Vec<WorkerEntry> = here.cloned().collect();
        let fresh = |probe: &&Probe| probe.answered.is_some_and(|at| at.after_ms(PROBE_MS) > now);
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
        self.probes.insert(entry.id.clone(), Probe { sent: now, answered: None });
        let order = RenewRequest {
            worker: entry.id.clone(),
            address: entry.address.clone(),
            lease_until: None,
            token: 0,
            observed: 0,
            wait_ms: 0,
        };
        self.out.push(FleetEffect::WorkerCall(WorkerCall::Renew(0, order)));
        false
    }
}
