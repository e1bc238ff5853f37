//! Tests of the commands that call entry hosts, and of `completions` and `check`.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

mod common;

use std::io::Read;
use std::net::TcpListener;
use std::thread;

use common::host::FakeHost;
use common::{Run, file, tool};
use serde_json::Value;
use test_case::test_case;

const JOB: &str = r#"{"tasks":[{"service":"orders","work":"w"}]}"#;

fn submit(address: &str, more: &[&str], input: &str) -> Run {
    let args = ["submit", "--host", address, "--team", "walvis"];
    tool(&[&args[..], more].concat(), input)
}

#[test_case(200, r#"{"status":"complete","results":["r"]}"# => 0; "complete")]
#[test_case(502, r#"{"status":"failed","reason":"lost"}"# => 8; "failed")]
#[test_case(409, r#"{"status":"cancelled"}"# => 8; "cancelled")]
#[test_case(503, r#"{"status":"not run","retry_ms":5}"# => 7; "not run")]
#[test_case(503, r#"{"status":"unknown"}"# => 5; "unknown")]
#[test_case(202, r#"{"status":"running"}"# => 10; "running")]
#[test_case(422, r#"{"status":"conflict"}"# => 9; "conflict")]
#[test_case(400, r#"{"status":"invalid","field":"tasks"}"# => 9; "invalid")]
#[test_case(502, "a balancer's page" => 5; "answer of a load balancer")]
#[test_case(200, "{}" => 5; "no status")]
fn submit_job_exit_code(status: u16, body: &'static str) -> i32 {
    let host = FakeHost::start(status, body);
    let run = submit(&host.address(), &[], JOB);
    assert_eq!(run.out, body);
    let received = host.received();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].id.as_deref(), Some("m:a:1:1"));
    assert_eq!(received[0].path, "/v1/jobs");
    run.code
}

#[test]
fn submit_idempotent_request_needs_no_id() {
    let host = FakeHost::start(200, "\u{7}raw");
    let run = submit(&host.address(), &["--service", "orders", "--idempotent"], "w");
    assert_eq!((run.code, run.out.as_str()), (0, "\u{7}raw"));
    let received = &host.received()[0];
    assert_eq!((received.path.as_str(), &received.id), ("/v1/requests/orders", &None));
    assert!(received.idempotent);
}

#[test]
fn submit_json() {
    let host = FakeHost::start(503, r#"{"status":"not run"}"#);
    let run = submit(&host.address(), &["--json", "--id", "1:k"], JOB);
    let answer: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(answer["class"], "not run");
    assert_eq!(answer["id"], "1:k");
    assert_eq!(answer["body"]["status"], "not run");
}

#[test]
fn submit_not_a_job() {
    let run = submit("127.0.0.1:1", &[], r#"{"tasks":[{"serivce":"orders"}]}"#);
    assert_eq!(run.code, 2);
    assert!(run.err.contains("serivce"), "{run:?}");
}

#[test]
fn submit_host_refuses_connection() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let run = submit(&address.to_string(), &["--id", "1:k"], JOB);
    assert_eq!(run.code, 6, "{run:?}");
}

/// The entry host reads the submission and crashes before it answers. The tasks may
/// have run, so the exit code must not be that of "not run": the caller would submit
/// them again.
#[test]
fn submit_host_closes_without_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let host = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut head = [0; 64];
        stream.read_exact(&mut head).unwrap();
    });
    let run = submit(&address, &["--id", "1:k"], JOB);
    host.join().unwrap();
    assert_eq!(run.code, 5, "{run:?}");
}

/// The first host crashes or is paused after it read the submission, and the tool
/// retries at another host. With another id the job could run twice; so it could if
/// a refusal by the second host counted for both.
#[test_case(200, r#"{"status":"complete","results":["r"]}"# => 0; "complete")]
#[test_case(503, r#"{"status":"not run"}"# => 5; "not run by second host")]
fn submit_retried_at_other_host(status: u16, body: &'static str) -> i32 {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let dying = listener.local_addr().unwrap();
    let other = FakeHost::start(status, body);
    let host = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        stream.read_exact(&mut [0; 64]).unwrap();
    });
    let both = format!("{dying},{}", other.address());
    let run = submit(&both, &["--id", "1:k"], JOB);
    host.join().unwrap();
    assert_eq!(other.received()[0].id.as_deref(), Some("1:k"));
    run.code
}

