//! `endivectl`, the command-line tool of operators and callers.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivestile_ctl::run(std::env::args_os())
}
