//! Exit codes.

use std::process::ExitCode;

use crate::error::CtlError;
use crate::http::Class;

/// How the tool ended; scripts go by the number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// Done.
    Done = 0,
    /// The tool itself failed, for example on a file.
    Internal = 1,
    /// Wrong arguments.
    Usage = 2,
    /// Settings, inventory or rules are refused.
    Refused = 3,
    /// Somebody else's change came first; nothing was changed.
    Conflict = 4,
    /// Nobody in reach can tell whether it took effect.
    Unknown = 5,
    /// Store or host out of reach; nothing took effect.
    Unreachable = 6,
    /// The submission was refused; no task ran.
    NotRun = 7,
    /// The submission failed or was cancelled; tasks may have run.
    Failed = 8,
    /// The entry host found the submission invalid; nothing ran.
    Invalid = 9,
    /// The submission still runs.
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
