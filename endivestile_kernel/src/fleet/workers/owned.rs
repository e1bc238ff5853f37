//! The set of workers that a scheduler owns.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;

use crate::fleet::job_state::JobState;
use crate::fleet::scheduler::Scheduler;
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::protocol::WorkerEntry;
use crate::{Peer, Time};

/// Speed, 1 for the usual, below which a worker's capacity counts for late jobs only: hardly
/// any job meets an objective of one and a half times its work there.
pub(crate) const SLOW_SPEED: f64 = 0.4;

impl Scheduler {
    /// Replaces the registered workers of the owned pools, each with its pool and token.
    ///
    /// Workers of other pools are abandoned. Jobs are returned when no worker is left.
    pub(crate) fn set_workers(
        &mut self,
        now: Time,
        workers: &[(WorkerEntry, Name, u64)],
        pools: &BTreeSet<Name>,
    ) {
        let ids: BTreeSet<&Name> = workers.iter().map(|(entry, ..)| &entry.id).collect();
        for driver in self.drivers.values_mut() {
            driver.registered = ids.contains(&driver.entry.id);
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

    /// Returns whether this host owns any worker.
    pub(crate) fn owns_workers(&self) -> bool {
        self.drivers.values().any(|driver| !driver.abandoned)
    }

    /// Returns whether no run of a former owner can be left on any owned worker.
    ///
    /// A job that is resubmitted after its scheduler was lost has to wait for this: its
    /// tasks may still run on a worker that has not been cleared.
    pub(crate) fn cleared(&self, now: Time) -> bool {
        let owned = self.drivers.values().filter(|driver| !driver.abandoned);
        owned.into_iter().all(|driver| driver.cleared(now))
    }

    /// Queues the deferred jobs once all workers are cleared.
    pub(crate) fn resume_deferred(&mut self, now: Time) {
        let deferred = |(number, state): (&u64, &JobState)| state.deferred.then_some(*number);
        let numbers: Vec<u64> = self.jobs.iter().filter_map(deferred).collect();
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

    /// Sets the length of worker leases, in milliseconds.
    pub(crate) fn set_worker_lease(&mut self, lease_ms: u64) {
        self.lease_ms = lease_ms;
        for driver in self.drivers.values_mut() {
            driver.lease_ms = lease_ms;
        }
    }

    /// Returns whether any owned worker of a zone is responsive.
    pub(crate) fn reaches_zone(&self, now: Time, zone: &str) -> bool {
        let mut owned = self.drivers.values().filter(|driver| &*driver.entry.zone == zone);
        owned.any(|driver| !driver.abandoned && driver.responsive(now))
    }

    /// Returns the pools of which a worker has rejected our fencing token.
    pub(crate) fn fenced_pools(&self) -> BTreeSet<Name> {
        let fenced = self.drivers.values().filter(|driver| driver.fenced() && !driver.abandoned);
        fenced.map(|driver| driver.pool.clone()).collect()
    }

    /// Returns the other hosts whose jobs are scheduled here.
    pub(crate) fn fronts(&self) -> Vec<Peer> {
        let peers: BTreeSet<&Peer> = self.front_peers().collect();
        peers.into_iter().cloned().collect()
    }

    /// Returns the sender of each job that another host sent.
    pub(crate) fn front_peers(&self) -> impl Iterator<Item = &Peer> {
        self.jobs.values().map(|state| &state.sender).filter(|sender| **sender != self.me)
    }

    /// Returns the hosts that run forwarded tasks.
    pub(crate) fn forward_targets(&self) -> Vec<Peer> {
        let peers: BTreeSet<&Peer> = self.forward_peers().collect();
        peers.into_iter().cloned().collect()
    }

    /// Returns the host of each forwarded task.
    pub(crate) fn forward_peers(&self) -> impl Iterator<Item = &Peer> {
        self.forwards.values().map(|(peer, _)| peer)
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

    /// Marks the pool that is being transferred, on whose workers no task is started;
    /// unmarks any other.
    pub(crate) fn set_transferring(&mut self, pool: Option<&Name>) {
        self.transferring = pool.cloned();
        for driver in self.drivers.values_mut() {
            driver.transferring = pool == Some(&driver.pool);
        }
        self.dirty = true;
    }

    /// Returns the number of runs on the workers of a pool.
    pub(crate) fn runs_in_pool(&self, pool: &str) -> usize {
        let in_pool = self.drivers.values().filter(|driver| &*driver.pool == pool);
        in_pool.map(|driver| driver.runs.len()).sum()
    }

    /// Returns whether the workers of a pool have no runs.
    pub(crate) fn pool_idle(&self, pool: &str) -> bool {
        self.runs_in_pool(pool) == 0
    }

    /// Returns whether jobs that are not late may use a worker: it is neither ejected nor slow.
    pub(crate) fn healthy(&self, now: Time, worker: &str) -> bool {
        self.health.allows(now, worker, false) && self.durations.speed(worker) >= SLOW_SPEED
    }

    /// Returns for each service how many tasks of average size fit on healthy workers, and
    /// how many tasks wait.
    pub(crate) fn load_by_service(&self, now: Time) -> BTreeMap<Name, (u32, u32)> {
        let mut loads: BTreeMap<Name, (u32, u32)> = BTreeMap::new();
        for driver in self.drivers.values().filter(|driver| driver.usable(now)) {
            let service = &driver.entry.service;
            let usual_cpu = self.usual_cpu.get(service).copied().unwrap_or(1_000.0).max(1.0);
            let slots = (f64::from(driver.free_capacity().cpu_milli) / usual_cpu) as u32;
            let load = loads.entry(service.clone()).or_default();
            if self.healthy(now, &driver.entry.id) {
                load.0 += slots;
            }
        }
        for (service, queue) in &self.queues {
            loads.entry(service.clone()).or_default().1 = queue.len() as u32;
        }
        loads
    }
}
