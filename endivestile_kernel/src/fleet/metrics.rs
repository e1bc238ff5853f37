//! Counters, gauges and timers of a host that serves jobs.

/// A counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Callers' jobs sent to an owner.
    JobsSent,
    /// Jobs whose tasks all succeeded.
    JobsDone,
    /// Jobs of which a task failed permanently.
    JobsFailed,
    /// Jobs refused before any task was started.
    JobsRefused,
    /// Jobs abandoned after tasks may have run.
    JobsLost,
    /// Callers that disconnected or cancelled before the answer.
    CallersLeft,
    /// Jobs taken away from an owner that became unreachable.
    PlacersLost,
    /// Jobs refused because their message was delayed for longer than a lease.
    JobsStale,
    /// Start calls to workers.
    Starts,
    /// Start calls that failed.
    StartFaults,
    /// Tasks forwarded to another owner.
    TasksForwarded,
    /// Forwarded tasks that the other owner did not complete.
    ForwardsReturned,
    /// Runs that failed.
    TasksFailed,
    /// Runs stopped because they made too little progress.
    RunsStalled,
    /// Changes of ownership records that this host requested.
    RecordChanges,
    /// Pools lost to an owner with a higher fencing token.
    Deposed,
    /// Jobs rejected on arrival by the forecast of their completion.
    JobsRejectedEarly,
    /// Jobs admitted under the guaranteed share of their kind.
    JobsGuaranteed,
    /// Tasks started ahead of one that fits no free capacity.
    TasksBackfilled,
    /// Callers' jobs sent to another zone while their own has an owner.
    JobsSentAway,
    /// Workers that crashed while tasks of this host ran on them.
    WorkersCrashed,
    /// Suspected tasks started alone on a worker.
    TasksIsolated,
    /// Jobs given up because a task crashed too many workers.
    JobsCrashing,
    /// Changes of the capacity that a worker of this host reports.
    CapacityChanges,
    /// Renewals of worker leases that were shortened since a job's host was not heard from.
    LeasesShortened,
}

impl Count {
    /// All counters, in the order of the metrics page.
    pub const ALL: [Self; 25] = [
        Self::JobsSent,
        Self::JobsDone,
        Self::JobsFailed,
        Self::JobsRefused,
        Self::JobsLost,
        Self::CallersLeft,
        Self::PlacersLost,
        Self::JobsStale,
        Self::Starts,
        Self::StartFaults,
        Self::TasksForwarded,
        Self::ForwardsReturned,
        Self::TasksFailed,
        Self::RunsStalled,
        Self::RecordChanges,
        Self::Deposed,
        Self::JobsRejectedEarly,
        Self::JobsGuaranteed,
        Self::TasksBackfilled,
        Self::JobsSentAway,
        Self::WorkersCrashed,
        Self::TasksIsolated,
        Self::JobsCrashing,
        Self::CapacityChanges,
        Self::LeasesShortened,
    ];

    /// Returns the name on the metrics page.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobsSent => "jobs_sent",
            Self::JobsDone => "jobs_done",
            Self::JobsFailed => "jobs_failed",
            Self::JobsRefused => "jobs_refused",
            Self::JobsLost => "jobs_lost",
            Self::CallersLeft => "callers_left",
            Self::PlacersLost => "placers_lost",
            Self::JobsStale => "jobs_stale",
            Self::Starts => "starts",
            Self::StartFaults => "start_faults",
            Self::TasksForwarded => "tasks_forwarded",
            Self::ForwardsReturned => "forwards_returned",
            Self::TasksFailed => "tasks_failed",
            Self::RunsStalled => "runs_stalled",
            Self::RecordChanges => "record_changes",
            Self::Deposed => "deposed",
            Self::JobsRejectedEarly => "jobs_rejected_early",
            Self::JobsGuaranteed => "jobs_guaranteed",
            Self::TasksBackfilled => "tasks_backfilled",
            Self::JobsSentAway => "jobs_sent_away",
            Self::WorkersCrashed => "workers_crashed",
            Self::TasksIsolated => "tasks_isolated",
            Self::JobsCrashing => "jobs_crashing",
            Self::CapacityChanges => "capacity_changes",
            Self::LeasesShortened => "leases_shortened",
        }
    }
}

/// A gauge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Evacuated availability zones.
    ZonesEvacuated,
    /// Runs in progress in evacuated zones on the workers of this host.
    RunsEvacuated,
    /// Processor time, in thousandths of a core, by which runs exceed the capacity that
    /// their workers report.
    CapacityExceeded,
}

impl Gauge {
    /// All gauges, in the order of the metrics page.
    pub const ALL: [Self; 3] = [Self::ZonesEvacuated, Self::RunsEvacuated, Self::CapacityExceeded];

    /// Returns the name on the metrics page.
    pub fn name(self) -> &'static str {
        match self {
            Self::ZonesEvacuated => "zones_evacuated",
            Self::RunsEvacuated => "runs_evacuated",
            Self::CapacityExceeded => "capacity_exceeded",
        }
    }
}

/// A timer, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// From a caller's call to its answer, for jobs that succeeded.
    JobDone,
    /// From a caller's call to its answer, for all other jobs.
    JobOther,
    /// From a job's arrival at its owner to its first start call.
    FirstStart,
    /// From the start call of a run to its end, for runs that succeeded.
    TaskRun,
    /// From a start call to its answer.
    OrderAnswer,
    /// From the first sending of a message to a peer to its acknowledgement.
    MessageAck,
}

impl Span {
    /// All timers, in the order of the metrics page.
    pub const ALL: [Self; 6] = [
        Self::JobDone,
        Self::JobOther,
        Self::FirstStart,
        Self::TaskRun,
        Self::OrderAnswer,
        Self::MessageAck,
    ];

    /// Returns the name on the metrics page.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobDone => "job_done",
            Self::JobOther => "job_other",
            Self::FirstStart => "first_start",
            Self::TaskRun => "task_run",
            Self::OrderAnswer => "order_answer",
            Self::MessageAck => "message_ack",
        }
    }
}
