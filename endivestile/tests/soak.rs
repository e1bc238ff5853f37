//! Random faults against hosts that run as processes: short runs with fixed seeds.
//! `cargo run --release --example soak` makes long runs with new seeds.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_testkit::{DaemonCommand, Soak};
use test_case::test_case;

/// Faults of a run beside those that are drawn always, or instead of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Extra {
    None,
    Evacuations,
    ResetSeries,
    PairedLosses,
    Crowds,
}

/// Hosts are paused, killed, stopped and restarted, and connections between them, to
/// the store and to workers are delayed, reset or blocked, at random and overlapping.
/// Callers get complete answers, refusals are correct, no task runs twice at the same
/// time, and afterwards everything is served as before.
///
/// The later seeds have failed before. `lapsed_elsewhere`: a run whose lease had
/// expired at an unreachable worker was counted as still running. `paused_host`: an
/// answer of a paused host was counted as late.
#[test_case(1, 5, Extra::None; "first")]
#[test_case(2, 5, Extra::None; "second")]
#[test_case(3, 8, Extra::None; "lapsed_elsewhere")]
#[test_case(6, 8, Extra::None; "paused_host")]
#[test_case(7, 6, Extra::Evacuations; "evacuations")]
#[test_case(8, 8, Extra::ResetSeries; "reset_series")]
#[test_case(110, 14, Extra::PairedLosses; "paired_losses")]
#[test_case(9, 8, Extra::Crowds; "crowds")]
fn soak_short(seed: u64, seconds: u64, extra: Extra) {
    let daemon = DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"));
    let faults_ms = seconds * 1_000;
    let soak = Soak {
        daemon,
        seed,
        faults_ms,
        hosts: 2,
        workers: 4,
        callers: if extra == Extra::PairedLosses { 12 } else { 6 },
        evacuations: extra == Extra::Evacuations,
        reset_series: extra == Extra::ResetSeries,
        crowds: extra == Extra::Crowds,
        paired_losses: extra == Extra::PairedLosses,
    };
    let report = soak.run().unwrap();
    assert!(report.breaches.is_empty(), "{:#?}\n{}", report.breaches, report.trace.join("\n"));
    assert!(report.completed > 10, "too few calls were completed: {report:?}");
}
