//! State of a back end, for operators.

use std::fmt;

use endivestile_config::model::Name;
use serde::Serialize;

/// Whether a back end is given tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Condition {
    /// In use.
    Up,
    /// In use with few tasks at once, until it has answered some.
    Trial,
    /// Taken out after failures, until its next probe.
    Out,
    /// Leaving: no new work.
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

/// One back end of the share, as `endivectl status` shows it.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ServerStatus {
    /// Name of the back end.
    pub name: Name,
    /// Slots of a backend server, thousandths of a core of a worker.
    pub slots: u32,
    /// Part of `slots` that is free.
    pub free: u32,
    /// Tasks waiting in the queues that this back end serves.
    pub waiting: u32,
    /// Learnt run time of one task in microseconds, 0 when none ended yet.
    pub speed_us: u64,
    /// Whether it is given tasks.
    pub health: Condition,
}
