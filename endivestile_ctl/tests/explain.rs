//! Tests of `endivectl explain` on logs of entry hosts.

use std::process::Command;

use serde_json::Value;
use test_case::test_case;

const LOG: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/causes.log");
const HARD_LOAD: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/hard_load.log");
const EVACUATED: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/logs/evacuated.log");

fn explain(by: &str) -> Value {
    explain_log(LOG, by)
}

fn explain_log(log: &str, by: &str) -> Value {
    let run = Command::new(env!("CARGO_BIN_EXE_endivectl"))
        .args(["--json", "explain", log, "--by", by])
        .output()
        .expect("endivectl runs");
    assert!(run.status.success(), "{}", String::from_utf8_lossy(&run.stderr));
    serde_json::from_slice(&run.stdout).expect("a report in JSON")
}

fn jobs(rows: &Value, cause: &str) -> u64 {
    let rows = rows.as_array().expect("rows of cause and sum");
    let row = rows.iter().find(|row| row[0] == cause);
    row.map_or(0, |row| row[1]["jobs"].as_u64().expect("a count"))
}

/// Each of these jobs was not served in time for another reason and must be counted
/// under exactly that cause.
#[test_case("waited-behind"; "waited")]
#[test_case("slow-worker"; "slow")]
#[test_case("run-trouble"; "stalled")]
#[test_case("refused-with-room"; "roomy")]
#[test_case("refused-full"; "full")]
#[test_case("no-owner"; "alone")]
#[test_case("owner-lost"; "moved")]
#[test_case("caller-left"; "gone")]
fn explain_finds_cause(cause: &str) {
    assert_eq!(jobs(&explain("second")["causes"], cause), 1);
}

/// Guards against a job that its zone rejected and another zone completed in time being counted as
/// one whose owner was lost, and against rejections and crashes without a cause.
#[test_case("refused-full"; "full")]
#[test_case("refused-with-room"; "roomy")]
#[test_case("owner-lost"; "moved")]
#[test_case("crashed-workers"; "crashing")]
fn explain_hard_load(cause: &str) {
    let report = explain_log(HARD_LOAD, "second");
    assert_eq!(jobs(&report["causes"], cause), 1);
    assert_eq!(report["in_time"], 1);
}

/// The log ends in an incomplete line, and one job has no answer yet: both are
/// counted as jobs without an answer, and all other lines are read.
#[test]
fn explain_truncated_log() {
    let report = explain("zone");
    assert_eq!(jobs(&report["causes"], "no-answer"), 2);
    assert_eq!(report["jobs"], 11);
    assert_eq!(report["in_time"], 1);
    assert_eq!(report["turned_away"]["no configuration yet"], 1);
}

#[test]
fn explain_groups_by_route() {
    let report = explain("route");
    assert_eq!(report["groups"]["long"]["refused-full"]["core_s"], 1.0);
    assert_eq!(report["groups"]["quick"]["slow-worker"]["jobs"], 1);
}

/// A job was refused because of an evacuation: the report names it as the cause, and
/// gives the times at which it started, was drained and ended.
#[test]
fn explain_evacuated() {
    let report = explain_log(EVACUATED, "zone");
    assert_eq!(jobs(&report["causes"], "evacuated"), 1);
    let north = &report["evacuations"]["north"];
    let seconds = ["started", "drained", "ended"].map(|at| north[at].as_str().unwrap_or(""));
    assert_eq!(seconds, ["2026-05-27T00:06:16", "2026-05-27T00:06:17", "2026-05-27T00:06:20"]);
}
