//! Errors that end the daemon, and its exit codes.

use std::io;
use std::path::PathBuf;

use endivestile_config::ConfigError;
use endivestile_config::model::Name;
use quick_error::quick_error;

quick_error! {
    /// Why the daemon could not run.
    // The macro takes no doc comments on fields.
    #[allow(missing_docs)]
    #[derive(Debug)]
    pub enum RunError {
        /// The settings file could not be read.
        Read { path: PathBuf, source: io::Error } {
            display("step=read-settings file={}: {source}", path.display())
            source(source)
        }
        /// The settings are invalid.
        Settings(source: Box<ConfigError>) {
            display("step=check-settings {source}")
            source(source)
            from(e: ConfigError) -> (Box::new(e))
        }
        /// The log could not be opened.
        Log(reason: String) {
            display("step=open-log: {reason}")
        }
        /// A socket could not be opened.
        Bind { step: &'static str, address: String, reason: String } {
            display("step={step} address={address}: {reason}")
        }
        /// A thread or the runtime could not be started.
        Thread { step: &'static str, source: io::Error } {
            display("step={step}: {source}")
            source(source)
        }
        /// No platform adapter of this name is built in.
        Adapter { name: Name } {
            display("step=choose-adapter name={name}: not built in")
        }
        /// The engine's actor could not be started.
        Engine {
            display("step=start-engine: the engine did not start")
        }
    }
}

impl RunError {
    /// Returns the exit code for this error.
    pub fn exit(&self) -> Exit {
        match self {
            Self::Read { .. } | Self::Settings(_) | Self::Adapter { .. } => Exit::Refused,
            _ => Exit::Failed,
        }
    }
}

/// Exit code of the daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Drained, or the settings are valid.
    Drained = 0,
    /// A socket, thread or the log could not be opened.
    Failed = 1,
    /// Invalid settings or command line.
    Refused = 2,
    /// Stopped by a second signal or the stop limit, with work left.
    WorkLeft = 3,
}
