//! Implementation of `endivectl`, the command-line tool of operators and callers.

mod audit;
mod change;
mod cli;
mod command;
mod context;
mod error;
mod exit;
mod explain;
mod files;
mod http;
mod load;
mod out;
mod store;

use std::ffi::OsString;
use std::process::ExitCode;

use clap::Parser;

use cli::Cli;
use exit::Exit;

/// Runs the tool with the given process arguments and returns its exit code.
pub fn run(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(args) {
        Ok(cli) => cli,
        Err(error) => {
            // A failed write to standard error can't be reported anywhere.
            let _ = error.print();
            return ExitCode::from(error.exit_code() as u8);
        }
    };
    match command::run(cli) {
        Ok(exit) => ExitCode::from(exit),
        Err(error) => {
            out::print_error(&error.to_string());
            ExitCode::from(Exit::from(&error))
        }
    }
}