fn load(address: &str, more: &[&str]) -> Run {
    let args = ["load", "--host", address, "--team", "walvis,swakop", "--service", "orders"];
    tool(&[&args[..], &["--seconds", "1"], more].concat(), "")
}

#[test]
fn load_reports_classes_and_times() {
    let host = FakeHost::start(503, r#"{"status":"not run"}"#);
    let more = ["--json", "--callers", "3", "--idempotent-percent", "50"];
    let run = load(&host.address(), &more);
    assert_eq!(run.code, 0, "{run:?}");
    let report: Value = serde_json::from_str(&run.out).unwrap();
    let row = &report["classes"][0];
    assert_eq!(row["class"], "not run");
    assert_eq!(row["count"], report["submissions"]);
    assert!(row["p50_us"].as_u64() <= row["p99_us"].as_u64());
    let received = host.received();
    assert_eq!(received.len() as u64, report["submissions"].as_u64().unwrap());
    assert!(received.iter().all(|call| call.idempotent != call.id.is_some()));
}

#[test]
fn load_same_seed_gives_same_submissions() {
    let host = FakeHost::start(200, r#"{"status":"complete","results":[]}"#);
    let traces: Vec<Vec<String>> = ["a.csv", "b.csv"]
        .iter()
        .map(|name| {
            let trace = file(name, "");
            let more = ["--rate", "200", "--job-percent", "30", "--seed", "9", "--trace", &trace];
            assert_eq!(load(&host.address(), &more).code, 0);
            let text = std::fs::read_to_string(&trace).unwrap();
            // All columns except the latency are the same in both runs.
            text.lines()
                .map(|line| line.split(',').enumerate().filter(|(at, _)| *at != 2))
                .map(|fields| fields.map(|(_, field)| field).collect::<Vec<_>>().join(","))
                .collect()
        })
        .collect();
    let common = traces[0].len().min(traces[1].len());
    assert!(common > 50, "{common}");
    assert_eq!(traces[0][..common], traces[1][..common]);
}

#[test_case("10.0.0.1:80", "--allow-remote"; "remote address")]
#[test_case("192.168.1.1:80,127.0.0.1:80", "--allow-remote"; "one of two addresses")]
fn load_remote_address_refused(address: &str, hint: &str) {
    let run = load(address, &[]);
    assert_eq!(run.code, 2);
    assert!(run.err.contains(hint), "{run:?}");
}

#[test]
fn load_host_unreachable() {
    let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let run = load(&address.to_string(), &["--rate", "5"]);
    assert_eq!(run.code, 6, "{run:?}");
    assert!(run.out.contains("unreachable"), "{run:?}");
}

/// Returns a row's value in the first column of hosts.
fn value<'a>(table: &'a str, row: &str) -> &'a str {
    let lines = table.lines().map(|line| line.split_whitespace().collect::<Vec<_>>());
    lines.filter(|cells| cells[0] == row).map(|cells| cells[1]).next().unwrap_or("none")
}

#[test]
fn status_with_unreachable_host() {
    let host = FakeHost::start(200, "");
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let both = format!("{},{closed}", host.address());
    let run = tool(&["status", "--host", &both], "");
    assert_eq!(run.code, 6, "{run:?}");
    let rows = ["counters.forwards", "hosts.state.suspect", "hosts.backlog", "shards.role.home"];
    let found: Vec<&str> = rows.iter().map(|row| value(&run.out, row)).collect();
    assert_eq!(found, ["3", "1", "5", "2"], "{run:?}");
    let run = tool(&["status", "--json", "--host", &host.address()], "");
    assert_eq!(run.code, 0);
    let page: Value = serde_json::from_str(&run.out).unwrap();
    assert_eq!(page[host.address()]["peer"], "a#1");
}

#[test_case("bash")]
#[test_case("zsh")]
#[test_case("fish")]
fn completions_name_commands(shell: &str) {
    let run = tool(&["completions", shell], "");
    assert_eq!(run.code, 0);
    assert!(run.out.contains("history") && run.out.contains("allow-remote"));
}

#[test]
fn check_error_names_file_and_line() {
    let invalid = common::CONFIG.replace("slots = 8", "slotz = 8");
    let path = file("inventory.ini", &invalid);
    let run = tool(&["check", &path], "");
    assert_eq!(run.code, 3);
    let message =
        format!("{path}:8: [backend-server s1] slotz: unknown key, the nearest is slots\n");
    assert_eq!(run.err, message);
    assert_eq!(tool(&["check", "-"], common::CONFIG).code, 0);
    assert_eq!(tool(&["check", "missing.ini"], "").code, 1);
}
