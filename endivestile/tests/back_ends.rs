//! Outcomes of calls to backends, as callers see them and as the backends count them.

mod common;

use std::thread;

use common::{Rig, dated_id, wait_for};
use endivestile_testkit::{MachineFault, echo};
use test_case::test_case;

#[test]
fn order_answered() {
    let rig = Rig::start(&[]);
    let got = rig.daemon.submit_order("k", r#"{"key":"k"}"#);
    assert_eq!((got.status, got.body), (200, echo(r#"{"key":"k"}"#)));
    assert_eq!(rig.backends.starts_of("k"), 1);
}

/// Requests of several callers are answered in another order than they arrived.
/// Each caller must get its own answer, not that of another one.
#[test]
fn order_out_of_order() {
    let rig = Rig::start(&[]);
    let works: Vec<String> =
        (0..16).map(|at| format!(r#"{{"key":"k{at}","ms":{}}}"#, 10 * (16 - at))).collect();
    thread::scope(|scope| {
        for (at, work) in works.iter().enumerate() {
            let daemon = &rig.daemon;
            scope.spawn(move || {
                let got = daemon.submit_order(&format!("k{at}"), work);
                assert_eq!((got.status, got.body), (200, echo(work)));
            });
        }
    });
    assert_eq!(rig.backends.duplicate_starts(), Vec::new());
}

/// The backend server accepts the request and its answer is lost: it closes the
/// connection, sends half an answer, or fails. The caller gets a failure, and
/// the task is not started a second time.
#[test_case(MachineFault::Close, "s1 was lost"; "closed after reading")]
#[test_case(MachineFault::Truncate, "s1 was lost"; "half an answer")]
#[test_case(MachineFault::Status(500), "status 500"; "error status")]
fn order_lost(fault: MachineFault, reason: &str) {
    let rig = Rig::start(&[]);
    rig.backends.set_fault("s1", fault);
    let got = rig.daemon.submit_order("k", r#"{"key":"k"}"#);
    assert_eq!((got.status, got.field("status")), (502, "failed".into()), "{}", got.body);
    assert!(got.body.contains(reason), "{}", got.body);
    assert_eq!(rig.backends.starts_of("k"), 1);
}

/// The backend server refuses connections, or refuses the task because it is full
/// or leaving. The caller gets "not run" by its deadline, and nothing ran.
#[test_case(MachineFault::Refuse; "connection refused")]
#[test_case(MachineFault::Busy; "busy")]
#[test_case(MachineFault::Leaving; "leaving")]
fn order_not_run(fault: MachineFault) {
    let rig = Rig::start(&[]);
    rig.backends.set_fault("s1", fault);
    let headers = [("Team", "m1"), ("Idempotency-Key", &*dated_id("k")), ("Deadline-Ms", "5000")];
    let got = rig.daemon.post("/v1/requests/orders", &headers, r#"{"key":"k"}"#);
    assert_eq!((got.status, got.field("status")), (503, "not run".into()), "{}", got.body);
    assert!(got.retry.is_some());
    assert_eq!(rig.backends.starts_of("k"), 0);
}

/// The backend server runs the task and never answers. The caller waits no
/// longer than its deadline and gets a failure, since the task may have run.
#[test]
fn order_unanswered() {
    let rig = Rig::start(&[]);
    assert_eq!(rig.daemon.submit_order("first", "first").status, 200);
    rig.backends.set_fault("s1", MachineFault::Unresponsive);
    let headers = [("Team", "m1"), ("Idempotency-Key", &*dated_id("k")), ("Deadline-Ms", "3000")];
    let got = rig.daemon.post("/v1/requests/orders", &headers, r#"{"key":"k"}"#);
    assert_eq!((got.status, got.field("status")), (504, "failed".into()), "{}", got.body);
    assert_eq!(rig.backends.starts_of("k"), 1);
}

/// The backend server closes idle connections that the entry host still keeps. A
/// request sent over one of them would be lost and reported as failed.
#[test]
fn order_stale_connection() {
    let rig = Rig::start(&[]);
    for at in 0..20 {
        let key = format!("k{at}");
        let got = rig.daemon.submit_order(&key, &format!(r#"{{"key":"{key}"}}"#));
        assert_eq!(got.status, 200, "{}", got.body);
        rig.backends.close_connections("s1");
        // The close must have arrived over the loopback interface.
        thread::sleep(std::time::Duration::from_millis(20));
    }
    assert_eq!(rig.backends.duplicate_starts(), Vec::new());
}

/// A caller resubmits a request whose answer it lost, and gets the answer to the
/// first submission.
#[test]
fn order_resubmitted() {
    let rig = Rig::start(&[]);
    let headers = [("Team", "m1"), ("Idempotency-Key", &*dated_id("k"))];
    let work = r#"{"key":"k"}"#;
    let first = rig.daemon.post("/v1/requests/orders", &headers, work);
    let again = rig.daemon.post("/v1/requests/orders", &headers, work);
    assert_eq!((first.status, &first.body), (again.status, &again.body));
    assert_eq!(rig.backends.starts_of("k"), 1);
    let other = rig.daemon.post("/v1/requests/orders", &headers, "other");
    assert_eq!((other.status, other.field("status")), (422, "conflict".into()));
}

#[test]
fn job_complete_and_fetched() {
    let rig = Rig::start(&[]);
    let id = dated_id("job");
    let task = |key: &str| format!(r#"{{"service":"orders","work":"{key}"}}"#);
    let body = format!(r#"{{"tasks":[{},{}]}}"#, task("one"), task("two"));
    let headers = [("Team", "m1"), ("Idempotency-Key", &*id), ("Want-Ids", "3")];
    let got = rig.daemon.post("/v1/jobs", &headers, &body);
    let results = serde_json::json!([echo("one"), echo("two")]);
    assert_eq!((got.status, got.field("results")), (200, results.clone()), "{}", got.body);
    assert_eq!(got.minted.len(), 3);
    let fetched = rig.daemon.get(&format!("/v1/submissions/{id}"));
    assert_eq!((fetched.status, fetched.field("results")), (200, results));
    // Shortly after the start, the shard of the other id may not have a home yet.
    let unknown = format!("/v1/submissions/{}", dated_id("none"));
    wait_for("a home for the id", || rig.daemon.get(&unknown).status != 503);
    assert_eq!(rig.daemon.get(&unknown).status, 404);
}

/// A caller cancels a running job. The reply must not wait for the backend, which
/// may take until the deadline.
#[test]
fn job_cancelled() {
    let rig = Rig::start(&[]);
    let id = dated_id("job");
    let body = r#"{"tasks":[{"service":"orders","work":"{\"key\":\"k\",\"ms\":15000}"}]}"#;
    thread::scope(|scope| {
        let waiting = scope.spawn(|| {
            rig.daemon.post("/v1/jobs", &[("Team", "m1"), ("Idempotency-Key", &id)], body)
        });
        wait_for("the start", || rig.backends.starts_of("k") == 1);
        let got = rig.daemon.delete(&format!("/v1/submissions/{id}"));
        assert_eq!((got.status, got.field("status")), (200, "cancelled".into()), "{}", got.body);
        let got = waiting.join().expect("caller");
        assert_eq!((got.status, got.field("status")), (409, "cancelled".into()), "{}", got.body);
    });
    assert_eq!(rig.backends.running(), 1, "the reply came before the backend's answer");
}

#[test]
fn ids_minted() {
    let rig = Rig::start(&[]);
    let got = rig.daemon.post("/v1/ids?count=2", &[], "");
    let ids: Vec<String> = serde_json::from_value(got.field("ids")).expect("ids");
    assert_eq!(ids.len(), 2);
    let headers = [("Team", "m1"), ("Idempotency-Key", &*ids[0])];
    assert_eq!(rig.daemon.post("/v1/requests/orders", &headers, "w").status, 200);
    assert_eq!(rig.daemon.post("/v1/requests/orders", &headers, "w").status, 200);
    assert_eq!(rig.backends.starts_of("w"), 1);
}

/// A backend server sends its answer without a length and closes the connection.
/// The answer may be truncated and must not be returned as complete.
#[test]
fn order_undelimited_answer() {
    let rig = Rig::start(&[]);
    let server = std::net::TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = server.local_addr().expect("address").to_string();
    let config =
        common::config(2, &rig.backends).replace(&rig.backends.address("s1").to_string(), &address);
    rig.store.put("endivestile/config", config);
    let serving = thread::spawn(move || {
        let (mut stream, _) = server.accept().expect("accept");
        let mut request = [0; 4096];
        let _ = std::io::Read::read(&mut stream, &mut request);
        let reply = b"HTTP/1.1 200 OK\r\n\r\nhalf of it";
        std::io::Write::write_all(&mut stream, reply).expect("write");
    });
    wait_for("the configuration", || rig.daemon.get("/status").field("revision") == 2);
    let got = rig.daemon.submit_order("k", "k");
    assert_eq!((got.status, got.field("status")), (502, "failed".into()), "{}", got.body);
    serving.join().expect("server");
}
