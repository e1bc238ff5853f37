//! The cases. Each returns whether its rule held.

mod replaced;
mod resend;
mod shrink;
mod suspect;

use std::thread;
use std::time::Duration;

use crate::deployment::NotRun;

/// Runs a case.
pub fn run(name: &str, record: &str, trouble: bool) -> Result<bool, NotRun> {
    match name {
        "resend" => resend::run(record, trouble),
        "shrink" => shrink::run(record, trouble),
        "replaced" => replaced::run(record, trouble),
        "suspect" => suspect::run(record, trouble),
        _ => Err(NotRun(format!("unknown case {name:?}"))),
    }
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}
