//! Entry hosts as processes against the stand-ins.

mod address;
mod deployment;
mod plan;
mod process;
mod signal;

pub use deployment::Deployment;
pub use plan::Plan;
pub use process::{DaemonCommand, HostProcess};

use std::thread;
use std::time::{Duration, Instant};

/// Pause between two looks at a condition, in milliseconds.
const LOOK_MS: u64 = 5;

/// Waits until a condition holds; returns whether it did within `limit_s` seconds.
pub fn wait_for(limit_s: u64, mut holds: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(limit_s);
    loop {
        if holds() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(LOOK_MS));
    }
}
