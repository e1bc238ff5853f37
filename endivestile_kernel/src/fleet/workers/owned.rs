//! The workers that a placer owns, as a whole.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;

use crate::fleet::job_state::JobState;
use crate::fleet::scheduler::Scheduler;
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::protocol::WorkerEntry;
use crate::{Peer, Time};

/// Speed below which a worker's places count for late jobs only, 1 for the usual:
/// hardly any job meets an objective of one and a half times its work there.
pub(crate) const SLOW_SPEED: f64 = 0.4;

impl Scheduler {
    /// Takes over the listed workers of the pools that this host owns, each
    /// with its pool and token. Workers of other pools are let go; jobs are given
    /// back when none is left.
    pub(crate) fn set_workers(
        &mut self,
        now: Time,
        workers: &[(WorkerEntry, Name, u64)],
        pools: &BTreeSet<Name>,
    ) {
        let known: BTreeSet<&Name> = workers.iter().map(|(entry, ..)| &entry.id).collect();
        for driver in self.drivers.values_mut() {
            driver.registered = known.contains(&driver.entry.id);
            driver.abandoned = !pools.contains(&driver.pool);
        }
        for (entry, pool, token) in workers {
            self.set_worker(now, entry, pool, *token);
        }
        self.dirty = true;
        if self.drivers.values().all(|driver| driver.abandoned) && !self.jobs.is_empty() {
            self.abort_jobs(now);
        }
        self.return_unservable(now);
    }

    /// Returns whether this host owns workers.
    pub(crate) fn owns_workers(&self) -> bool {
        self.drivers.values().any(|driver| !driver.abandoned)
    }

    /// Returns whether nothing that a former owner ordered can run any more.
    ///
    /// A job that is sent again because its placer was lost must wait for that:
    /// its tasks may still run on a worker that has not been cleared yet.
    pub(crate) fn cleared(&self, now: Time) -> bool {
        let own = self.drivers.values().filter(|driver| !driver.abandoned);
        own.into_iter().all(|driver| driver.cleared(now))
    }

    /// Lets jobs go on that waited for workers to be cleared.
    pub(crate) fn resume_deferred(&mut self, now: Time) {
        let parked = |(number, state): (&u64, &JobState)| state.deferred.then_some(*number);
        let numbers: Vec<u64> = self.jobs.iter().filter_map(parked).collect();
        if numbers.is_empty() || !self.cleared(now) {
            return;
        }
        for number in numbers {
            if let Some(state) = self.jobs.get_mut(&number) {
                state.deferred = false;
            }
            self.unblock(now, number);
        }
    }

    /// Puts another lease of workers in force, in milliseconds.
    pub(crate) fn set_worker_lease(&mut self, lease_ms: u64) {
        self.lease_ms = lease_ms;
        for driver in self.drivers.values_mut() {
            driver.lease_ms = lease_ms;
        }
    }

    /// Returns whether any worker of a zone answers this host as its owner.
    pub(crate) fn reaches_zone(&self, now: Time, zone: &str) -> bool {
        let mut own = self.drivers.values().filter(|driver| &*driver.entry.zone == zone);
        own.any(|driver| !driver.abandoned && driver.responsive(now))
    }

    /// Returns the pools of which a worker refused our token.
    pub(crate) fn fenced_pools(&self) -> BTreeSet<Name> {
        let fenced = self.drivers.values().filter(|driver| driver.fenced() && !driver.abandoned);
        fenced.map(|driver| driver.pool.clone()).collect()
    }

    /// Returns the other hosts for which jobs are held.
    pub(crate) fn fronts(&self) -> Vec<Peer> {
        let others = self.jobs.values().filter(|state| state.sender != self.me);
        let peers: BTreeSet<&Peer> = others.map(|state| &state.sender).collect();
        peers.into_iter().cloned().collect()
    }

    /// Returns the hosts to which tasks are forwarded.
    pub(crate) fn forward_targets(&self) -> Vec<Peer> {
        let peers: BTreeSet<&Peer> = self.forwards.values().map(|(peer, _)| peer).collect();
        peers.into_iter().cloned().collect()
    }

    fn set_worker(&mut self, now: Time, entry: &WorkerEntry, pool: &Name, token: u64) {
        if let Some(driver) = self.drivers.get_mut(&entry.id) {
            driver.entry = entry.clone();
            driver.evacuated = self.evacuated_zones.contains(&entry.zone);
            if driver.token() != token {
                driver.set_token(now, token);
            }
            return;
        }
        let mut driver = Driver::new(now, entry.clone(), pool.clone(), token, self.lease_ms);
        driver.transferring = self.transferring.as_ref() == Some(pool);
        driver.evacuated = self.evacuated_zones.contains(&entry.zone);
        self.drivers.insert(entry.id.clone(), driver);
    }

    /// Starts nothing more on the workers of a pool, and opens any other again.
    pub(crate) fn set_transferring(&mut self, pool: Option<&Name>) {
        self.transferring = pool.cloned();
        for driver in self.drivers.values_mut() {
            driver.transferring = pool == Some(&driver.pool);
        }
        self.dirty = true;
    }

    /// Returns how many runs the workers of a pool have.
    pub(crate) fn runs_in_pool(&self, pool: &str) -> usize {
        let there = self.drivers.values().filter(|driver| &*driver.pool == pool);
        there.map(|driver| driver.runs.len()).sum()
    }

    /// Returns whether nothing runs on the workers of a pool.
    pub(crate) fn pool_idle(&self, pool: &str) -> bool {
        self.runs_in_pool(pool) == 0
    }

    /// Returns whether jobs in time may be given to a worker: it is not out, and not slow.
    pub(crate) fn healthy(&self, now: Time, worker: &str) -> bool {
        self.health.allows(now, worker, false) && self.durations.speed(worker) >= SLOW_SPEED
    }

    /// Returns the room for usual tasks by service, and what waits.
    pub(crate) fn load_by_service(&self, now: Time) -> BTreeMap<Name, (u32, u32)> {
        let mut rooms: BTreeMap<Name, (u32, u32)> = BTreeMap::new();
        for driver in self.drivers.values().filter(|driver| driver.usable(now)) {
            let service = &driver.entry.service;
            let usual = self.usual_cpu.get(service).copied().unwrap_or(1_000.0).max(1.0);
            let places = (f64::from(driver.free_capacity().cpu_milli) / usual) as u32;
            let room = rooms.entry(service.clone()).or_default();
            if self.healthy(now, &driver.entry.id) {
                room.0 += places;
            }
        }
        for (service, queue) in &self.queues {
            rooms.entry(service.clone()).or_default().1 = queue.len() as u32;
        }
        rooms
    }
}
