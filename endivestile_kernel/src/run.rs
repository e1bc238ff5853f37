//! Submissions that this host runs.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;

use crate::{CallId, Peer, Submission, Time};

/// Who waits for an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Waiter {
    /// An open call at this host.
    Call(CallId),
    /// A front that passed a call on, and its number there.
    Front(Peer, u64),
}

/// Where a task stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TaskState {
    /// Not handed to a placer yet.
    Ready,
    /// At the placer of a host.
    Placed(Peer),
    /// Answered.
    Done(Bytes),
    /// Given up: never started, or its end does not matter any more.
    Abandoned,
}

/// One task of a run.
#[derive(Debug, Clone)]
pub(crate) struct RunTask {
    /// Where it stands.
    pub(crate) state: TaskState,
    /// Number of the current try.
    pub(crate) attempt: u8,
}

/// Where a run stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunState {
    /// Waits until the shard's witness lets it start.
    AwaitingWitness,
    /// Refused for this cause, once the shard's witness confirms that this
    /// host may speak for the id.
    ConfirmingRefusal(crate::Cause),
    /// Its tasks are under way.
    Running,
}

/// A submission at the host that runs it.
#[derive(Debug)]
pub(crate) struct Run {
    /// What is run.
    pub(crate) submission: Arc<Submission>,
    /// Its digest.
    pub(crate) digest: u64,
    /// When it arrived.
    pub(crate) arrived: Time,
    /// When the next step is due: giving up, or forgetting.
    pub(crate) due: Time,
    /// Until when the id may be resubmitted.
    pub(crate) keep_until: Time,
    /// Who waits.
    pub(crate) waiters: Vec<Waiter>,
    /// The tasks, in the submission's order.
    pub(crate) tasks: Vec<RunTask>,
    /// Tasks without an answer.
    pub(crate) remaining: u16,
    /// Where it stands.
    pub(crate) state: RunState,
    /// Placers at which the team holds as much work as it may.
    pub(crate) full_placers: Vec<Peer>,
    /// Tasks that may have run and are not under way any more.
    pub(crate) ambiguous_ends: u8,
}

impl Run {
    /// Takes a submission in.
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

    /// Returns the results in order, once every task has answered.
    pub(crate) fn results(&self) -> Option<Vec<Bytes>> {
        let result = |task: &RunTask| match &task.state {
            TaskState::Done(result) => Some(result.clone()),
            _ => None,
        };
        self.tasks.iter().map(result).collect()
    }

    /// Returns whether no task ran, is with a placer or may have run.
    pub(crate) fn never_started(&self) -> bool {
        let at_rest =
            |task: &RunTask| matches!(task.state, TaskState::Ready | TaskState::Abandoned);
        self.ambiguous_ends == 0 && self.tasks.iter().all(at_rest)
    }

    /// Returns whether the same tasks may be started again after an ambiguous
    /// failure. An id asks for at most one start, whatever else is marked.
    pub(crate) fn may_repeat(&self) -> bool {
        self.submission.idempotent && self.submission.id.is_none()
    }

    /// Returns the id as log lines show it.
    pub(crate) fn log_id(&self) -> Option<Name> {
        self.submission.id.as_ref().map(|id| id.text().clone())
    }
}
