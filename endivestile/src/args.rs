//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Entry host of endivestile: accepts requests and jobs and runs each of them once.
///
/// Exit codes: 0 drained or settings valid, 1 a socket, thread or the log could
/// not be opened, 2 invalid settings or command line, 3 stopped with work left.
#[derive(Debug, Clone, Parser)]
#[command(name = "endivestile", version)]
pub struct Args {
    /// Settings file in INI format.
    #[arg(long, value_name = "FILE.ini")]
    pub config: Option<PathBuf>,
    /// Overrides one setting; can be repeated.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    pub overrides: Vec<String>,
    /// Checks the settings and exits.
    #[arg(long)]
    pub check: bool,
}
