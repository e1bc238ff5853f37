//! Exit codes of the tool.

use std::process::ExitCode;

use crate::error::CtlError;
use crate::http::Class;

/// Exit status; scripts depend on the numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Success.
    Done = 0,
    /// The tool failed, for example to read a file or a stored value.
    Internal = 1,
    /// Invalid arguments.
    Usage = 2,
    /// The configuration is invalid, or changes what is fixed.
    Refused = 3,
    /// Another change was made first; nothing was changed.
    Conflict = 4,
    /// Whether the call took effect is unknown.
    Unknown = 5,
    /// The store or a host can't be reached; nothing took effect.
    Unreachable = 6,
    /// The submission was refused; no task ran.
    NotRun = 7,
    /// The submission failed or was cancelled; tasks may have run.
    Failed = 8,
    /// The entry host rejected the submission as invalid; nothing ran.
    Invalid = 9,
    /// The submission is still running.
    Running = 10,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

impl From<&CtlError> for Exit {
    fn from(error: &CtlError) -> Self {
        match error {
            CtlError::File { .. } | CtlError::InvalidValue { .. } => Self::Internal,
            CtlError::Usage(_) => Self::Usage,
            CtlError::Refused(_) => Self::Refused,
            CtlError::Conflict(_) => Self::Conflict,
            CtlError::OutcomeUnknown { .. } => Self::Unknown,
            CtlError::Unreachable { .. } => Self::Unreachable,
        }
    }
}

impl From<Class> for Exit {
    fn from(class: Class) -> Self {
        match class {
            Class::Complete => Self::Done,
            Class::Failed | Class::Cancelled => Self::Failed,
            Class::NotRun => Self::NotRun,
            Class::Unknown => Self::Unknown,
            Class::Running => Self::Running,
            Class::Conflict | Class::NotFound | Class::Invalid => Self::Invalid,
        }
    }
}
