//! What is said to and heard from workers.

use endivestile_config::model::Name;

use crate::Need;

/// A worker as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id of this life of the worker, unless `incarnation` tells another.
    pub id: Name,
    /// Service that it belongs to.
    pub service: Name,
    /// Address, `IP:port`.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Labels: its kind and its rack.
    pub labels: Vec<Name>,
    /// What it can run at once.
    pub capacity: Need,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Start of this life, in milliseconds since 1970; 0 when it does not tell.
    pub incarnation: u64,
}

/// Tells a worker to start a task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartRequest {
    /// Worker.
    pub worker: Name,
    /// Its address.
    pub address: Name,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// The work.
    pub spec: Name,
    /// Instant on the worker's clock until which its runs may go on, in milliseconds.
    pub lease_until: u64,
    /// Fencing token.
    pub token: u64,
}

/// Tells a worker to stop a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StopRequest {
    /// Worker.
    pub worker: Name,
    /// Its address.
    pub address: Name,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// Fencing token.
    pub token: u64,
}

/// Prolongs the lease of all runs of a worker and asks what runs and what ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewRequest {
    /// Worker.
    pub worker: Name,
    /// Its address.
    pub address: Name,
    /// Instant on the worker's clock until which its runs may go on; none asks only.
    pub lease_until: Option<u64>,
    /// Fencing token.
    pub token: u64,
    /// Ends up to this number have been taken note of.
    pub observed: u64,
    /// How long the worker may wait for an end before it answers, in milliseconds.
    pub wait_ms: u32,
}

/// How a call to a worker ended other than by its proper answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection was made: nothing was sent.
    Unreachable,
    /// Something was sent and no whole answer came: the order may be carried out, also later.
    Lost,
    /// Another incarnation answers at the address.
    OtherIncarnation,
    /// A higher fencing token is in force.
    Fenced,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker refused the order as wrong.
    Refused,
}

impl CallError {
    /// Returns the word for logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Lost => "lost",
            Self::OtherIncarnation => "other_life",
            Self::Fenced => "fenced",
            Self::Unhealthy => "unhealthy",
            Self::Refused => "refused",
        }
    }
}

/// How a start ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// It runs; the worker's clock in milliseconds.
    Started(u64),
    /// A run at least as high has ended or was stopped there.
    Superseded,
    /// The lease in the order had passed when it arrived.
    Expired,
    /// The worker has no room.
    Full,
    /// It did not come to that.
    Failed(CallError),
}

/// How a run ended at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was told to stop.
    Stopped,
    /// Its lease ran out.
    Expired,
    /// Another member of its gang ended, or the gang never came together.
    Broken,
}

/// A run that goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStatus {
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// How much of its work is done, in percent.
    pub percent: u8,
}

/// A run that ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndRecord {
    /// Number of the end at this life of the worker, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// What a worker answers to a hold.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RenewReply {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// Start of the worker's life, in milliseconds since 1970; 0 when it does not tell.
    pub incarnation: u64,
    /// What runs.
    pub running: Vec<RunStatus>,
    /// What ended since the last end taken note of.
    pub ended: Vec<EndRecord>,
}
