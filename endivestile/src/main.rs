//! The daemon of an entry host.

use std::process::ExitCode;

// Links the adapter in, which registers itself.
use endivestile_platform as _;

fn main() -> ExitCode {
    endivestile::run_from(std::env::args_os())
}
