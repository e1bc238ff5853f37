//! Bodies and headers between callers and an entry host.

use serde::{Deserialize, Serialize};

/// Header that carries the submission id.
pub const ID_HEADER: &str = "Idempotency-Key";
/// Header that carries the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "Deadline-Ms";
/// Header that carries the team on whose behalf the call is made.
pub const TEAM_HEADER: &str = "Team";
/// Header by which a backend server says that it did not start the task.
pub const NOT_RUN_HEADER: &str = "Not-Run";
/// Header that returns fresh minted ids, separated by commas.
pub const MINTED_HEADER: &str = "Minted-Ids";
/// Header on a call to a worker: the lease on the task, in milliseconds.
pub const LEASE_HEADER: &str = "Lease-Ms";
/// Header on a call to a back end: the key of the task, for a later stop.
pub const TASK_HEADER: &str = "Task-Key";

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The tasks, 1 to 200.
    pub tasks: Vec<TaskBody>,
}

/// One task of a job: a service or a need, and the work itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Service that runs the task on a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// What the task takes of a worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub need: Option<NeedBody>,
    /// Declared run time in milliseconds, a hint only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u32>,
    /// The work, handed to the back end as it is.
    #[serde(default)]
    pub work: String,
}

/// What a task takes of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NeedBody {
    /// Processor time in thousandths of a core.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Memory in MiB.
    #[serde(default)]
    pub memory_mb: u32,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u16,
}

/// Body of every answer to a job or a request's refusal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// `complete`, `failed`, `not run`, `unknown`, `running`, `cancelled` or `invalid`.
    pub status: String,
    /// Results in the order of the tasks; present only when complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<String>>,
    /// Why, unless complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// The field at fault, when invalid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}
