//! Crowds of clients that stay inside every limit of a request and together exceed the machine:
//! the process lives, keeps to its memory and descriptors, and answers an ordinary request.
//!
//! The tests run one at a time, and cargo runs no other test file beside this one.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

mod common;
mod crowd;
mod platform;

use std::any::Any;
use std::net::TcpListener;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::process::Command;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;

use endivestile_testkit::{
    Crowd, DaemonCommand, Payload, PlatformHost, PlatformStandIn, open_files, peak_mb,
};
use serde_json::json;
use test_case::test_case;

use common::Rig;
use crowd::{
    MACHINE_FILES, MACHINE_MB, RESERVED_FILES, own_head, own_request, platform_head, run_alone,
    small_machine, status,
};
use platform::{job, wait_until};

/// Body limit of the configuration that the crowds keep to, in bytes.
const BODY_LIMIT: usize = 2 << 20;
/// Body limit of the product's own interface by default, in bytes.
const OWN_BODY_LIMIT: usize = 4 << 20;
/// What the stand-in for a backend server adds to the work in its answer at most, in bytes. A
/// longer answer than the limit would count against the backend server.
const ECHO_BYTES: usize = 1_024;
/// Length of a head without an end, in bytes.
const HEAD_BYTES: usize = 400_000;
/// Descriptors that a process may have more after a crowd than before it.
const SPARE_FILES: usize = 16;

/// A process under test, with its addresses.
struct Subject {
    pid: u32,
    callers: String,
    ready: String,
    page: String,
    links: String,
    ordinary: String,
    /// What the process and its stand-ins end with.
    _running: Box<dyn Any>,
}

/// Returns an address that was free a moment ago.
fn free_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Starts a host on the users' platform on a small machine.
fn start_platform_host() -> Subject {
    let platform = PlatformStandIn::start(&["a"], 2);
    let config = json!({
        "Version": 1,
        "Routes": [{
            "Name": "jobs", "Host": "jobs.example", "Prefix": "/jobs/", "Kind": "unsafe",
            "TimeoutMs": 30000, "TargetCompletionMs": 60, "Priority": 0,
            "Service": "service", "MaxAttempts": 2, "Stretch": 1.6,
        }],
        "Services": [{"Name": "service", "MaxConnections": 64}],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": BODY_LIMIT,
            "HeaderTimeoutMs": 60000, "IdleTimeoutMs": 60000,
        },
    });
    platform.write("op/config", config.to_string().as_bytes());
    let args = ["-c".into(), small_machine().into(), env!("CARGO_BIN_EXE_endivestile").into()];
    let daemon = DaemonCommand { program: "sh".into(), args: args.to_vec() };
    let ready = free_address();
    let settings = [format!("platform.ready={ready}")];
    let host =
        PlatformHost::start(&daemon, platform.store_address(), "a1", "a", &settings).unwrap();
    wait_until("the host listens", || host.http_address().is_some());
    let callers = host.http_address().unwrap().to_string();
    let body = job(1, 1);
    let ordinary = format!(
        "POST /jobs/00000000000000aa HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 20000\r\n\
         Request-Id: r1\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    wait_until("a job is served", || status(&callers, &ordinary) == 200);
    Subject {
        pid: host.pid(),
        callers,
        ready,
        page: host.metrics_address().unwrap().to_string(),
        links: host.link_address().unwrap().to_string(),
        ordinary,
        _running: Box::new((host, platform)),
    }
}

/// Starts a host with the product's own interface on a small machine.
fn start_own_host() -> Subject {
    let mut command = Command::new("sh");
    command.args(["-c", &small_machine(), env!("CARGO_BIN_EXE_endivestile")]);
    let rig = Rig::start_by(command, &[]);
    let work = "x".repeat(2_000);
    let ordinary = format!(
        "POST /v1/requests/orders HTTP/1.1\r\nHost: e1\r\nTeam: m1\r\nIdempotent: true\r\n\
         Connection: close\r\nContent-Length: {}\r\n\r\n{work}",
        work.len()
    );
    let callers = rig.daemon.http.clone();
    wait_until("a request is served", || status(&callers, &ordinary) == 200);
    Subject {
        pid: rig.daemon.pid(),
        callers,
        ready: String::new(),
        page: String::new(),
        links: rig.daemon.peers.clone(),
        ordinary,
        _running: Box::new(rig),
    }
}

impl Subject {
    /// Asserts that the process lives, keeps to the machine and answers an ordinary request.
    fn assert_serves(&self, when: &str) {
        let answer = status(&self.callers, &self.ordinary);
        let peak = peak_mb(self.pid);
        let files = open_files(self.pid);
        let seen = format!("{when}: peak {peak:?} MB, {files:?} descriptors, answer {answer}");
        assert!(peak.is_some_and(|peak| peak <= MACHINE_MB), "{seen}");
        assert!(files.is_some_and(|files| files <= MACHINE_FILES - RESERVED_FILES), "{seen}");
        assert_eq!(answer, 200, "{seen}");
    }

    /// Sends a crowd, and checks the process while it stays and after it has gone.
    fn assert_bears(&self, address: &str, connections: usize, payload: Payload, reads: bool) {
        let files = open_files(self.pid).unwrap();
        let crowd = Crowd::send(address.parse().unwrap(), connections, payload, reads);
        self.assert_serves("beside the crowd");
        drop(crowd);
        wait_until("descriptors are released", || {
            open_files(self.pid).is_none_or(|now| now <= files + SPARE_FILES)
        });
        self.assert_serves("after the crowd");
    }
}

