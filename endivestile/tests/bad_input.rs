//! Invalid input gets a 4xx status that names the field, and no part of it is accepted.

mod common;

use std::sync::{Arc, Mutex, Weak};

use common::{Rig, dated_id};
use test_case::test_case;

/// Returns the rig shared by all running test cases, which ends with the last of them.
fn rig() -> Arc<Rig> {
    static SHARED: Mutex<Weak<Rig>> = Mutex::new(Weak::new());
    let mut shared = SHARED.lock().expect("an unpoisoned lock");
    shared.upgrade().unwrap_or_else(|| {
        let rig = Arc::new(Rig::start(&["calls.body-limit=65536"]));
        *shared = Arc::downgrade(&rig);
        rig
    })
}

/// Asserts that a call is rejected with the name of the field and starts nothing.
#[track_caller]
fn assert_refused(path: &str, headers: &[(&str, &str)], body: &str, status: u16, field: &str) {
    let rig = rig();
    let before = rig.backends.starts().len();
    let got = rig.daemon.post(path, headers, body);
    assert_eq!((got.status, got.field("field")), (status, field.into()), "{}", got.body);
    assert_eq!(got.field("status"), "invalid");
    assert_eq!(rig.backends.starts().len(), before);
}

const ORDERS: &str = "/v1/requests/orders";
const JOBS: &str = "/v1/jobs";
const TEAM: (&str, &str) = ("Team", "m1");
const IDEMPOTENT: (&str, &str) = ("Idempotent", "true");

#[test_case(&[IDEMPOTENT], "Team"; "team missing")]
#[test_case(&[IDEMPOTENT, ("Team", "nobody")], "Team"; "team unknown")]
#[test_case(&[IDEMPOTENT, TEAM, ("Deadline-Ms", "0")], "Deadline-Ms"; "deadline zero")]
#[test_case(&[IDEMPOTENT, TEAM, ("Deadline-Ms", "-5")], "Deadline-Ms"; "deadline negative")]
#[test_case(&[IDEMPOTENT, TEAM, ("Deadline-Ms", "600001")], "Deadline-Ms"; "deadline too long")]
#[test_case(&[IDEMPOTENT, TEAM, ("Deadline-Ms", "soon")], "Deadline-Ms"; "deadline not a number")]
#[test_case(&[TEAM], "Idempotency-Key"; "id missing")]
#[test_case(&[TEAM, ("Idempotency-Key", "abc")], "Idempotency-Key"; "id malformed")]
#[test_case(&[TEAM, ("Idempotency-Key", "99999999999:k")], "Idempotency-Key"; "id in the future")]
#[test_case(&[TEAM, ("Idempotent", "yes")], "Idempotent"; "idempotent unknown value")]
#[test_case(&[IDEMPOTENT, TEAM, ("Team", "m1")], "Team"; "team twice")]
#[test_case(&[IDEMPOTENT, TEAM, ("Want-Ids", "17")], "Want-Ids"; "too many ids wanted")]
fn request_header(headers: &[(&str, &str)], field: &str) {
    assert_refused(ORDERS, headers, "x", 400, field);
}

#[test]
fn request_unknown_service() {
    assert_refused("/v1/requests/nothing", &[TEAM, IDEMPOTENT], "x", 400, "service");
}

#[test_case("", "body"; "empty")]
#[test_case("{", "body"; "malformed")]
#[test_case(r#"{"tasks":[],"more":1}"#, "body"; "unknown key")]
#[test_case(r#"{"tasks":[]}"#, "tasks"; "no task")]
#[test_case(r#"{"tasks":[{"work":"x"}]}"#, "tasks[0]"; "neither service nor need")]
#[test_case(r#"{"tasks":[{"service":"orders","need":{"cpu_milli":1}}]}"#, "tasks[0]"; "service and need")]
#[test_case(r#"{"tasks":[{"service":"orders"},{"service":"no"}]}"#, "tasks[1].service"; "unknown service")]
#[test_case(r#"{"tasks":[{"need":{}}]}"#, "tasks[0].need"; "need empty")]
#[test_case(r#"{"tasks":[{"need":{"cpu_milli":4001}}]}"#, "tasks[0].need"; "need above every worker")]
#[test_case(r#"{"tasks":[{"need":{"cpu_milli":-1}}]}"#, "body"; "need negative")]
fn job_body(body: &str, field: &str) {
    let id = dated_id("job");
    assert_refused(JOBS, &[TEAM, ("Idempotency-Key", &id)], body, 400, field);
}

#[test]
fn job_over_limit() {
    let id = dated_id("many");
    let tasks = vec![r#"{"service":"orders"}"#; 201].join(",");
    let body = format!(r#"{{"tasks":[{tasks}]}}"#);
    assert_refused(JOBS, &[TEAM, ("Idempotency-Key", &id)], &body, 400, "tasks");
}

#[test]
fn job_missing_id() {
    let body = r#"{"tasks":[{"service":"orders"}]}"#;
    assert_refused(JOBS, &[TEAM], body, 400, "Idempotency-Key");
}

#[test]
fn request_oversize() {
    let body = "x".repeat(65_537);
    assert_refused(ORDERS, &[TEAM, IDEMPOTENT], &body, 413, "body");
}

#[test_case("0"; "none")]
#[test_case("1001"; "too many")]
#[test_case("x"; "not a number")]
fn ids_count(count: &str) {
    assert_refused(&format!("/v1/ids?count={count}"), &[], "", 400, "count");
}

#[test]
fn path_unknown() {
    assert_refused("/v2/jobs", &[], "", 404, "path");
}

#[test]
fn method_wrong() {
    let got = rig().daemon.get("/v1/jobs");
    assert_eq!((got.status, got.field("field")), (405, "method".into()));
}

/// A caller announces a body of petabytes. A buffer of that length would abort the
/// process and with it the connections of all other callers. The HTTP library itself
/// refuses a length that it cannot represent.
#[test]
fn request_excessive_length() {
    let rig = rig();
    let daemon = &rig.daemon;
    for (length, status) in
        [("9000000000000000", 413), ("9223372036854775807", 413), ("18446744073709551615", 431)]
    {
        let head = format!(
            "POST /v1/requests/orders HTTP/1.1\r\nHost: e1\r\nTeam: m1\r\nIdempotent: true\r\n\
             Content-Length: {length}\r\n\r\nabc"
        );
        let reply = daemon.send_raw(head.as_bytes());
        assert!(reply.starts_with(&format!("HTTP/1.1 {status}")), "{reply}");
    }
    assert_eq!(daemon.get("/health").status, 200);
}

/// A caller disconnects in the middle of its request. The truncated task must not
/// run, since the caller sends the whole request again.
#[test]
fn request_truncated_body() {
    let rig = rig();
    let before = rig.backends.starts().len();
    let head = "POST /v1/requests/orders HTTP/1.1\r\nHost: e1\r\nTeam: m1\r\n\
                Idempotent: true\r\nContent-Length: 5000\r\n\r\nhalf";
    let mut stream = std::net::TcpStream::connect(&rig.daemon.http).expect("connect");
    std::io::Write::write_all(&mut stream, head.as_bytes()).expect("write");
    stream.shutdown(std::net::Shutdown::Write).expect("shutdown");
    let mut reply = String::new();
    let _ = std::io::Read::read_to_string(&mut stream, &mut reply);
    assert!(reply.starts_with("HTTP/1.1 400"), "{reply}");
    assert_eq!(rig.backends.starts().len(), before);
}
