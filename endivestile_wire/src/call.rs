//! Headers and bodies of the calls between callers, entry hosts, backend servers and workers.

use endivestile_kernel::MAX_TASKS;
use serde::{Deserialize, Serialize};

use crate::bounded;

/// Header with the submission id.
pub const ID_HEADER: &str = "Idempotency-Key";
/// Header with the time left until the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "Deadline-Ms";
/// Header with the team that the call is made for.
pub const TEAM_HEADER: &str = "Team";
/// Header of a backend server's response: the reason why the task was not started.
pub const NOT_RUN_HEADER: &str = "Not-Run";
/// Header of a response with newly minted submission ids, separated by commas.
pub const MINTED_HEADER: &str = "Minted-Ids";
/// Header of a call to a worker: the lease of the task, in milliseconds.
pub const LEASE_HEADER: &str = "Lease-Ms";
/// Header of a call to a backend server or worker: the task's key, used to stop it later.
pub const TASK_HEADER: &str = "Task-Key";

/// Body of `POST /v1/jobs`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobBody {
    /// The tasks, 1 to 200.
    #[serde(deserialize_with = "bounded::list::<_, _, MAX_TASKS>")]
    pub tasks: Vec<TaskBody>,
}

/// One task of a job: either a service or resource needs, and the work itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TaskBody {
    /// Service that runs the task on a backend server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Resources that the task takes on a worker.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub need: Option<NeedBody>,
    /// Estimated run time in milliseconds; a hint only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub declared_ms: Option<u32>,
    /// The work, passed to the backend server or worker unchanged.
    #[serde(default)]
    pub work: String,
}

/// Resources that a task takes on a worker.
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

/// Body of the response to a job and of a refused request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnswerBody {
    /// `complete`, `failed`, `not run`, `unknown`, `running`, `cancelled`, `conflict`, `not found`
    /// or `invalid`.
    pub status: String,
    /// Results in the order of the tasks; only with status `complete`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub results: Option<Vec<String>>,
    /// Reason, unless the job is running or complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Name of the invalid field; only with status `invalid`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Time to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_ms: Option<u64>,
}
