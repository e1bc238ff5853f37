//! Bad input gets a 4xx that names the field, and nothing of it is accepted.

mod common;

use std::sync::{Arc, Mutex, Weak};

use common::{Rig, dated};
use test_case::test_case;

/// Returns the rig that all running cases share; it ends with the last of them.
fn rig() -> Arc<Rig> {
    static SHARED: Mutex<Weak<Rig>> = Mutex::new(Weak::new());
    let mut shared = SHARED.lock().expect("a rig that starts");
    shared.upgrade().unwrap_or_else(|| {
        let rig = Arc::new(Rig::start(&["calls.body-limit=65536"]));
        *shared = Arc::downgrade(&rig);
        rig
    })
}

/// Asserts that a call was refused by name and started nothing.
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
const PURE: (&str, &str) = ("Idempotent", "true");

#[test_case(&[PURE], "Team"; "team missing")]
#[test_case(&[PURE, ("Team", "nobody")], "Team"; "team unknown")]
#[test_case(&[PURE, TEAM, ("Deadline-Ms", "0")], "Deadline-Ms"; "deadline zero")]
#[test_case(&[PURE, TEAM, ("Deadline-Ms", "-5")], "Deadline-Ms"; "deadline past")]
#[test_case(&[PURE, TEAM, ("Deadline-Ms", "600001")], "Deadline-Ms"; "deadline too long")]
#[test_case(&[PURE, TEAM, ("Deadline-Ms", "soon")], "Deadline-Ms"; "deadline no number")]
#[test_case(&[TEAM], "Idempotency-Key"; "id missing")]
#[test_case(&[TEAM, ("Idempotency-Key", "abc")], "Idempotency-Key"; "id malformed")]
#[test_case(&[TEAM, ("Idempotency-Key", "99999999999:k")], "Idempotency-Key"; "id of the future")]
#[test_case(&[TEAM, ("Idempotent", "yes")], "Idempotent"; "mark unknown")]
#[test_case(&[PURE, TEAM, ("Team", "m1")], "Team"; "team twice")]
#[test_case(&[PURE, TEAM, ("Want-Ids", "17")], "Want-Ids"; "too many ids wanted")]
fn request_header(headers: &[(&str, &str)], field: &str) {
    assert_refused(ORDERS, headers, "x", 400, field);
}

#[test]
fn request_unknown_service() {
    assert_refused("/v1/requests/nothing", &[TEAM, PURE], "x", 400, "service");
}

#[test_case("", "body"; "empty")]
#[test_case("{", "body"; "malformed")]
#[test_case(r#"{"tasks":[],"more":1}"#, "body"; "unknown key")]
#[test_case(r#"{"tasks":[]}"#, "tasks"; "no task")]
#[test_case(r#"{"tasks":[{"work":"x"}]}"#, "tasks[0]"; "neither service nor need")]
#[test_case(r#"{"tasks":[{"service":"orders","need":{"cpu_milli":1}}]}"#, "tasks[0]"; "service and need")]
#[test_case(r#"{"tasks":[{"service":"orders"},{"service":"no"}]}"#, "tasks[1].service"; "unknown service")]
#[test_case(r#"{"tasks":[{"need":{}}]}"#, "tasks[0].need"; "need of nothing")]
#[test_case(r#"{"tasks":[{"need":{"cpu_milli":4001}}]}"#, "tasks[0].need"; "need above every worker")]
#[test_case(r#"{"tasks":[{"need":{"cpu_milli":-1}}]}"#, "body"; "need negative")]
fn job_body(body: &str, field: &str) {
    let id = dated("job");
    assert_refused(JOBS, &[TEAM, ("Idempotency-Key", &id)], body, 400, field);
}

#[test]
fn job_over_limit() {
    let id = dated("many");
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
    assert_refused(ORDERS, &[TEAM, PURE], &body, 413, "body");
}

#[test_case("0"; "none")]
#[test_case("1001"; "too many")]
#[test_case("x"; "no number")]
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

/// A caller announces a body of petabytes. The HTTP library allocates what is
/// left of a body in one piece when it drops the request, which would end the
/// process, and every other caller would see its connection closed.
#[test]
fn request_absurd_length() {
    let rig = rig();
    let daemon = &rig.daemon;
    for length in ["9000000000000000", "9223372036854775807", "18446744073709551615"] {
        let head = format!(
            "POST /v1/requests/orders HTTP/1.1\r\nHost: e1\r\nTeam: m1\r\nIdempotent: true\r\n\
             Content-Length: {length}\r\n\r\nabc"
        );
        let reply = daemon.raw(head.as_bytes());
        assert!(reply.starts_with("HTTP/1.1 413"), "{reply}");
    }
    assert_eq!(daemon.get("/health").status, 200);
}

/// A caller goes away in the middle of its request. Half a booking must not be
/// confirmed: the caller sends the whole of it again.
#[test]
fn request_cut_body() {
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
