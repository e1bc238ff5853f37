//! Command line of the daemon.

use std::path::PathBuf;

use clap::Parser;

/// Entry host of endivestile: takes requests and jobs and has them run once.
///
/// Exit codes: 0 drained or settings in order, 1 a socket or thread could not
/// be had, 2 settings or command line refused, 3 stopped with work left.
#[derive(Debug, Clone, Parser)]
#[command(name = "endivestile", version)]
pub struct Args {
    /// Settings file in INI.
    #[arg(long, value_name = "FILE.ini")]
    pub config: Option<PathBuf>,
    /// Overrides one setting; may be given several times.
    #[arg(long = "set", value_name = "SECTION.KEY=VALUE")]
    pub overrides: Vec<String>,
    /// Checks the settings and ends.
    #[arg(long)]
    pub check: bool,
}
