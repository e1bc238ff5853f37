//! `endivectl`, the operators' and callers' tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    endivestile_ctl::run(std::env::args_os())
}
