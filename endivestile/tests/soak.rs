//! Random faults from outside, with hosts as processes: a short run of fixed
//! seeds. `cargo run --release --example soak` makes long runs with fresh ones.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_testkit::{Daemon, Soak};
use test_case::test_case;

/// For how long faults come, in milliseconds.
const FAULTS_MS: u64 = 5_000;

/// Hosts are paused, killed, stopped and started again, and the ways between
/// them, to the store and to workers are delayed, reset or silenced, at random
/// and overlapping. Callers get whole answers, a refusal is true, no task runs
/// twice at a time, and afterwards everything serves as before.
#[test_case(1)]
#[test_case(2)]
fn soak_short(seed: u64) {
    let daemon = Daemon::new(env!("CARGO_BIN_EXE_endivestile"));
    let soak = Soak { daemon, seed, faults_ms: FAULTS_MS, hosts: 2, workers: 4, callers: 6 };
    let report = soak.run().unwrap();
    assert!(report.breaches.is_empty(), "{:#?}\n{}", report.breaches, report.trace.join("\n"));
    assert!(report.completed > 20, "hardly anything was served: {report:?}");
}
