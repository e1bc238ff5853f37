//! Errors of the commands.

use std::io;

use endivestile_config::ConfigError;
use quick_error::quick_error;

quick_error! {
    /// Why a command failed.
    // The macro accepts neither doc comments on fields nor another visibility.
    #[allow(missing_docs, unreachable_pub)]
    #[derive(Debug)]
    pub enum CtlError {
        /// A file or another resource of the operating system can't be used.
        File { step: &'static str, file: String, cause: io::Error } {
            display("step={step} file={file}: {cause}")
            source(cause)
        }
        /// Arguments are invalid in a way that clap does not detect.
        Usage(reason: String) {
            display("{reason}")
        }
        /// The configuration is invalid, or changes what is fixed.
        Refused(errors: Vec<ConfigError>) {
            display("{}", lines(errors))
        }
        /// Another change was made first.
        Conflict(reason: String) {
            display("conflict: {reason}")
        }
        /// A write was sent, but its outcome is unknown.
        OutcomeUnknown { step: &'static str, peer: String, reason: String, write: String } {
            display(
                "step={step} peer={peer}: {reason}; it may have taken effect, look for write \
                 {write} in the history before you retry"
            )
        }
        /// The store or a host can't be reached; nothing took effect.
        Unreachable { step: &'static str, peer: String, reason: String } {
            display("step={step} peer={peer}: {reason}; nothing was changed")
        }
        /// A value in the store can't be decoded, or one can't be encoded.
        InvalidValue { step: &'static str, key: String, reason: String } {
            display("step={step} key={key}: {reason}")
        }
    }
}

fn lines(errors: &[ConfigError]) -> String {
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}
