//! Tasks on their way to a back end.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::{Cause, Target, Task, Time};

/// Names a task at the entry host that runs its submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskKey {
    /// Number of the run at its host, never used twice by one incarnation.
    pub run: u64,
    /// Index of the task in the submission.
    pub index: u16,
    /// Number of the try, from 0.
    pub attempt: u8,
}

/// Asks a placer to run a task on a back end of its share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// Key at the host that asks.
    pub key: TaskKey,
    /// Team on whose behalf it runs.
    pub team: Name,
    /// When to give up.
    pub deadline: Time,
    /// When the submission arrived; older submissions go first within a team.
    pub arrived: Time,
    /// Tasks of the submission not yet finished; a job with fewer left goes first.
    pub remaining: u16,
    /// The task.
    pub task: Arc<Task>,
}

/// How an order ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The back end answered.
    Done(Bytes),
    /// The task was not started and will not be.
    NotRun(Cause),
    /// The back end answered with an error status.
    Rejected {
        /// Back end.
        peer: Name,
        /// HTTP status.
        status: u16,
    },
    /// The task may have run; its answer is lost.
    Lost {
        /// Back end.
        peer: Name,
    },
}

/// How one call to a back end ended, as the edge saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptEnd {
    /// An answer, whole.
    Answered(Bytes),
    /// An error status: the back end took the task and refused or failed it.
    Rejected(u16),
    /// The back end said that it is full and did not start the task.
    Busy,
    /// The back end said that it is leaving and did not start the task.
    Leaving,
    /// No connection was made, so nothing was sent.
    Unreachable,
    /// Bytes were sent and no whole answer came back: the task may have run.
    Lost,
}

/// Number of a call to a back end, never used twice by one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What a placer tells others of its share for one target.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetLoad {
    /// Service, or the class of need with the most demanding team of its queue.
    pub target: Target,
    /// Slots, taken or free, of usable back ends.
    pub slots: u32,
    /// Free slots.
    pub free: u32,
    /// Tasks waiting.
    pub waiting: u32,
    /// Expected time of one task on the fastest free back end, or the fastest, in microseconds.
    pub service_us: u32,
    /// Expected wait of a task that arrives now, in microseconds.
    pub wait_us: u32,
}
