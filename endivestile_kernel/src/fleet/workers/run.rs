//! One run of a task at a worker, as the worker's owner knows it.

use endivestile_config::model::Name;

use crate::fleet::workers::protocol::{RunEnd, StartResult};
use crate::{Need, Time};

/// Time for the answer to a stop before the worker's lease is not renewed any
/// more, in milliseconds, twice that for an order: a run that cannot be told to
/// stop has to lapse.
pub(crate) const STOP_TIMEOUT_MS: u64 = 200;

/// Names a task of a job at its placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TaskRef {
    /// Number of the job.
    pub(crate) job: u64,
    /// Index of the task in the job.
    pub(crate) task: u32,
}

/// Names a run at a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunId {
    /// Name of the task.
    pub(crate) task: Name,
    /// Number of the run.
    pub(crate) run: u32,
}

/// What is known of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// On its way.
    Sent,
    /// The worker has it.
    Running,
    /// No answer came: it may run, or may yet start.
    Unconfirmed,
}

/// One run that takes room.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The task that it works for; none once nobody wants it.
    pub(crate) task: Option<TaskRef>,
    /// What it takes; nothing is known of a former owner's runs.
    pub(crate) need: Need,
    /// When it was ordered.
    pub(crate) sent: Time,
    /// How much of its work was done when the worker last told.
    pub(crate) percent: u8,
    /// When the worker last told.
    pub(crate) seen: Time,
    /// Whether it is to be stopped.
    pub(crate) stopping: bool,
    /// What is known of the order.
    pub(crate) phase: Phase,
    /// On the worker's clock: from here on a late start is refused.
    pub(crate) start_by: u64,
    /// On the worker's clock: when a stop had been carried out.
    pub(crate) stopped_clock: Option<u64>,
    /// When the stop is sent again.
    pub(crate) next_stop: Time,
    /// From when on an unanswered stop holds back the lease of the whole worker.
    pub(crate) stop_deadline: Time,
}

impl Run {
    /// Asks for its end.
    pub(crate) fn request_stop(&mut self, now: Time) {
        if !self.stopping {
            self.stopping = true;
            self.next_stop = now;
            self.stop_deadline = now.after_ms(STOP_TIMEOUT_MS);
        }
    }
}

/// Why a run takes no room any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The worker listed its end.
    Ended(RunEnd),
    /// It never started and never will.
    NotStarted(StartResult),
    /// No lease covers it any more, or the worker lives another life.
    Vanished,
}

/// A run that is over.
#[derive(Debug, Clone)]
pub(crate) struct EndedRun {
    /// The run.
    pub(crate) id: RunId,
    /// What was known of it.
    pub(crate) run: Run,
    /// How it ended.
    pub(crate) outcome: RunOutcome,
}
