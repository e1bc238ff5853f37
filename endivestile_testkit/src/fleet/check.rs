//! What must hold, as seen from callers and workers.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{JobEnd, StartRequest};

use super::world::FleetWorld;

/// What was seen so far.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// Ids of which a task was started.
    pub(crate) started_ids: BTreeSet<Name>,
    /// Starts by worker.
    pub(crate) starts: BTreeMap<Name, u64>,
    /// Holds sent since they were last told.
    pub(crate) renewals: u64,
    /// Breaches, in the order in which they were seen.
    pub(crate) breaches: Vec<String>,
}

impl Observed {
    /// Notes a start.
    pub(crate) fn record_start(&mut self, order: &StartRequest) {
        let id = order.task.split('.').next().unwrap_or_default();
        self.started_ids.insert(Name::from(id));
        *self.starts.entry(order.worker.clone()).or_default() += 1;
    }
}

/// Time for an order that was sent before its host was told of an evacuation, in
/// microseconds.
const ORDER_GRACE_US: u64 = 250_000;

impl FleetWorld {
    /// Looks at an order to start: a host that the store has told of an evacuation sends
    /// none to that zone.
    pub(crate) fn check_evacuated(&mut self, host: &Name, order: &StartRequest) {
        let Some(worker) = self.workers.get(&order.worker) else { return };
        let zone = &worker.entry.zone;
        let Some(&(revision, true)) = self.store.evacuations.get(zone) else { return };
        let told = self.hosts.get(host).and_then(|host| host.evacuations.get(zone));
        let late =
            told.is_some_and(|told| told.0 == revision && told.1 + ORDER_GRACE_US < self.now);
        if late {
            let now = self.now / 1_000;
            let breach = format!("{now} ms: {host} starts {} in evacuated {zone}", order.task);
            self.observed.breaches.push(breach);
        }
    }

    /// Looks at a worker after each order: its room, and whether a task runs
    /// anywhere else at the same time.
    pub(crate) fn check_worker(&mut self, name: &Name) {
        let Some(worker) = self.workers.get(name) else { return };
        let taken: u32 = worker.runs.values().map(|run| run.need.cpu_milli).sum();
        let mut breaches = Vec::new();
        if taken > worker.entry.capacity.cpu_milli {
            breaches.push(format!("{} ms: {name} is over its room", self.now / 1_000));
        }
        for (task, run) in worker.runs.keys() {
            for (other, state) in &self.workers {
                let twin = state
                    .runs
                    .keys()
                    .find(|(twin, number)| twin == task && (other != name || number != run));
                if let Some((_, number)) = twin {
                    breaches.push(format!(
                        "{} ms: {task} runs at {name} as {run} and at {other} as {number}",
                        self.now / 1_000
                    ));
                }
            }
        }
        self.observed.breaches.extend(breaches);
    }

    /// Returns everything that was broken so far.
    pub fn breaches(&self) -> Vec<String> {
        let mut breaches = self.observed.breaches.clone();
        let mut ends: BTreeMap<&Name, Vec<bool>> = BTreeMap::new();
        for call in self.calls.values() {
            let refused = matches!(call.ended, Some((_, Some(JobEnd::NotRun { .. }))));
            ends.entry(&call.id).or_default().push(refused);
        }
        for (id, refused) in ends {
            if refused.iter().all(|refused| *refused) && self.observed.started_ids.contains(id) {
                breaches.push(format!("{id} was refused as not run, and a task of it ran"));
            }
        }
        breaches
    }

    /// Returns the names of the calls that have no answer.
    pub fn unanswered(&self) -> Vec<String> {
        let open = self.calls.values().filter(|call| call.ended.is_none());
        open.map(|call| call.name.clone()).collect()
    }
}
