//! Guarantees, checked against what callers and workers observe.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use endivestile_kernel::Note;
use endivestile_kernel::fleet::{JobEnd, Reason, StartRequest};

use super::worker::Worker;

use super::world::FleetWorld;

/// Observations of a run so far.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Ids of the jobs of which a task was started.
    pub(crate) started_ids: BTreeSet<Name>,
    /// Number of task starts by worker.
    pub(crate) starts: BTreeMap<Name, u64>,
    /// Crashes of workers under each task, and its starts after the third of them.
    pub(crate) crashes: BTreeMap<Name, (u32, u32)>,
    /// Number of crashes that no task caused.
    pub(crate) other_crashes: u32,
    /// Lease renewals sent since the story last printed the count.
    pub(crate) renewals: u64,
    /// Values of the hosts' counters, added up by name.
    pub(crate) counters: BTreeMap<&'static str, u64>,
    /// Jobs rejected while a healthy worker of the owner had capacity for their first step.
    pub(crate) rejected_beside_free: u32,
    /// Breaches of guarantees, in the order in which they were detected.
    pub(crate) breaches: Vec<String>,
}

impl Observed {
    /// Records the crash of a worker under its runs.
    pub(crate) fn record_crash(&mut self, worker: &Worker) {
        for (task, _) in worker.runs.keys() {
            self.crashes.entry(task.clone()).or_default().0 += 1;
        }
    }

    /// Records the start of a task; `limited` if one that has crashed three workers must not be
    /// started three more times.
    pub(crate) fn record_start(&mut self, request: &StartRequest, limited: bool) {
        if let Some((crashes, starts)) = self.crashes.get_mut(&request.task)
            && *crashes >= 3
        {
            *starts += 1;
            if limited && *starts >= 3 {
                let count = *starts;
                let task = &request.task;
                self.breaches.push(format!("{task} was started {count} times after three crashes"));
            }
        }
        let id = request.task.split('.').next().unwrap_or_default();
        self.started_ids.insert(Name::from(id));
        *self.starts.entry(request.worker.clone()).or_default() += 1;
    }

    /// Records an owner's log line about the rejection of a job.
    pub(crate) fn record_log(&mut self, note: &Note) {
        let value = |name: &str| {
            let pair = note.pairs.iter().find(|(key, _)| *key == name);
            pair.map(|(_, value)| value.as_str())
        };
        let free = match note.event {
            "job_rejected" => value("suitable"),
            "placed_job_ended" if value("end") == Some("not_run") => value("free"),
            _ => None,
        };
        self.rejected_beside_free += u32::from(free.is_some_and(|workers| workers != "0"));
    }
}

/// Grace period for start requests that a host sent before it learned of an evacuation or of a
/// smaller capacity, in microseconds.
const START_GRACE_US: u64 = 250_000;

impl FleetWorld {
    /// Checks that a host which has learned of a zone's evacuation starts no task there.
    pub(crate) fn check_evacuated(&mut self, host: &Name, request: &StartRequest) {
        let Some(worker) = self.workers.get(&request.worker) else { return };
        let zone = &worker.entry.zone;
        let Some(&(revision, true)) = self.store.evacuations.get(zone) else { return };
        let learned = self.hosts.get(host).and_then(|host| host.evacuations.get(zone));
        let late = learned
            .is_some_and(|learned| learned.0 == revision && learned.1 + START_GRACE_US < self.now);
        if late {
            let now = self.now / 1_000;
            let breach =
                format!("{now} ms: {host} starts {} in evacuated zone {zone}", request.task);
            self.observed.breaches.push(breach);
        }
    }

    /// Sets what a worker's runs may use: once all live hosts know its capacity, no more than that,
    /// or what the runs from before a shrink still use.
    pub(crate) fn update_limit(&mut self, name: &Name) {
        let Some(worker) = self.workers.get_mut(name) else { return };
        let cpu = worker.entry.capacity.cpu_milli;
        let mut hosts = self.hosts.values().filter(|host| host.fleet.is_some());
        let known = hosts.all(|host| {
            host.capacities.get(name).is_some_and(|&(incarnation, known, at)| {
                (incarnation, known) == (worker.entry.incarnation, cpu)
                    && at + START_GRACE_US <= self.now
            })
        });
        let allowed =
            if known { worker.limit_cpu.min(worker.used_cpu()) } else { worker.limit_cpu };
        worker.limit_cpu = allowed.max(cpu);
    }

