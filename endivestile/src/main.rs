//! The entry host daemon.

use std::process::ExitCode;

// Links the platform adapter, which registers itself.
use endivestile_platform as _;

fn main() -> ExitCode {
    endivestile::run_from(std::env::args_os())
}
