//! Guarantees, checked against what callers and workers observe.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{JobEnd, StartRequest};

use endivestile_kernel::Note;

use super::world::FleetWorld;

/// Observations of a run so far.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Ids of the jobs of which a task was started.
    pub(crate) started_ids: BTreeSet<Name>,
    /// Number of task starts by worker.
    pub(crate) starts: BTreeMap<Name, u64>,
    /// Lease renewals sent since the story last printed the count.
    pub(crate) renewals: u64,
    /// Jobs rejected while a healthy worker of the owner had capacity for their first step.
    pub(crate) rejected_beside_free: u32,
    /// Breaches of guarantees, in the order in which they were detected.
    pub(crate) breaches: Vec<String>,
}

impl Observed {
    /// Records the start of a task.
    pub(crate) fn record_start(&mut self, request: &StartRequest) {
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

/// Grace period for start requests that a host sent before it learned of an evacuation, in
/// microseconds.
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

    /// Checks that a worker's runs fit its capacity and that none of its tasks runs elsewhere at
    /// the same time.
    pub(crate) fn check_worker(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else { return };
        let used: u32 = worker.runs.values().map(|run| run.need.cpu_milli).sum();
        let mut breaches = Vec::new();
        if used > worker.entry.capacity.cpu_milli {
            breaches.push(format!("{} ms: {name} exceeds its capacity", self.now / 1_000));
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

    /// Returns the names of the open calls.
    pub fn unanswered(&self) -> Vec<String> {
        let open = self.calls.values().filter(|call| call.ended.is_none());
        open.map(|call| call.name.clone()).collect()
    }
}
