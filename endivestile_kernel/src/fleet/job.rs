//! Jobs as callers hand them in and as hosts pass them on.

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::{Need, Time};

/// Tasks of the same kind within a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Tasks.
    pub count: u16,
    /// Number of the first task; above 0 where one task was passed on alone.
    pub first_task: u16,
    /// Number of the step in the job as the caller sent it.
    pub number: u16,
    /// What each task takes of a worker.
    pub need: Need,
    /// The caller's rough estimate of one task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must have ended, as indices into [`Job::steps`].
    pub after: Vec<u16>,
    /// Label that a worker must carry.
    pub required_label: Option<Name>,
    /// Label of the workers that are near the step's data.
    pub near_label: Option<Name>,
    /// Most tasks of the step on one worker at a time; 0 for no limit.
    pub max_per_worker: u16,
}

/// A job whose answer is its end: it needs no storing, and a caller that gets
/// no answer sends it again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The caller's id.
    pub id: Name,
    /// What the caller calls this sending of it; for the log.
    pub request: Name,
    /// The work, handed to the workers as it is.
    pub spec: Name,
    /// Steps.
    pub steps: Vec<Step>,
    /// Service whose workers may run it.
    pub service: Name,
    /// Route by which it came.
    pub route: Name,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of one task that may fail before the job does.
    pub max_attempts: u32,
    /// Objective: this many thousandths of the work's own duration ..
    pub stretch_milli: u32,
    /// .. and this many milliseconds more.
    pub allowance_ms: u32,
    /// When the caller handed it in.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Runs of its tasks are numbered from here on: a worker refuses a run
    /// that is not above every run of the task that ended there.
    pub run_base: u32,
    /// Whether another placer passed it on; it is not passed on again.
    pub forwarded: bool,
}

impl Job {
    /// Returns the number of tasks.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Returns the longest chain of declared run times, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|at| ends.get(usize::from(*at)));
            ends.push(before.max().copied().unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Moves its instants from a clock that reads `theirs` to one that reads `ours`.
    pub(crate) fn rebase(&mut self, theirs: Time, ours: Time) {
        self.arrived = self.arrived.rebase(theirs, ours);
        self.deadline = self.deadline.rebase(theirs, ours);
    }
}

/// Why a job was refused or given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// No configuration is known yet.
    NoConfig,
    /// No host that places tasks is in reach.
    NoPlacer,
    /// No worker could ever hold one of its tasks.
    NoWorker,
    /// What waits before it would take longer than its caller waits.
    Overload,
    /// The caller's deadline passed.
    Deadline,
    /// A task failed as often as the route allows.
    Attempts,
    /// The placer lost its workers, or the caller's host lost the placer.
    PlacerLost,
    /// The caller went away or cancelled.
    Cancelled,
    /// The job asks for something that this system does not do.
    Unsupported,
    /// Operators have evacuated every zone that could run it.
    Evacuated,
}

impl Reason {
    /// Returns the word for logs and bodies.
    pub fn label(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoPlacer => "no_placer",
            Self::NoWorker => "no_worker",
            Self::Overload => "overload",
            Self::Deadline => "deadline",
            Self::Attempts => "attempts",
            Self::PlacerLost => "placer_lost",
            Self::Cancelled => "cancelled",
            Self::Unsupported => "unsupported",
            Self::Evacuated => "evacuated",
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All tasks are done.
    Done,
    /// A task failed for good.
    Failed(Reason),
    /// No task was ever started, and none will be.
    NotRun {
        /// Why.
        reason: Reason,
        /// When it is worth trying again.
        retry: Time,
    },
    /// Tasks were started and stopped again, or nobody can tell.
    Lost(Reason),
}

impl JobEnd {
    /// Returns the word for logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed(_) => "failed",
            Self::NotRun { .. } => "not_run",
            Self::Lost(_) => "lost",
        }
    }

    /// Returns why it did not end well.
    pub fn reason(&self) -> Option<Reason> {
        match *self {
            Self::Done => None,
            Self::Failed(reason) | Self::NotRun { reason, .. } | Self::Lost(reason) => Some(reason),
        }
    }

    /// Moves its instant from a clock that reads `theirs` to one that reads `ours`.
    pub(crate) fn rebase(&mut self, theirs: Time, ours: Time) {
        if let Self::NotRun { retry, .. } = self {
            *retry = retry.rebase(theirs, ours);
        }
    }
}