    /// Restarts the process of a worker that has crashed. A host that has not read its new
    /// registration may assume its former capacity, or the smallest of all workers if that is less.
    pub(crate) fn restart_worker(&mut self, name: &Name, cpu_milli: Option<u32>) {
        let smallest = self.workers.values().map(|worker| worker.limit_cpu).min().unwrap_or(0);
        let Some(worker) = self.workers.get_mut(name) else { return };
        self.observed.record_crash(worker);
        let cpu_milli = cpu_milli.unwrap_or(worker.entry.capacity.cpu_milli);
        worker.restart(self.now);
        worker.entry.capacity.cpu_milli = cpu_milli;
        worker.limit_cpu = smallest.max(cpu_milli);
    }

    /// Checks that a worker's runs fit its capacity, that no step has more of them than one worker
    /// may run, and that none of its tasks runs elsewhere at the same time.
    pub(crate) fn check_worker(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else { return };
        let mut breaches = Vec::new();
        if worker.used_cpu() > worker.limit_cpu {
            breaches.push(format!("{} ms: {name} exceeds its capacity", self.now / 1_000));
        }
        let mut steps: BTreeMap<&str, usize> = BTreeMap::new();
        for (task, _) in worker.runs.keys() {
            let step = task.rsplit_once('.').map_or(&**task, |(step, _)| step);
            *steps.entry(step).or_default() += 1;
        }
        for (step, count) in steps {
            let work = self.job_work.get(step.split('.').next().unwrap_or_default());
            let limit = work.map_or(0, |work| usize::from(work.max_per_worker));
            if limit > 0 && count > limit {
                let now = self.now / 1_000;
                breaches.push(format!("{now} ms: {name} runs {count} tasks of {step}"));
            }
        }
        for (task, run) in worker.runs.keys() {
            for (other, state) in &self.workers {
                let duplicate = state
                    .runs
                    .keys()
                    .find(|(running, number)| running == task && (other != name || number != run));
                if let Some((_, number)) = duplicate {
                    breaches.push(format!(
                        "{} ms: {task} runs at {name} as {run} and at {other} as {number}",
                        self.now / 1_000
                    ));
                }
            }
        }
        self.observed.breaches.extend(breaches);
    }

    /// Returns how many jobs were rejected while a healthy worker of the owner had capacity for
    /// their first step.
    pub fn rejected_beside_free(&self) -> u32 {
        self.observed.rejected_beside_free
    }

    /// Returns all breaches of guarantees so far.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = self.observed.breaches.clone();
        for call in self.calls.values() {
            let crashes = self.job_work.get(&call.id).and_then(|work| work.crash_us);
            let given_up = matches!(call.ended, Some((_, Some(JobEnd::Failed(Reason::Crashes)))));
            if given_up && crashes.is_none() && self.observed.other_crashes <= 1 {
                breaches.push(format!("{} was given up, but its tasks crash no worker", call.name));
            }
        }
        let mut ends: BTreeMap<&Name, Vec<bool>> = BTreeMap::new();
        for call in self.calls.values() {
            let refused = matches!(call.ended, Some((_, Some(JobEnd::NotRun { .. }))));
            ends.entry(&call.id).or_default().push(refused);
        }
        for (id, refused) in ends {
            if refused.iter().all(|refused| *refused) && self.observed.started_ids.contains(id) {
                breaches.push(format!("{id} was refused as not run, but a task of it ran"));
            }
        }
        breaches
    }

    /// Returns the sum of a counter over all hosts since their first start.
    pub fn counter(&self, name: &str) -> u64 {
        self.observed.counters.get(name).copied().unwrap_or(0)
    }

    /// Returns the names of the open calls.
    pub fn unanswered(&self) -> Vec<String> {
        let open = self.calls.values().filter(|call| call.ended.is_none());
        open.map(|call| call.name.clone()).collect()
    }
}
