//! Detection of runs that stall because of their worker and are restarted elsewhere.
//!
//! A worker may hang, or become many times slower, and still look healthy. Runs are
//! compared with other runs of the same job and of the same worker: a job with too short an
//! estimate looks slow on every worker, and stopping it would waste its work and eject
//! healthy workers.

use std::collections::BTreeMap;

use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::workers::run::{RunId, TaskRef};

/// Factor over the expected duration at which a run counts as stalled. Restarting it wastes
/// its work; estimates are off by a factor of two, failing workers are slower by four and
/// more.
const STALL_FACTOR: f64 = 4.0;
/// The same if another task of the job shows the actual duration.
const STALL_FACTOR_MEASURED: f64 = 2.5;
/// Factor over the expected duration below which a run shows that its worker is healthy.
const HEALTHY_FACTOR: f64 = 2.0;
/// Progress, in percent, from which on a run's duration can be extrapolated.
const MIN_PERCENT: u8 = 2;

/// Share of a run's extrapolated remaining time that it takes at least. Tasks of one job vary
/// by some 15%, and a slow worker may recover.
const MIN_REMAINING: f64 = 0.8;
/// Margin on the expected duration of a new run, in percent, as for the objective.
const NEW_RUN_PERCENT: u64 = 125;
/// Time that a worker takes at most to stop a run, in microseconds.
const STOP_US: u64 = 50_000;

/// A run whose caller waits until a deadline.
#[derive(Debug, Clone, Copy)]
pub struct AwaitedRun {
    /// When the start was sent.
    pub sent: Time,
    /// When the worker last reported the progress.
    pub seen: Time,
    /// Reported progress, in percent, rounded down.
    pub percent: u8,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Expected duration of a new run on a fast worker, in microseconds.
    pub new_run_us: u64,
}

/// Whether a run can end before its caller's deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prospect {
    /// It may.
    InTime,
    /// It cannot, but a new run on a fast worker can.
    Restart,
    /// Neither can.
    Hopeless,
}

impl AwaitedRun {
    /// Returns the earliest end that the reported progress allows.
    pub fn earliest_end(&self) -> Time {
        let age_us = self.seen.since(self.sent).as_micros() as f64;
        let most = f64::from(self.percent.min(99)) + 1.0;
        let remaining_us = age_us * (100.0 - most) / most * MIN_REMAINING;
        self.seen.after_us(remaining_us as u64)
    }

    /// Returns whether the run can end in time, given that it was reported often enough.
    pub fn prospect(&self, now: Time) -> Prospect {
        let new_end = now.after_us(STOP_US + self.new_run_us * NEW_RUN_PERCENT / 100);
        if self.earliest_end() <= self.deadline {
            Prospect::InTime
        } else if new_end <= self.deadline {
            Prospect::Restart
        } else {
            Prospect::Hopeless
        }
    }
}

/// Progress of a run.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The worker.
    pub(crate) worker: Name,
    /// The run.
    pub(crate) id: RunId,
    /// The task that it runs.
    pub(crate) task: TaskRef,
    /// Age at the worker's last report, in microseconds.
    pub(crate) age_us: f64,
    /// Reported progress, in percent.
    pub(crate) percent: u8,
    /// Estimated speed of the worker, 1 for the usual.
    pub(crate) speed: f64,
    /// Expected duration at speed 1, in microseconds.
    pub(crate) expected_us: f64,
    /// Duration at speed 1 of the first task of its job that completed, in microseconds.
    pub(crate) measured_us: Option<f64>,
}

impl Progress {
    /// Returns the extrapolated duration of the whole run, in microseconds.
    fn total_us(&self) -> f64 {
        self.age_us * 100.0 / f64::from(self.percent.max(1))
    }

    /// Returns the extrapolated duration at speed 1, in microseconds.
    fn work_us(&self) -> f64 {
        self.total_us() * self.speed
    }

    /// Returns how many times longer than `measured`, or else than expected, the run takes.
    fn factor(&self, measured: Option<f64>) -> f64 {
        self.work_us() / measured.unwrap_or(self.expected_us)
    }
}

/// Returns the stalled runs, each with its factor over the expected duration.
pub(crate) fn stalled_runs(runs: &[Progress]) -> Vec<(&Progress, f64)> {
    let mut by_job: BTreeMap<u64, Vec<&Progress>> = BTreeMap::new();
    let mut by_worker: BTreeMap<&Name, Vec<&Progress>> = BTreeMap::new();
    for run in runs {
        by_job.entry(run.task.job).or_default().push(run);
        by_worker.entry(&run.worker).or_default().push(run);
    }
    let stalled = runs.iter().filter_map(|run| {
        let measured = sibling_us(run, &by_job[&run.task.job]);
        if measured.is_none() && worker_progresses(run, &by_worker[&run.worker]) {
            return None;
        }
        let (reference_us, limit) = match measured {
            Some(measured) => (measured, STALL_FACTOR_MEASURED),
            None => (run.expected_us, STALL_FACTOR),
        };
        let factor = run.factor(measured);
        let left_us = run.total_us() - run.age_us;
        (factor > limit && left_us > reference_us * limit / 2.0).then_some((run, factor))
    });
    stalled.collect()
}

/// Returns the duration that other tasks of the job show, in microseconds at speed 1: that of
/// a completed task, or the shortest extrapolated on other workers.
fn sibling_us(run: &Progress, job: &[&Progress]) -> Option<f64> {
    if run.measured_us.is_some() {
        return run.measured_us;
    }
    let others = job.iter().filter(|o| o.worker != run.worker && o.percent >= MIN_PERCENT);
    others.map(|other| other.work_us()).min_by(f64::total_cmp)
}

/// Returns whether a run of another job shows that the worker is healthy.
fn worker_progresses(run: &Progress, on_worker: &[&Progress]) -> bool {
    let mut others = on_worker.iter().filter(|other| other.task.job != run.task.job);
    others.any(|other| {
        other.percent >= MIN_PERCENT && other.factor(other.measured_us) < HEALTHY_FACTOR
    })
}
