//! Workers that fail what they start.

use std::collections::HashMap;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};

use crate::Time;

/// Failures in a row that take a worker out; a task that fails by its own
/// fault fails elsewhere too, and rarely three come to one worker in a row.
const ROW: u32 = 2;
/// Time for which it is out at first, in milliseconds; doubled with each
/// failed probe.
const OUT_MS: u64 = 400;
/// Most doublings: it is tried again every 6.4 s at the latest.
const DOUBLINGS: u32 = 4;

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    row: u32,
    outs: u32,
    /// Until when it is out.
    until: Option<Time>,
    /// Until when jobs that are in time are spared it: a late one has less to lose
    /// from a worker that may still fail.
    spared: Option<Time>,
    probing: bool,
}

/// Failures by worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    workers: HashMap<Name, Record>,
    policy: Policy,
}

impl Health {
    /// Starts with nothing known.
    pub(crate) fn new(policy: Policy) -> Self {
        Self { workers: HashMap::new(), policy }
    }

    /// Returns whether a worker may be given a task of a job that is late or not.
    pub(crate) fn allows(&self, now: Time, worker: &str, late: bool) -> bool {
        let Some(record) = self.workers.get(worker) else { return true };
        let until = if late { record.until } else { record.spared };
        let out = until.is_some_and(|until| until > now || record.probing);
        !out || !self.policy.has(Mechanism::Health)
    }

    /// Returns whether a worker that was out is due for one task that shows how it does.
    pub(crate) fn due_for_probe(&self, now: Time, worker: &str, late: bool) -> bool {
        let out = self.workers.get(worker).is_some_and(|record| record.until.is_some());
        out && self.allows(now, worker, late)
    }

    /// Notes a run that stood still or crept: its worker is out at once.
    pub(crate) fn record_stall(&mut self, now: Time, worker: &Name) {
        let record = self.workers.entry(worker.clone()).or_default();
        record.row = record.row.max(ROW - 1);
        self.record_failure(now, worker);
    }

    /// Notes that a task was given to a worker: one that was out gets just one.
    pub(crate) fn record_start(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.probing = record.until.is_some();
        }
    }

    /// Notes a failure; returns whether the worker is to blame rather than the task.
    pub(crate) fn record_failure(&mut self, now: Time, worker: &Name) -> bool {
        let record = self.workers.entry(worker.clone()).or_default();
        record.row += 1;
        record.probing = false;
        if record.row < ROW {
            return false;
        }
        let out_ms = OUT_MS << record.outs.min(DOUBLINGS);
        record.until = Some(now.after_ms(out_ms));
        record.spared = Some(now.after_ms(2 * out_ms));
        record.outs += 1;
        true
    }

    /// Notes that a worker did a task.
    pub(crate) fn record_success(&mut self, worker: &str) {
        self.workers.remove(worker);
    }

    /// Notes that a task given to a worker came to no end there.
    pub(crate) fn record_inconclusive(&mut self, worker: &str) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.probing = false;
        }
    }

    /// Forgets workers that are gone.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.workers.retain(|worker, _| known(worker));
    }
}
