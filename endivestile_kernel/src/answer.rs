//! Answers to callers.

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::Time;

/// What a refusal says about the tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Class {
    /// No task of the submission ran, nor will one.
    NotRun,
    /// Nobody in reach can tell whether tasks ran.
    Unknown,
}

/// Why a submission was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Cause {
    /// It could not be finished by its deadline.
    Deadline,
    /// The queue of the entry host is full.
    Full,
    /// The team holds as much work as it may.
    Limit,
    /// No back end that could run it is in reach.
    NoBackend,
    /// The entry host is stopping.
    Stopping,
    /// No configuration was adopted yet.
    NoConfig,
    /// The host that may start it is out of reach.
    HomeAway,
    /// The witness of its shard is out of reach.
    WitnessAway,
    /// The shard has no usable home, or is being handed over.
    ShardMoving,
    /// The id is older than the resubmission window, or than the shard's memory.
    Expired,
}

/// A refusal, given at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What it says about the tasks.
    pub class: Class,
    /// Why.
    pub cause: Cause,
    /// When to come back.
    pub retry: Time,
}

/// Why a submission failed; its tasks may have run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Failure {
    /// A back end answered with an error.
    Rejected {
        /// Index of the task.
        task: u16,
        /// Back end at which it arose.
        peer: Name,
        /// HTTP status of the back end.
        status: u16,
    },
    /// A back end took a task and its answer was lost.
    Lost {
        /// Index of the task.
        task: u16,
        /// Back end or entry host at which it was lost.
        peer: Name,
    },
    /// The deadline passed.
    Deadline,
    /// The caller cancelled it.
    Cancelled,
    /// The host that ran it is gone.
    HomeLost,
    /// A task could not be started any more, after others had been.
    NotPlaced {
        /// Index of the task.
        task: u16,
        /// Why.
        cause: Cause,
    },
}

/// What a caller gets: never a part of the results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// Results of all tasks, in their order.
    Complete(Vec<Bytes>),
    /// No result; tasks may have run.
    Failed(Failure),
    /// Refused.
    Refused(Refusal),
    /// The same id was used for another submission; nothing of this one ran.
    Conflict,
    /// A submission that is still running, to a caller that only asked.
    Running,
    /// Nothing is known of the id, to a caller that only asked or cancelled.
    NotFound,
}

impl Answer {
    /// Returns the status as callers and log lines show it.
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

    /// Returns the bytes of the results.
    pub fn payload(&self) -> usize {
        match self {
            Self::Complete(results) => results.iter().map(Bytes::len).sum(),
            _ => 0,
        }
    }

    /// Returns whether the answer proves that no task ran, so that the same id
    /// may be started by a later call.
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::Refused(Refusal { class: Class::NotRun, .. }))
    }
}
