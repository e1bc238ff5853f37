//! Placement of tasks: requests to placers, calls to backends and their outcomes.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::{Cause, Target, Task, Time};

/// Identifies one attempt of a task at the entry host that runs its submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Number of the run at its host, unique within one incarnation.
    pub run: u64,
    /// Index of the task in the submission.
    pub index: u16,
    /// Number of the attempt, from 0.
    pub attempt: u8,
}

/// Request to a placer to run a task on a backend of its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Key at the requesting host.
    pub key: TaskKey,
    /// Team on whose behalf it runs.
    pub team: Name,
    /// When to give up.
    pub deadline: Time,
    /// When the submission arrived; older submissions go first within a team.
    pub arrived: Time,
    /// Unfinished tasks of the submission; jobs with fewer go first.
    pub remaining: u16,
    /// The task.
    pub task: Arc<Task>,
}

/// Outcome of a [`PlaceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The backend answered.
    Done(Bytes),
    /// The task was not started and will not be.
    NotRun(Cause),
    /// The backend answered with an error status.
    Rejected {
        /// Backend.
        peer: Name,
        /// HTTP status.
        status: u16,
    },
    /// The task may have run; its answer is lost.
    Lost {
        /// Backend.
        peer: Name,
    },
}

/// Result of one call to a backend.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A complete answer.
    Answered(Bytes),
    /// An error status: the backend accepted the task and rejected or failed it.
    Rejected(u16),
    /// The backend is full and did not start the task.
    Busy,
    /// The backend is leaving and did not start the task.
    Leaving,
    /// No connection was established, so nothing was sent.
    Unreachable,
    /// Data was sent and no complete answer was received: the task may have run.
    Lost,
}

/// Number of a call to a backend, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Load of a placer's share for one target, as reported to other hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Service, or the class of needs, given as the largest need in its queue.
    pub target: Target,
    /// Slots of usable backends, occupied or free.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Tasks waiting.
    pub waiting: u32,
    /// Expected run time of a task on the fastest free backend, or on the fastest if none is free,
    /// in microseconds.
    pub service_us: u32,
    /// Expected wait of a task that arrives now, in microseconds.
    pub wait_us: u32,
}
