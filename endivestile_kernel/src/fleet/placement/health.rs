//! Ejection of workers that fail their tasks.

use std::collections::HashMap;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};

use crate::Time;

/// Consecutive failures that eject a worker. Tasks that fail by themselves fail on other
/// workers too, and rarely three of them run on one worker in a row.
const EJECTION_FAILURES: u32 = 2;
/// Length of the first ejection, in milliseconds; doubled with each failed probe.
const EJECTION_MS: u64 = 400;
/// Limit of the doublings, so that a worker is probed at least every 6.4 s.
const MAX_DOUBLINGS: u32 = 4;

/// Failures of one worker.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    /// Consecutive failures.
    failures: u32,
    ejections: u32,
    /// When the last ejection ends.
    ejected_until: Option<Time>,
    /// Until when only late jobs may use it: they have less to lose if it fails again.
    late_only_until: Option<Time>,
    /// Whether a probe task is running.
    probing: bool,
}

/// Failures of workers; a worker without failures has no record.
#[derive(Debug, Default)]
pub(crate) struct Health {
    workers: HashMap<Name, Record>,
    policy: Policy,
}

impl Health {
    /// Starts with no worker ejected.
    pub(crate) fn new(policy: Policy) -> Self {
        Self { workers: HashMap::new(), policy }
    }

    /// Returns whether a worker may get a task of a job that is late, or not late.
    pub(crate) fn allows(&self, now: Time, worker: &str, late: bool) -> bool {
        let Some(record) = self.workers.get(worker) else { return true };
        let until = if late { record.ejected_until } else { record.late_only_until };
        let ejected = until.is_some_and(|until| until > now || record.probing);
        !ejected || !self.policy.has(Mechanism::Health)
    }

    /// Returns whether an ejected worker may get a single task as a probe.
    pub(crate) fn due_for_probe(&self, now: Time, worker: &str, late: bool) -> bool {
        let ejected = self.workers.get(worker).is_some_and(|record| record.ejected_until.is_some());
        ejected && self.allows(now, worker, late)
    }

    /// Records a stalled run, which ejects the worker at once.
    pub(crate) fn record_stall(&mut self, now: Time, worker: &Name) {
        let record = self.workers.entry(worker.clone()).or_default();
        record.failures = record.failures.max(EJECTION_FAILURES - 1);
        self.record_failure(now, worker);
    }

    /// Records a started task; on an ejected worker it is the probe.
    pub(crate) fn record_start(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.probing = record.ejected_until.is_some();
        }
    }

    /// Records a failed task; returns whether this ejects the worker, that is, whether the
    /// worker rather than the task is at fault.
    pub(crate) fn record_failure(&mut self, now: Time, worker: &Name) -> bool {
        let record = self.workers.entry(worker.clone()).or_default();
        record.failures += 1;
        record.probing = false;
        if record.failures < EJECTION_FAILURES {
            return false;
        }
        let ejection_ms = EJECTION_MS << record.ejections.min(MAX_DOUBLINGS);
        record.ejected_until = Some(now.after_ms(ejection_ms));
        record.late_only_until = Some(now.after_ms(2 * ejection_ms));
        record.ejections += 1;
        true
    }

    /// Records a successful task, which clears the worker's failures.
    pub(crate) fn record_success(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Records a task that ended without showing whether the worker is healthy.
    pub(crate) fn record_inconclusive(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.probing = false;
        }
    }

    /// Drops the records of workers that are not `known`.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| known(worker));
    }
}
