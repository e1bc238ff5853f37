//! Status of a backend, for operators.

use std::fmt;

use endivestile_config::model::Name;
use serde::Serialize;

/// Condition of a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Condition {
    /// In use.
    Up,
    /// In use with a reduced number of tasks, until it has answered some.
    Trial,
    /// Ejected after failures, until its next probe.
    Out,
    /// Leaving: gets no new tasks.
    Leaving,
}

impl fmt::Display for Condition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Up => "up",
            Self::Trial => "trial",
            Self::Out => "out",
            Self::Leaving => "leaving",
        })
    }
}

/// Status of one backend of the share, as shown by `endivectl status`.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Name of the backend.
    pub name: Name,
    /// Slots of a backend server, or millicores of a worker.
    pub slots: u32,
    /// Number of `slots` that are free.
    pub free: u32,
    /// Number of tasks waiting in the queues that this backend serves.
    pub waiting: u32,
    /// Learned run time of one task in microseconds, 0 before the first one has
    /// finished.
    pub speed_us: u64,
    /// Condition.
    pub health: Condition,
}
