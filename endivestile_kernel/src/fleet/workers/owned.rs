//! The set of workers that a scheduler owns.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::job_state::{JobState, TaskState};
use crate::fleet::leases::Leases;
use crate::fleet::metrics::{Count, Gauge};
use crate::fleet::scheduler::{Output, Scheduler, has_capacity, has_label};
use crate::fleet::workers::capacity::{WorkerCapacity, least};
use crate::fleet::workers::crash_evidence::{CrashVerdict, TaskKey};
use crate::fleet::workers::driver::Driver;
use crate::fleet::workers::protocol::WorkerEntry;
use crate::fleet::workers::run::TaskRef;
use crate::{Level, Need, Note, Peer, Time};

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
        self.observe_registrations(now, workers, pools);
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

    /// Sets the lengths of leases.
    pub(crate) fn set_leases(&mut self, leases: Leases) {
        self.leases = leases;
        for driver in self.drivers.values_mut() {
            driver.leases = leases;
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
            let capacity = driver.capacity.as_mut();
            let before = capacity.as_ref().map(|it| (it.assumed(), it.age_ms(now)));
            let changed =
                capacity.is_some_and(|it| it.register(now, entry.incarnation, entry.capacity));
            driver.evacuated = self.evacuated_zones.contains(&entry.zone);
            if driver.token() != token {
                driver.set_token(now, token);
            }
            if changed {
                self.report_capacity_change(&entry.id, before);
            }
            return;
        }
        let mut driver = Driver::new(now, entry.clone(), pool.clone(), token, self.leases);
        let changes = self.policy.has(Mechanism::CapacityChanges);
        driver.capacity =
            changes.then(|| WorkerCapacity::new(now, entry.incarnation, entry.capacity));
        driver.records_losses = self.policy.has(Mechanism::CrashLimit);
        driver.transferring = self.transferring.as_ref() == Some(pool);
        driver.evacuated = self.evacuated_zones.contains(&entry.zone);
        self.drivers.insert(entry.id.clone(), driver);
    }

    /// Applies what the registrations show about workers that were lost: another incarnation
    /// registers, or the worker's registration has ended too.
    fn observe_registrations(
        &mut self,
        now: Time,
        workers: &[(WorkerEntry, Name, u64)],
        pools: &BTreeSet<Name>,
    ) {
        if self.crashes.is_empty() {
            return;
        }
        let listed = workers.iter().map(|(entry, ..)| (&entry.id, Some(entry.incarnation)));
        let ended = self.drivers.values().filter(|it| !it.registered && pools.contains(&it.pool));
        let shown: Vec<(Name, Option<u64>)> = listed
            .chain(ended.map(|it| (&it.entry.id, None)))
            .filter(|(id, _)| self.crashes.is_unclear(id))
            .map(|(id, incarnation)| (id.clone(), incarnation))
            .collect();
        for (worker, incarnation) in shown {
            let crashed = self.crashes.observe_registration(&worker, incarnation);
            self.report_crash(now, &worker, &crashed.into_iter().collect());
        }
    }

    /// Handles a queued task under which workers were lost; returns whether it has left the
    /// queue, or `None` if it may be started like any other.
    pub(crate) fn handle_suspected(&mut self, now: Time, task: TaskRef) -> Option<bool> {
        if self.crashes.is_empty() {
            return None;
        }
        let key = self.jobs.get(&task.job)?.task_key(task.task as usize);
        match self.crashes.verdict(now, &key) {
            CrashVerdict::Start => None,
            CrashVerdict::StartAlone => Some(self.start_alone(now, task, &key)),
            CrashVerdict::Wait => Some(false),
            CrashVerdict::GiveUp => {
                self.give_up(now, task, &key);
                Some(true)
            }
        }
    }

    /// Starts a suspected task on a worker without other runs; if there is none, reserves the
    /// worker with the fewest. Only one such task is handled at a time.
    fn start_alone(&mut self, now: Time, task: TaskRef, key: &TaskKey) -> bool {
        if self.isolation.as_ref().is_some_and(|(other, _)| *other != task) {
            return false;
        }
        self.release_isolated();
        let Some((worker, runs)) = self.pick_isolated(now, task) else { return false };
        if let Some(driver) = self.drivers.get_mut(&worker) {
            driver.isolated = true;
        }
        self.isolation = Some((task, worker.clone()));
        if runs > 0 || !self.start(now, task, &worker) {
            return false;
        }
        let (losses, crashes) = self.crashes.counts(key);
        let more = [
            ("worker", worker.to_string()),
            ("step", key.step.to_string()),
            ("task", key.task.to_string()),
            ("losses", losses.to_string()),
            ("crashes", crashes.to_string()),
        ];
        self.log_job(Level::Info, "task_isolated", task.job, &more);
        self.out.push(Output::Count(Count::TasksIsolated));
        true
    }

    /// Returns the worker for a suspected task, with the number of its runs: one with the
    /// fewest runs, and among those the one on which the task ends first.
    fn pick_isolated(&self, now: Time, task: TaskRef) -> Option<(Name, usize)> {
        let state = self.jobs.get(&task.job)?;
        let step = state.step(task.task as usize);
        let fits = self.drivers.iter().filter(|(id, driver)| {
            driver.entry.service == state.job.service
                && driver.accepts_runs(now)
                && has_capacity(&driver.total_capacity(), &step.need)
                && has_label(driver.labels(), step.required_label.as_ref())
                && self.health.allows(now, id, false)
        });
        let factor = |id: &Name, driver: &Driver| {
            self.locality_factor(step, driver.labels()) / self.durations.speed(id)
        };
        let ranked = fits.map(|(id, driver)| (driver.runs.len(), factor(id, driver), id));
        let best = ranked.min_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        best.map(|(runs, _, id)| (id.clone(), runs))
    }

    /// Releases the worker that is reserved for a suspected task once that does not need it.
    pub(crate) fn check_isolation(&mut self, now: Time) {
        let Some((task, worker)) = &self.isolation else { return };
        let state = self.jobs.get(&task.job);
        let needed = state.is_some_and(|state| match &state.tasks[task.task as usize].state {
            TaskState::Running { worker: at, .. } => at == worker,
            TaskState::Queued(_) => {
                let key = state.task_key(task.task as usize);
                self.crashes.verdict(now, &key) == CrashVerdict::StartAlone
            }
            _ => false,
        });
        if !needed {
            self.release_isolated();
        }
    }

    fn release_isolated(&mut self) {
        let Some((_, worker)) = self.isolation.take() else { return };
        if let Some(driver) = self.drivers.get_mut(&worker) {
            driver.isolated = false;
        }
    }

    /// Updates the assumed capacity of a worker that may have been restarted.
    pub(crate) fn observe_capacity(&mut self, now: Time, worker: &Name) {
        let Some(driver) = self.drivers.get(worker) else { return };
        let Some(capacity) = &driver.capacity else { return };
        let (incarnation, before) = (driver.incarnation(), capacity.assumed());
        let age_ms = capacity.age_ms(now);
        if capacity.incarnation() == incarnation {
            return;
        }
        let service = &driver.entry.service;
        let alike =
            self.drivers.values().filter(|it| it.registered && it.entry.service == *service);
        let smallest = alike.map(|it| it.entry.capacity).fold(before, least);
        let driver = self.drivers.get_mut(worker);
        let capacity = driver.and_then(|driver| driver.capacity.as_mut());
        if capacity.is_some_and(|it| it.observe(now, incarnation, smallest)) {
            self.dirty = true;
            self.report_capacity_change(worker, Some((before, age_ms)));
        }
    }

    fn report_capacity_change(&mut self, worker: &Name, before: Option<(Need, u64)>) {
        let Some(driver) = self.drivers.get(worker) else { return };
        let Some(capacity) = &driver.capacity else { return };
        let (before, age_ms) = before.unwrap_or((driver.entry.capacity, 0));
        let pairs = vec![
            ("worker", worker.to_string()),
            ("cpu_milli", capacity.assumed().cpu_milli.to_string()),
            ("memory_mb", capacity.assumed().memory_mb.to_string()),
            ("former_cpu_milli", before.cpu_milli.to_string()),
            ("former_memory_mb", before.memory_mb.to_string()),
            ("former_age_ms", age_ms.to_string()),
            ("source", capacity.source().label().to_owned()),
            ("incarnation", capacity.incarnation().to_string()),
            ("runs", driver.runs.len().to_string()),
            ("excess_cpu_milli", capacity.excess_cpu_milli(driver.capacity_uses()).to_string()),
        ];
        self.out.push(Output::Count(Count::CapacityChanges));
        let note = Note { level: Level::Info, event: "capacity_changed", id: None, pairs };
        self.out.push(Output::Log(note));
    }

    /// Stops runs that have barely begun where runs exceed a shrunk capacity for long, and
    /// reports by how much all runs exceed it.
    pub(crate) fn check_capacity(&mut self, now: Time) {
        if !self.policy.has(Mechanism::CapacityChanges) {
            return;
        }
        let mut excess = 0;
        for (worker, driver) in &mut self.drivers {
            let Some(mut capacity) = driver.capacity.take() else { continue };
            let exceeded = capacity.check_excess(driver.capacity_uses());
            driver.capacity = Some(capacity);
            if !exceeded {
                continue;
            }
            let uses: Vec<_> = driver.capacity_uses().collect();
            let Some(capacity) = &mut driver.capacity else { continue };
            excess += u64::from(capacity.excess_cpu_milli(uses.iter().copied()));
            let Some(index) = capacity.run_to_stop(now, &uses) else { continue };
            let age_ms = capacity.age_ms(now).to_string();
            let Some(id) = driver.runs.keys().nth(index).cloned() else { continue };
            driver.stop_run(now, &id);
            let pairs = vec![
                ("run", id.run.to_string()),
                ("worker", worker.to_string()),
                ("percent", uses[index].percent.unwrap_or(0).to_string()),
                ("capacity_age_ms", age_ms),
            ];
            let (level, event) = (Level::Info, "run_exceeds_capacity");
            self.out.push(Output::Log(Note { level, event, id: Some(id.task), pairs }));
        }
        if std::mem::replace(&mut self.reported_excess, excess) != excess {
            self.out.push(Output::Gauge(Gauge::CapacityExceeded, excess));
        }
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
