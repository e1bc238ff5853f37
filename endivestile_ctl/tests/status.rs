//! Tests of `endivectl status` on the metrics page of a host on the users' platform.

use std::io::{Read, Write};
use std::net::TcpListener;
use std::process::Command;
use std::thread;

use serde_json::Value;
use test_case::test_case;

/// Starts a server that answers one request with `body`; returns its address.
fn serve(body: &'static str) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut head = [0; 4_096];
        let _ = stream.read(&mut head).expect("a request");
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        stream.write_all(format!("{head}{body}").as_bytes()).expect("an answer");
    });
    address
}

fn status(address: &str) -> (bool, Value) {
    let run = Command::new(env!("CARGO_BIN_EXE_endivectl"))
        .args(["--json", "status", "--host", address])
        .output()
        .expect("endivectl runs");
    let page: Value = serde_json::from_slice(&run.stdout).expect("a table in JSON");
    (run.status.success(), page[address].clone())
}

#[test]
fn status_reads_metrics_page() {
    let page = "endivestile_zones_evacuated 1\nendivestile_task_run_us{quantile=\"0.5\"} 90\n";
    let (done, table) = status(&serve(page));
    assert!(done);
    assert_eq!(table["endivestile_zones_evacuated"], 1);
    assert_eq!(table["endivestile_task_run_us{quantile=\"0.5\"}"], 90);
}

#[test_case("no page of counts"; "words")]
#[test_case("figure one\n"; "not_a_number")]
fn status_malformed_page(body: &'static str) {
    let (done, table) = status(&serve(body));
    assert!(!done);
    assert!(table["error"].is_string());
}
