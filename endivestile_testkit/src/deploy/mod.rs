//! Runs entry hosts as processes against the stand-ins.

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

/// Interval between two checks of a condition, in milliseconds.
const POLL_INTERVAL_MS: u64 = 5;

/// Polls a condition for up to `limit_s` seconds and returns whether it became true.
pub fn wait_for(limit_s: u64, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(limit_s);
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}
