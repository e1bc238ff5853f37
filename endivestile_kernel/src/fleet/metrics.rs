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
}

impl Count {
    /// All counters, in the order of the metrics page.
    pub const ALL: [Self; 16] = [
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
}

impl Gauge {
    /// All gauges, in the order of the metrics page.
    pub const ALL: [Self; 2] = [Self::ZonesEvacuated, Self::RunsEvacuated];

    /// Returns the name on the metrics page.
    pub fn name(self) -> &'static str {
        match self {
            Self::ZonesEvacuated => "zones_evacuated",
            Self::RunsEvacuated => "runs_evacuated",
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
}

impl Span {
    /// All timers, in the order of the metrics page.
    pub const ALL: [Self; 5] =
        [Self::JobDone, Self::JobOther, Self::FirstStart, Self::TaskRun, Self::OrderAnswer];

    /// Returns the name on the metrics page.
    pub fn name(self) -> &'static str {
        match self {
            Self::JobDone => "job_done",
            Self::JobOther => "job_other",
            Self::FirstStart => "first_start",
            Self::TaskRun => "task_run",
            Self::OrderAnswer => "order_answer",
        }
    }
}
