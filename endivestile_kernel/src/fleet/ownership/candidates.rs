//! Candidate order and claim delay of the hosts that may take over pools.
//!
//! All hosts compute the same order without exchanging messages: hosts with the fewest pools
//! for their processor time come first; among equals the larger capacity decides, and last a
//! rank that depends on the replaced owner. An owner starts some hundred tasks a second, which
//! a host with a tenth of a core cannot do beside serving its own callers. If the pools did not
//! count, stopping hosts one after another would gather all of them on the few hosts with the
//! most processor time.

use std::cmp::Reverse;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::hosts::membership::{Member, host_rank};
use crate::fleet::ownership::claim::Probe;
use crate::fleet::ownership::partition::{desired_owners, pool_index, zone_of};
use crate::fleet::ownership::role::PoolRole;
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::protocol::RenewRequest;
use crate::{Peer, Time};

/// Claim delay for each candidate ahead, in milliseconds: two round trips to a slow store.
const CLAIM_STEP_MS: u64 = 120;
/// Limit on the candidates ahead that count for a claim delay: registrations of hosts that are
/// permanently gone would otherwise delay every claim.
const MAX_AHEAD: usize = 4;
/// Age up to which the answer to a probe shows that a zone is reachable, and interval between
/// two probes of a worker, in milliseconds.
const PROBE_FRESH_MS: u64 = 400;

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
    /// Returns this host's part in the ownership of its zone's workers.
    pub fn pool_role(&self) -> PoolRole {
        let has_pools = self.pools.owned(&self.setup.me).next().is_some();
        if has_pools || self.scheduler.owns_workers() {
            PoolRole::Owner
        } else if !self.pools.has_owner(&self.setup.zone) {
            PoolRole::Candidate
        } else if self.pools.any_swap() {
            PoolRole::Claimant
        } else {
            PoolRole::Observer
        }
    }

    /// Returns this host's claim delay for a pool, in milliseconds; none if it is in another zone.
    ///
    /// All pools of a lost owner go to one host if that is alive: jobs that the owner had are
    /// then sent there without waiting for worker leases to expire. Pools that never had an owner
    /// are spread over as many hosts as the zone's workers need.
    pub(crate) fn claim_delay(&self, now: Time, pool: &Name) -> Option<u64> {
        if *self.setup.zone != *zone_of(pool) {
            return None;
        }
        let owner = self.pools.owner(pool);
        let seed = owner.map_or(zone_of(pool), |owner| &owner.host);
        let order = self.candidate_order(now, seed, owner);
        let own =
            order.iter().position(|candidate| candidate.host == self.setup.me.host).unwrap_or(0);
        let ahead = match owner {
            Some(_) => own,
            None => {
                let workers =
                    self.workers.iter().filter(|(entry, _)| entry.zone == self.setup.zone);
                let capacities = order.iter().map(|candidate| candidate.capacity);
                let owners = desired_owners(workers.count(), capacities);
                let first = pool_index(pool) % owners.min(order.len());
                (own + order.len() - first) % order.len()
            }
        };
        Some(ahead.min(MAX_AHEAD) as u64 * CLAIM_STEP_MS)
    }

    /// Returns the candidates of this zone in order, this host among them: for the pools of `lost`,
    /// or for pools that never had an owner.
    fn candidate_order(&self, now: Time, seed: &str, lost: Option<&Peer>) -> Vec<Candidate> {
        let eligible = |member: &&Member| {
            let alive = member.last_frame.is_none() || member.is_alive(now, UNREACHABLE_MS);
            member.zone == self.setup.zone && !member.leaving && alive
        };
        let others = self.members.all().filter(eligible);
        let mut hosts: Vec<Candidate> = others.map(Candidate::of).collect();
        hosts.push(Candidate {
            host: self.setup.me.host.clone(),
            cpu_milli: self.setup.cpu_milli,
            capacity: self.setup.capacity(),
        });
        hosts.sort_by_cached_key(|candidate| {
            let load = lost.map_or(0, |lost| {
                self.load_after_takeover(&candidate.host, candidate.cpu_milli, lost)
            });
            (
                load,
                Reverse((candidate.capacity, candidate.cpu_milli)),
                host_rank(seed, &candidate.host),
            )
        });
        hosts
    }

    /// Returns the load of a host if it took over all pools of `lost`: pools per core, in
    /// thousandths.
    fn load_after_takeover(&self, host: &str, cpu_milli: u32, lost: &Peer) -> u64 {
        if !self.setup.policy.has(Mechanism::CandidateOrder) {
            return 0;
        }
        let pools = u64::from(self.pools.pools_after_takeover(host, lost));
        pools * 1_000_000 / u64::from(cpu_milli.max(1))
    }

    /// Returns the host that takes over a zone's pools when this one stops.
    pub(crate) fn successor(&self, now: Time, zone: &str) -> Option<Peer> {
        self.best_successor(zone, |member| {
            member.last_frame.is_none_or(|_| member.is_alive(now, UNREACHABLE_MS))
        })
    }

    /// Returns the host to which this one transfers a zone's pools directly: it has to be alive,
    /// since no other host receives the grant.
    pub(crate) fn live_successor(&self, now: Time, zone: &str) -> Option<Peer> {
        self.best_successor(zone, |member| member.is_alive(now, UNREACHABLE_MS))
    }

    fn best_successor(&self, zone: &str, live: impl Fn(&Member) -> bool) -> Option<Peer> {
        let live = self.members.all().filter(|member| !member.leaving && live(member));
        let me = &self.setup.me;
        let order = |member: &&Member| {
            let host = &member.peer.host;
            let load = self.load_after_takeover(host, member.cpu_milli, me);
            (*member.zone != *zone, load, Reverse(member.cpu_milli), host_rank(&me.host, host))
        };
        live.min_by_key(order).map(|member| member.peer.clone())
    }

    /// Returns whether a zone's workers answer this host; probes one of them if that is unknown.
    ///
    /// From outside, a zone whose hosts have died looks like one that is cut off. Claiming the
    /// workers of a zone that is cut off serves no caller, and takes them from the zone's own
    /// host once the network heals.
    pub(crate) fn zone_reachable(&mut self, now: Time, zone: &str) -> bool {
        let workers = &self.workers;
        let in_zone = || workers.iter().map(|(entry, _)| entry).filter(|e| *e.zone == *zone);
        let fresh =
            |probe: &Probe| probe.answered.is_some_and(|at| at.after_ms(PROBE_FRESH_MS) > now);
        let mut probes = in_zone().filter_map(|entry| self.probes.get(&entry.id));
        if !self.probes.is_empty() && probes.any(fresh) {
            return true;
        }
        let count = in_zone().count();
        let Some(entry) = in_zone().nth(now.as_micros() as usize % count.max(1)) else {
            return false;
        };
        let last = self.probes.get(&entry.id).map(|probe| probe.sent);
        if last.is_some_and(|sent| sent.after_ms(PROBE_FRESH_MS) > now) {
            return false;
        }
        self.probes.insert(entry.id.clone(), Probe { sent: now, answered: None });
        let request = RenewRequest {
            worker: entry.id.clone(),
            address: entry.address.clone(),
            lease_until: None,
            token: 0,
            observed: 0,
            wait_ms: 0,
        };
        self.out.push(FleetEffect::WorkerCall(WorkerCall::Renew(0, request)));
        false
    }
}
