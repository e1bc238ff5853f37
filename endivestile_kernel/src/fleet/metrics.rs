//! What a host counts and times.

/// A count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Count {
    /// Jobs of callers sent to a placer.
    JobsSent,
    /// Jobs whose tasks all ended well.
    JobsDone,
    /// Jobs of which a task failed for good.
    JobsFailed,
    /// Jobs refused as not run.
    JobsRefused,
    /// Jobs given up of which tasks may have run.
    JobsLost,
    /// Callers that left before their answer.
    CallersLeft,
    /// Jobs sent to another placer because the first was lost.
    PlacersLost,
    /// Jobs refused because they were held up on their way.
    JobsStale,
    /// Orders to start a task.
    Starts,
    /// Orders to start that brought no task to run.
    StartFaults,
    /// Tasks passed on to another placer.
    TasksForwarded,
    /// Forwarded tasks that came back unrun.
    ForwardsReturned,
    /// Runs that failed.
    TasksFailed,
    /// Runs stopped because they made no progress.
    RunsStalled,
    /// Changes of pools' records that this host asked for.
    RecordChanges,
    /// Pools lost to a higher token.
    Deposed,
}

impl Count {
    /// All counts, in the order of the page.
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

    /// Returns the name on the page.
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

/// A figure that stands until it is told again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Gauge {
    /// Availability zones in which nothing may be started.
    ZonesEvacuated,
    /// Runs that still go on in such zones on the workers of this host.
    RunsEvacuated,
}

impl Gauge {
    /// All gauges, in the order of the page.
    pub const ALL: [Self; 2] = [Self::ZonesEvacuated, Self::RunsEvacuated];

    /// Returns the name on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::ZonesEvacuated => "zones_evacuated",
            Self::RunsEvacuated => "runs_evacuated",
        }
    }
}

/// A span that is timed, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Span {
    /// From a caller's call to its answer, of jobs that ended well.
    JobDone,
    /// From a caller's call to its answer, of all others.
    JobOther,
    /// From a job's arrival at its placer to its first start.
    FirstStart,
    /// From the order of a run to its end, of runs that ended well.
    TaskRun,
    /// From an order to start to its answer.
    OrderAnswer,
}

impl Span {
    /// All spans, in the order of the page.
    pub const ALL: [Self; 5] =
        [Self::JobDone, Self::JobOther, Self::FirstStart, Self::TaskRun, Self::OrderAnswer];

    /// Returns the name on the page.
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
