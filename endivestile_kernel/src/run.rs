//! Submissions that this host runs.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;

use crate::{CallId, Peer, Submission, Time};

/// Recipient of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// An open call at this host.
    Call(CallId),
    /// A front that forwarded a call, and its number there.
    Front(Peer, u64),
}

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not sent to a placer yet.
    Ready,
    /// Sent to the placer of a host.
    Placed(Peer),
    /// Ended with this result.
    Done(Bytes),
    /// Given up: never started, or its end is irrelevant.
    Abandoned,
}

/// One task of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunTask {
    /// State.
    pub(crate) state: TaskState,
    /// Number of the current attempt.
    pub(crate) attempt: u8,
}

/// State of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Waits for the grant of its shard, which needs the witness.
    AwaitingWitness,
    /// To be refused for this cause, once the shard's witness confirms that this host is still the
    /// home of the id.
    ConfirmingRefusal(crate::Cause),
    /// Its tasks are being placed and run.
    Running,
}

/// A submission at the host that runs it.
#[derive(Debug)]
pub(crate) struct Run {
    /// The submission.
    pub(crate) submission: Arc<Submission>,
    /// Its digest.
    pub(crate) digest: u64,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// When to give up.
    pub(crate) due: Time,
    /// Until when the id may be resubmitted.
    pub(crate) keep_until: Time,
    /// Recipients of the answer.
    pub(crate) waiters: Vec<Waiter>,
    /// The tasks, in the submission's order.
    pub(crate) tasks: Vec<RunTask>,
    /// Number of tasks without a result.
    pub(crate) remaining: u16,
    /// State.
    pub(crate) state: RunState,
    /// Hosts at whose placers the team has reached its limit.
    pub(crate) full_placers: Vec<Peer>,
    /// Number of task attempts that may have run and ended without a result.
    pub(crate) ambiguous_ends: u8,
}

impl Run {
    /// Creates the run of a submission.
    pub(crate) fn new(now: Time, submission: Arc<Submission>, state: RunState) -> Self {
        let task = RunTask { state: TaskState::Ready, attempt: 0 };
        let tasks = vec![task; submission.tasks.len()];
        Self {
            digest: submission.digest(),
            arrived: now,
            due: submission.deadline,
            keep_until: Time::ZERO,
            waiters: Vec::new(),
            remaining: submission.tasks.len() as u16,
            tasks,
            submission,
            state,
            full_placers: Vec::new(),
            ambiguous_ends: 0,
        }
    }

    /// Returns the results in order, once every task has one.
    pub(crate) fn results(&self) -> Option<Vec<Bytes>> {
        let result = |task: &RunTask| match &task.state {
            TaskState::Done(result) => Some(result.clone()),
            _ => None,
        };
        self.tasks.iter().map(result).collect()
    }

    /// Returns whether no task has run, may have run or is at a placer.
    pub(crate) fn never_started(&self) -> bool {
        let at_rest =
            |task: &RunTask| matches!(task.state, TaskState::Ready | TaskState::Abandoned);
        self.ambiguous_ends == 0 && self.tasks.iter().all(at_rest)
    }

    /// Returns whether tasks may be started again after an ambiguous failure. A submission with an
    /// id starts at most once, even if it is marked as idempotent.
    pub(crate) fn may_retry(&self) -> bool {
        self.submission.idempotent && self.submission.id.is_none()
    }

    /// Returns the id for log lines.
    pub(crate) fn log_id(&self) -> Option<Name> {
        self.submission.id.as_ref().map(|id| id.text().clone())
    }
}
