//! Random faults against hosts that run as processes: short runs with fixed seeds.
//! `cargo run --release --example soak` makes long runs with new seeds.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_testkit::{DaemonCommand, Soak};
use test_case::test_case;

/// Hosts are paused, killed, stopped and restarted, and connections between them, to
/// the store and to workers are delayed, reset or blocked, at random and overlapping.
/// Callers get complete answers, refusals are correct, no task runs twice at the same
/// time, and afterwards everything is served as before.
///
/// The later seeds have failed before. `lapsed_elsewhere`: a run whose lease had
/// expired at an unreachable worker was counted as still running. `paused_host`: an
/// answer of a paused host was counted as late.
#[test_case(1, 5, false, false; "first")]
#[test_case(2, 5, false, false; "second")]
#[test_case(3, 8, false, false; "lapsed_elsewhere")]
#[test_case(6, 8, false, false; "paused_host")]
#[test_case(7, 6, true, false; "evacuations")]
#[test_case(8, 8, false, true; "reset_series")]
fn soak_short(seed: u64, seconds: u64, evacuations: bool, reset_series: bool) {
    let daemon = DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"));
    let faults_ms = seconds * 1_000;
    let soak = Soak {
        daemon,
        seed,
        faults_ms,
        hosts: 2,
        workers: 4,
        callers: 6,
        evacuations,
        reset_series,
    };
    let report = soak.run().unwrap();
    assert!(report.breaches.is_empty(), "{:#?}\n{}", report.breaches, report.trace.join("\n"));
    assert!(report.completed > 10, "too few calls were completed: {report:?}");
}
