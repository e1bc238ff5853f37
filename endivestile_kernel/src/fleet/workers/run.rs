//! State of a run on a worker, as its owner tracks it.

use endivestile_config::model::Name;

use crate::fleet::workers::protocol::{RunEnd, StartResult};
use crate::{Need, Time};

/// Time for the reply to a stop, in milliseconds, two request timeouts. After it the lease
/// of the whole worker is no longer renewed, so that a run that cannot be stopped expires.
pub(crate) const STOP_TIMEOUT_MS: u64 = 200;

/// Reference to a task of a job in the scheduler.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TaskRef {
    /// Number of the job in the scheduler.
    pub(crate) job: u64,
    /// Index of the task in the job.
    pub(crate) task: u32,
}

/// Identifies a run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RunId {
    /// Name of the task on workers.
    pub(crate) task: Name,
    /// Number of the run.
    pub(crate) run: u32,
}

/// Progress of a start request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Sent, no reply yet.
    Sent,
    /// Confirmed by the worker.
    Running,
    /// The reply was lost: the run may exist or may still start.
    Unconfirmed,
}

/// A run that occupies capacity.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// The task that it runs; `None` for a run that a former owner started.
    pub(crate) task: Option<TaskRef>,
    /// Resources that it occupies; the whole worker for a former owner's run.
    pub(crate) need: Need,
    /// When the start was sent.
    pub(crate) sent: Time,
    /// When it is expected to end; [`Time::NEVER`] if that was not predicted.
    pub(crate) expected_end: Time,
    /// Last reported progress, in percent.
    pub(crate) percent: u8,
    /// When the worker last reported it.
    pub(crate) seen: Time,
    /// Whether its task is suspected of crashing workers, so that nothing else runs beside it.
    pub(crate) alone: bool,
    /// Whether a stop was requested.
    pub(crate) stopping: bool,
    /// Progress of the start request.
    pub(crate) phase: Phase,
    /// When it has to end unless the host of its job is heard from again; [`Time::NEVER`] for a job
    /// of this host or a former owner's run.
    pub(crate) hold_end: Time,
    /// Worker's clock, in milliseconds, from which on the worker refuses the start; 0 for a
    /// former owner's run.
    pub(crate) start_by: u64,
    /// Worker's clock, in milliseconds, when it confirmed a stop.
    pub(crate) stopped_clock: Option<u64>,
    /// When the stop was last sent; [`Time::NEVER`] if it was not.
    pub(crate) stop_sent: Time,
    /// When to send the stop next.
    pub(crate) next_stop: Time,
    /// When the worker's lease stops being renewed because of this run: its stop or its
    /// start was not confirmed.
    pub(crate) stop_deadline: Time,
}

impl Run {
    /// Marks the run to be stopped.
    pub(crate) fn request_stop(&mut self, now: Time) {
        if !self.stopping {
            self.stopping = true;
            self.next_stop = now;
            self.stop_deadline = now.after_ms(STOP_TIMEOUT_MS);
        }
    }
}

/// Why a run no longer occupies capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunOutcome {
    /// The worker reported its end.
    Ended(RunEnd),
    /// It did not start and never will.
    NotStarted(StartResult),
    /// Its end was not reported: the worker no longer lists it, its lease has expired, or
    /// the worker was restarted.
    Vanished,
}

/// Runs that were lost with their worker.
#[derive(Debug, Clone)]
pub(crate) struct LostRuns {
    /// The incarnation that was lost, in milliseconds since 1970.
    pub(crate) incarnation: u64,
    /// When the first call to it failed, or when another incarnation replied.
    pub(crate) at: Time,
    /// Whether the worker is known to have crashed.
    pub(crate) crashed: bool,
    /// Their tasks, each with whether it ran alone.
    pub(crate) tasks: Vec<(TaskRef, bool)>,
}

/// An ended run.
#[derive(Debug, Clone)]
pub(crate) struct EndedRun {
    /// The run.
    pub(crate) id: RunId,
    /// Its last state.
    pub(crate) run: Run,
    /// Why it ended.
    pub(crate) outcome: RunOutcome,
}
