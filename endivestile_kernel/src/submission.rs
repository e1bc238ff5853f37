//! Submissions: requests and jobs of callers.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{SubmissionId, Time};

/// Maximum number of tasks in one job.
pub const MAX_TASKS: usize = 200;

/// Resources that a task needs on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Need {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u16,
}

/// Where a task may run.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Target {
    /// On a backend server of this service.
    Service(Name),
    /// On a worker with these free resources.
    Need(Need),
}

/// One task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Where it may run.
    pub target: Target,
    /// The work, sent to the backend unchanged.
    pub work: Bytes,
    /// Declared run time in milliseconds, 0 if not declared; only a hint.
    pub declared_ms: u32,
}

/// A request or a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submission {
    /// Id; none only for an idempotent request.
    pub id: Option<SubmissionId>,
    /// Team on whose behalf it runs.
    pub team: Name,
    /// When an answer is no longer of use.
    pub deadline: Time,
    /// Whether its tasks may be started again after an ambiguous failure.
    pub idempotent: bool,
    /// The tasks, 1 to [`MAX_TASKS`].
    pub tasks: Vec<Arc<Task>>,
}

impl Submission {
    /// Returns a digest of the team and the tasks, which distinguishes a resubmission from a
    /// different submission with the same id.
    pub fn digest(&self) -> u64 {
        let mut hash = Xxh3::new();
        hash.update(self.team.as_bytes());
        for task in &self.tasks {
            hash.update(&[0]);
            hash.update(format!("{:?}", task.target).as_bytes());
            hash.update(&task.work);
        }
        hash.digest()
    }
}
