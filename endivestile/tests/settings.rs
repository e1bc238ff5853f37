//! Command line: settings, overrides, exit codes.

use std::process::{Command, Output};

use test_case::test_case;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_endivestile")).args(args).output().expect("daemon")
}

const HOST: [&str; 6] =
    ["--set", "host.name=e1", "--set", "host.zone=a", "--set", "store.addresses=127.0.0.1:1"];
const ADVERTISE: [&str; 2] = ["--set", "host.advertise=127.0.0.1:8081"];

#[test]
fn check_valid() {
    let output = run(&[&HOST[..], &ADVERTISE[..], &["--check"]].concat());
    assert_eq!(output.status.code(), Some(0), "{output:?}");
}

#[test_case("calls.threads=0", "threads"; "value refused")]
#[test_case("calls.thread=4", "threads"; "key unknown")]
#[test_case("call.threads=4", "calls"; "section unknown")]
#[test_case("stop.limit-s=1", "limit-s"; "stop shorter than the longest call")]
fn check_refused(set: &str, expected: &str) {
    let output = run(&[&HOST[..], &ADVERTISE[..], &["--check", "--set", set]].concat());
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains(expected), "{text}");
}

#[test_case(&["--nonsense"]; "argument unknown")]
#[test_case(&["--config", "/nowhere/settings.ini"]; "file missing")]
#[test_case(&["--check"]; "name missing")]
fn run_refused(args: &[&str]) {
    assert_eq!(run(args).status.code(), Some(2));
}

/// Another process uses the port. The host must fail at once, so that the platform
/// does not see a running process that serves no callers.
#[test]
fn run_port_taken() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let http = format!("host.http={}", taken.local_addr().expect("address"));
    let output = run(&[&HOST[..], &ADVERTISE[..], &["--set", &http]].concat());
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(text.contains("step=listen-http"), "{text}");
}
