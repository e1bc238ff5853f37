//! The daemon of an entry host.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivestile::run_from(std::env::args_os())
}
