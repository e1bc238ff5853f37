//! Answers to callers.

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::Time;

/// Whether tasks of a refused submission ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// No task ran, and none will.
    NotRun,
    /// Whether tasks ran cannot be determined from the reachable hosts.
    Unknown,
}

/// Cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// It would not finish by its deadline.
    Deadline,
    /// The queue of the entry host is full.
    Full,
    /// The team has reached its limit of outstanding work.
    Limit,
    /// No backend that could run it is reachable.
    NoBackend,
    /// The entry host is stopping.
    Stopping,
    /// No configuration has been adopted yet.
    NoConfig,
    /// The host that may start it is unreachable.
    HomeAway,
    /// The witness of its shard is unreachable.
    WitnessAway,
    /// The shard has no usable home, or is being transferred to another one.
    ShardMoving,
    /// The id is older than the resubmission window, or than the records of its shard.
    Expired,
}

/// An immediate refusal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// Whether tasks ran.
    pub class: Class,
    /// Cause.
    pub cause: Cause,
    /// Earliest time for a retry.
    pub retry: Time,
}

/// Cause of a failure; tasks may have run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// A backend answered with an error status.
    Rejected {
        /// Index of the task.
        task: u16,
        /// Name of the backend.
        peer: Name,
        /// HTTP status of its answer.
        status: u16,
    },
    /// A backend accepted a task and its answer was lost.
    Lost {
        /// Index of the task.
        task: u16,
        /// Name of the backend or entry host at which it was lost.
        peer: Name,
    },
    /// The deadline passed.
    Deadline,
    /// The caller cancelled it.
    Cancelled,
    /// The host that ran it is gone.
    HomeLost,
    /// A task could not be started after others had been.
    NotPlaced {
        /// Index of the task.
        task: u16,
        /// Cause.
        cause: Cause,
    },
}

/// Answer to a caller; never contains partial results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Results of all tasks, in their order.
    Complete(Vec<Bytes>),
    /// No result; tasks may have run.
    Failed(Failure),
    /// Refused.
    Refused(Refusal),
    /// The id was already used for a different submission; no task of this one ran.
    Conflict,
    /// The submission is still running; only sent in reply to a query.
    Running,
    /// The id is unknown; only sent in reply to a query or a cancellation.
    NotFound,
}

impl Answer {
    /// Returns the status as shown to callers and in log lines.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Complete(_) => "complete",
            Self::Failed(Failure::Cancelled) => "cancelled",
            Self::Failed(_) => "failed",
            Self::Refused(Refusal { class: Class::NotRun, .. }) => "not run",
            Self::Refused(_) => "unknown",
            Self::Conflict => "conflict",
            Self::Running => "running",
            Self::NotFound => "not found",
        }
    }

    /// Returns the size of the results in bytes.
    pub fn payload(&self) -> usize {
        match self {
            Self::Complete(results) => results.iter().map(Bytes::len).sum(),
            _ => 0,
        }
    }

    /// Returns whether the answer proves that no task ran, so that a later call may start the same
    /// id.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(Refusal { class: Class::NotRun, .. }))
    }
}
