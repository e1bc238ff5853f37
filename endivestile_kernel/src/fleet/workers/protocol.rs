//! Requests to workers and their replies.

use endivestile_config::model::Name;

use crate::Need;

/// Registration of a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Id of the worker; a restarted worker may keep it and change its `incarnation`.
    pub id: Name,
    /// Service whose tasks it runs.
    pub service: Name,
    /// Address, `IP:port`.
    pub address: Name,
    /// Availability zone.
    pub zone: Name,
    /// Labels: its kind and its rack.
    pub labels: Vec<Name>,
    /// Total resources for its runs.
    pub capacity: Need,
    /// Whether it is draining and takes no new tasks.
    pub leaving: bool,
    /// Start time of the worker process, in milliseconds since 1970; 0 if unknown.
    pub incarnation: u64,
}

/// Request to start a task.
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
    /// Work description, opaque to this system.
    pub spec: Name,
    /// End of the run's first lease on the worker's clock, in milliseconds; a start that
    /// arrives later is refused.
    pub lease_until: u64,
    /// Fencing token.
    pub token: u64,
}

/// Request to stop a run.
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

/// Request to renew the lease of all runs of a worker and to list its running and ended runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RenewRequest {
    /// Worker.
    pub worker: Name,
    /// Its address.
    pub address: Name,
    /// End of the lease on the worker's clock, in milliseconds; `None` only lists runs.
    pub lease_until: Option<u64>,
    /// Fencing token.
    pub token: u64,
    /// Ended runs up to this number are acknowledged and not listed again.
    pub observed: u64,
    /// Long poll: how long the worker may wait for a run to end before it replies, in
    /// milliseconds.
    pub wait_ms: u32,
}

/// Why a call to a worker got no regular reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be made; nothing was sent.
    Unreachable,
    /// Sent, but no complete reply arrived; the worker may still act on it, also later.
    Lost,
    /// Another worker process answers at the address.
    OtherIncarnation,
    /// The worker has accepted a higher fencing token.
    Fenced,
    /// The worker is unhealthy and did nothing.
    Unhealthy,
    /// The worker rejected the request as invalid.
    Refused,
}

impl CallError {
    /// Returns the label used in logs.
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

/// Result of a start request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartResult {
    /// The task runs; with the worker's clock in milliseconds.
    Started(u64),
    /// A run of this task with the same or a higher number has ended or was stopped there.
    Superseded,
    /// The request's lease had expired on arrival.
    Expired,
    /// The worker has no free capacity.
    Full,
    /// The call failed.
    Failed(CallError),
}

/// How a run ended at its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// Completed successfully.
    Done,
    /// Failed, because of the task or of the worker.
    Failed,
    /// Stopped on request.
    Stopped,
    /// Its lease expired.
    Expired,
    /// Another member of its gang ended, or the gang was never complete.
    Broken,
}

/// Status of a run in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunStatus {
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// Progress, in percent.
    pub percent: u8,
}

/// Record of an ended run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndRecord {
    /// Sequence number within the worker's incarnation, from 1.
    pub number: u64,
    /// Name of the task.
    pub task: Name,
    /// Number of the run.
    pub run: u32,
    /// How it ended.
    pub end: RunEnd,
}

/// Reply to a lease renewal.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RenewReply {
    /// The worker's clock, in milliseconds.
    pub clock: u64,
    /// Start time of the worker process, in milliseconds since 1970; 0 if unknown.
    pub incarnation: u64,
    /// Runs in progress.
    pub running: Vec<RunStatus>,
    /// Runs that ended since the last acknowledged one.
    pub ended: Vec<EndRecord>,
}
