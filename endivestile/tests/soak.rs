//! Random faults from outside, with hosts as processes: a short run of fixed
//! seeds. `cargo run --release --example soak` makes long runs with fresh ones.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_testkit::{DaemonCommand, Soak};
use test_case::test_case;

/// Hosts are paused, killed, stopped and started again, and the ways between
/// them, to the store and to workers are delayed, reset or silenced, at random
/// and overlapping. Callers get whole answers, a refusal is true, no task runs
/// twice at a time, and afterwards everything serves as before.
///
/// The later seeds are those that have failed. `lapsed_elsewhere`: a run whose
/// lease had passed at a worker that nobody reached counted as running on.
/// `paused_host`: an answer of a host that was paused counted as late.
#[test_case(1, 5, false; "first")]
#[test_case(2, 5, false; "second")]
#[test_case(3, 8, false; "lapsed_elsewhere")]
#[test_case(6, 8, false; "paused_host")]
#[test_case(7, 6, true; "evacuations")]
fn soak_short(seed: u64, seconds: u64, evacuations: bool) {
    let daemon = DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"));
    let faults_ms = seconds * 1_000;
    let soak = Soak { daemon, seed, faults_ms, hosts: 2, workers: 4, callers: 6, evacuations };
    let report = soak.run().unwrap();
    assert!(report.breaches.is_empty(), "{:#?}\n{}", report.breaches, report.trace.join("\n"));
    assert!(report.completed > 10, "hardly anything was served: {report:?}");
}
