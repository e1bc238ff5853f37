//! Errors of the tool.

use std::io;

use endivestile_config::ConfigError;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    // The macro takes no doc comments on fields and no other visibility.
    #[allow(missing_docs, unreachable_pub)]
    #[derive(Debug)]
    pub enum CtlError {
        /// A file can't be read or written.
        File { step: &'static str, file: String, cause: io::Error } {
            display("step={step} file={file}: {cause}")
            source(cause)
        }
        /// Wrong arguments that the parser can't see.
        Usage(reason: String) {
            display("{reason}")
        }
        /// Settings, inventory or rules are refused.
        Refused(errors: Vec<ConfigError>) {
            display("{}", lines(errors))
        }
        /// Somebody else's change came first.
        Conflict(reason: String) {
            display("conflict: {reason}")
        }
        /// A write was sent and its outcome could not be learnt.
        OutcomeUnknown { step: &'static str, peer: String, reason: String, write: String } {
            display(
                "step={step} peer={peer}: {reason}; it may have taken effect, look for write \
                 {write} in the history before another try"
            )
        }
        /// Store or host out of reach; nothing took effect.
        Unreachable { step: &'static str, peer: String, reason: String } {
            display("step={step} peer={peer}: {reason}; nothing was changed")
        }
        /// The store holds something that can't be read.
        InvalidValue { step: &'static str, key: String, reason: String } {
            display("step={step} key={key}: {reason}")
        }
    }
}

fn lines(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
