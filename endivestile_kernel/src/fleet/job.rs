//! Jobs as callers submit them and as hosts exchange them.

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::{Need, Time};

/// A group of tasks of the same kind within a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks.
    pub count: u16,
    /// Number of the first task; above 0 if a later task was forwarded on its own.
    pub first_task: u16,
    /// Number of the step in the caller's job.
    pub number: u16,
    /// Resources that each task takes on a worker.
    pub need: Need,
    /// The caller's estimate of one task's run time, in milliseconds.
    pub estimate_ms: u32,
    /// Earlier steps that must have ended, as indices into [`Job::steps`].
    pub after: Vec<u16>,
    /// Label that a worker must have.
    pub required_label: Option<Name>,
    /// Label of the workers that are close to the step's data.
    pub near_label: Option<Name>,
    /// Limit on concurrent tasks of the step on one worker; 0 for none.
    pub max_per_worker: u16,
}

/// A job that is answered once it has ended. It is not stored: a caller without an answer
/// resubmits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Job {
    /// The caller's id.
    pub id: Name,
    /// The caller's name for this submission of the job; only logged.
    pub request: Name,
    /// Description of the work, passed to the workers unchanged.
    pub spec: Name,
    /// Steps.
    pub steps: Vec<Step>,
    /// Service whose workers may run the job.
    pub service: Name,
    /// Route that matched the caller's request.
    pub route: Name,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which the job fails.
    pub max_attempts: u32,
    /// Objective relative to the expected duration of the work, in thousandths of it.
    pub stretch_milli: u32,
    /// Constant part of the objective, added to the relative one, in milliseconds.
    pub allowance_ms: u32,
    /// When the caller submitted the job.
    pub arrived: Time,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Number that runs of its tasks are counted from. A worker refuses a run whose number
    /// is not above those of all runs of the task that ended there.
    pub run_base: u32,
    /// Whether another owner forwarded it; it is not forwarded again.
    pub forwarded: bool,
}

impl Job {
    /// Returns the number of tasks.
    pub fn tasks(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// Returns the caller's estimate of the critical path, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let before = step.after.iter().filter_map(|at| ends.get(usize::from(*at)));
            ends.push(before.max().copied().unwrap_or(0) + u64::from(step.estimate_ms));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Converts its times from a clock that reads `theirs` to one that reads `ours`.
    pub(crate) fn rebase(&mut self, theirs: Time, ours: Time) {
        self.arrived = self.arrived.rebase(theirs, ours);
        self.deadline = self.deadline.rebase(theirs, ours);
    }
}

/// Why a job was refused or abandoned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// No configuration has been read yet.
    NoConfig,
    /// No owner is reachable.
    NoPlacer,
    /// No worker is large enough for one of its tasks or has the required label.
    NoWorker,
    /// The queue ahead of it is longer than the caller's time budget.
    Overload,
    /// The caller's deadline passed.
    Deadline,
    /// A task failed as often as its route allows.
    Attempts,
    /// The owner lost its workers, or the front lost contact with the owner.
    PlacerLost,
    /// The caller disconnected or cancelled the job, or the job was submitted again.
    Cancelled,
    /// The job asks for a feature that is not supported.
    Unsupported,
    /// Every zone that could run it is evacuated.
    Evacuated,
    /// The owner predicts that it cannot end the job before its deadline.
    NoRoom,
    /// A task crashed as many workers as one task may.
    Crashes,
}

impl Reason {
    /// Returns the name used in logs and response bodies.
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
            Self::NoRoom => "no_room",
            Self::Crashes => "crashes",
        }
    }
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All tasks succeeded.
    Done,
    /// A task failed permanently.
    Failed(Reason),
    /// No task was or will be started.
    NotRun {
        /// Why.
        reason: Reason,
        /// Earliest time at which the caller should retry.
        retry: Time,
    },
    /// Tasks were started and then stopped, or it is unknown whether any ran.
    Lost(Reason),
}

impl JobEnd {
    /// Returns the name used in logs.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed(_) => "failed",
            Self::NotRun { .. } => "not_run",
            Self::Lost(_) => "lost",
        }
    }

    /// Returns why the job did not succeed.
    pub fn reason(&self) -> Option<Reason> {
        match *self {
            Self::Done => None,
            Self::Failed(reason) | Self::NotRun { reason, .. } | Self::Lost(reason) => Some(reason),
        }
    }

    /// Converts its time from a clock that reads `theirs` to one that reads `ours`.
    pub(crate) fn rebase(&mut self, theirs: Time, ours: Time) {
        if let Self::NotRun { retry, .. } = self {
            *retry = retry.rebase(theirs, ours);
        }
    }
}