/// Bodies, heads or answers of many callers of the users' platform together exceed the memory of
/// the machine, and the process ends.
#[test_case(80, &Payload::sized(platform_head, BODY_LIMIT, 0); "whole")]
#[test_case(80, &Payload::sized(platform_head, BODY_LIMIT, 1); "short")]
#[test_case(80, &Payload::one_chunk(platform_head, BODY_LIMIT); "chunk")]
#[test_case(80, &Payload::tiny_chunks(platform_head, 60_000); "tiny_chunks")]
#[test_case(8, &Payload::empty_objects(platform_head, "Steps", BODY_LIMIT); "empty_objects")]
#[test_case(80, &Payload::endless_head(HEAD_BYTES); "head")]
#[test_case(80, &Payload::pipelined("GET /readiness HTTP/1.1\r\nHost: a\r\n\r\n", 40_000); "unread")]
fn crowd_platform(connections: usize, payload: &Payload) {
    let _alone = run_alone();
    let subject = start_platform_host();
    subject.assert_bears(&subject.callers, connections, payload.clone(), false);
}

/// Heads without an end, or answers that are not read, of many clients of the metrics page exceed
/// the memory of the machine, and the process ends.
#[test_case(400, &Payload::endless_head(HEAD_BYTES); "head")]
#[test_case(80, &Payload::pipelined("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 4_000); "unread")]
fn crowd_page(connections: usize, payload: &Payload) {
    let _alone = run_alone();
    let subject = start_platform_host();
    subject.assert_bears(&subject.page, connections, payload.clone(), false);
}

/// Bodies, heads or answers of many callers of the product's own interface together exceed the
/// memory of the machine or take all threads, and no other caller is answered.
#[test_case(80, &Payload::sized(own_request, OWN_BODY_LIMIT - ECHO_BYTES, 0); "whole")]
#[test_case(80, &Payload::sized(own_request, OWN_BODY_LIMIT, 1); "short")]
#[test_case(160, &Payload::sized(own_request, 5_000, 1); "short_small")]
#[test_case(80, &Payload::one_chunk(own_request, OWN_BODY_LIMIT); "chunk")]
#[test_case(80, &Payload::tiny_chunks(own_request, 60_000); "tiny_chunks")]
#[test_case(32, &Payload::empty_objects(|framing| own_head("/v1/jobs", framing).replace("Idempotent: true", "Idempotency-Key: 9:k"), "tasks", OWN_BODY_LIMIT); "empty_objects")]
#[test_case(80, &Payload::endless_headers(HEAD_BYTES * 5); "head")]
#[test_case(80, &Payload::pipelined("GET /status HTTP/1.1\r\nHost: e1\r\n\r\n", 4_000); "unread")]
fn crowd_own(connections: usize, payload: &Payload) {
    let _alone = run_alone();
    let subject = start_own_host();
    subject.assert_bears(&subject.callers, connections, payload.clone(), false);
}

/// Frames of many peers that do not end together exceed the memory of the machine, and the process
/// ends.
#[test_case(start_platform_host; "platform")]
#[test_case(start_own_host; "own")]
fn crowd_links(start: fn() -> Subject) {
    let _alone = run_alone();
    let subject = start();
    subject.assert_bears(&subject.links, 80, Payload::partial_frame(BODY_LIMIT), true);
}

/// Connections that send next to nothing take all descriptors of the process, and neither a
/// caller nor the host's own calls get one.
#[test_case(start_platform_host, |subject| &subject.callers; "callers")]
#[test_case(start_platform_host, |subject| &subject.ready; "ready")]
#[test_case(start_platform_host, |subject| &subject.page; "page")]
#[test_case(start_platform_host, |subject| &subject.links; "links")]
#[test_case(start_own_host, |subject| &subject.callers; "own_callers")]
#[test_case(start_own_host, |subject| &subject.links; "own_links")]
fn crowd_connections(start: fn() -> Subject, address: fn(&Subject) -> &String) {
    let _alone = run_alone();
    let subject = start();
    subject.assert_bears(address(&subject), 600, Payload::first_bytes(), false);
}

/// The clients of a crowd connect again as soon as they have sent all. Others that wait for a place
/// must still get one.
#[test_case(start_platform_host, &Payload::sized(platform_head, BODY_LIMIT, 1); "platform")]
#[test_case(start_own_host, &Payload::sized(own_request, OWN_BODY_LIMIT, 1); "own")]
fn crowd_returning(start: fn() -> Subject, payload: &Payload) {
    let _alone = run_alone();
    let subject = start();
    let address = subject.callers.parse().unwrap();
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| {
            while !ended.load(Ordering::Relaxed) {
                drop(Crowd::send(address, 160, payload.clone(), false));
            }
        });
        let served = catch_unwind(AssertUnwindSafe(|| {
            for _ in 0..5 {
                subject.assert_serves("beside the crowd");
            }
        }));
        ended.store(true, Ordering::Relaxed);
        served.unwrap();
    });
    subject.assert_serves("after the crowd");
}

/// A host is stopped beside a crowd that stays. It ends by itself, within the grace period of its
/// platform or the limit of its settings.
#[test_case(start_platform_host, &Payload::sized(platform_head, BODY_LIMIT, 1); "platform")]
#[test_case(start_own_host, &Payload::sized(own_request, 5_000, 1); "own")]
fn crowd_stop(start: fn() -> Subject, payload: &Payload) {
    let _alone = run_alone();
    let subject = start();
    let _crowd = Crowd::send(subject.callers.parse().unwrap(), 40, payload.clone(), false);
    let stopped = Command::new("sh").args(["-c", &format!("kill -TERM {}", subject.pid)]).status();
    assert!(stopped.unwrap().success());
    wait_until("the host has ended", || open_files(subject.pid).is_none_or(|files| files == 0));
}
