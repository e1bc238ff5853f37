//! Which runs are so slow because of their worker that they are begun elsewhere.
//!
//! The faults that this answers: a worker stands still, or has turned many times
//! slower, and looks healthy. What its runs show is compared with what others show:
//! a job that its caller took for shorter than it is looks slow on every worker, and
//! stopping it there would throw its work away and take sound workers out.

use std::collections::BTreeMap;

use endivestile_config::model::Name;

use crate::fleet::workers::run::{RunId, TaskRef};

/// How many times longer than expected a run has to look before it is started
/// elsewhere, since what it has done is thrown away. Estimates scatter by a
/// factor of two; a worker in trouble is slower by four and more.
const STALLED: f64 = 4.0;
/// The same where another task of the job has shown what its tasks take.
const STALLED_JOB: f64 = 2.5;
/// How many times longer than expected a run may look and still show that its
/// worker goes on as it should.
const SOUND: f64 = 2.0;
/// Progress, in percent, from which on a run shows what it takes.
const TELLING: u8 = 2;

/// What is known of a run.
#[derive(Debug, Clone)]
pub(crate) struct Progress {
    /// The worker.
    pub(crate) worker: Name,
    /// The run.
    pub(crate) id: RunId,
    /// The task that it works for.
    pub(crate) task: TaskRef,
    /// Time until the worker last told of it, in microseconds.
    pub(crate) age_us: f64,
    /// Progress that the worker told, in percent.
    pub(crate) percent: u8,
    /// Believed speed of the worker, 1 for the usual.
    pub(crate) speed: f64,
    /// Expected duration at speed 1, in microseconds.
    pub(crate) expected_us: f64,
    /// What the first task of its job to end took at speed 1, in microseconds.
    pub(crate) measured_us: Option<f64>,
}

impl Progress {
    /// Returns how long the run will take in all if it goes on so, in microseconds.
    fn whole_us(&self) -> f64 {
        self.age_us * 100.0 / f64::from(self.percent.max(1))
    }

    /// Returns what that is at speed 1.
    fn work_us(&self) -> f64 {
        self.whole_us() * self.speed
    }

    /// Returns how many times slower than expected it is, against what its job shows.
    fn factor(&self, shown: Option<f64>) -> f64 {
        self.work_us() / shown.unwrap_or(self.expected_us)
    }
}

/// Returns the runs that are to be begun elsewhere, each with how many times
/// slower than expected it is.
pub(crate) fn stalled_runs(runs: &[Progress]) -> Vec<(&Progress, f64)> {
    let mut by_job: BTreeMap<u64, Vec<&Progress>> = BTreeMap::new();
    let mut by_worker: BTreeMap<&Name, Vec<&Progress>> = BTreeMap::new();
    for run in runs {
        by_job.entry(run.task.job).or_default().push(run);
        by_worker.entry(&run.worker).or_default().push(run);
    }
    let judged = runs.iter().filter_map(|run| {
        let shown = shown(run, &by_job[&run.task.job]);
        if shown.is_none() && goes_on(run, &by_worker[&run.worker]) {
            return None;
        }
        let (work, limit) = match shown {
            Some(shown) => (shown, STALLED_JOB),
            None => (run.expected_us, STALLED),
        };
        let factor = run.factor(shown);
        let left_us = run.whole_us() - run.age_us;
        (factor > limit && left_us > work * limit / 2.0).then_some((run, factor))
    });
    judged.collect()
}

/// Returns what the other tasks of a job show that its tasks take, in microseconds at
/// speed 1: one that has ended, or those that run on other workers.
fn shown(run: &Progress, job: &[&Progress]) -> Option<f64> {
    if run.measured_us.is_some() {
        return run.measured_us;
    }
    let others = job.iter().filter(|o| o.worker != run.worker && o.percent >= TELLING);
    others.map(|other| other.work_us()).min_by(f64::total_cmp)
}

/// Returns whether a run of another job shows that a worker goes on as it should.
fn goes_on(run: &Progress, there: &[&Progress]) -> bool {
    let mut others = there.iter().filter(|other| other.task.job != run.task.job);
    others.any(|other| other.percent >= TELLING && other.factor(other.measured_us) < SOUND)
}
