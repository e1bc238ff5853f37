//! End-to-end tests on the users' platform, as processes over real sockets: callers,
//! entry hosts, the platform's store and its workers.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

mod platform;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use endivestile_testkit::{PlatformSignal, PlatformStandIn, WorkerFault};
use test_case::test_case;

use platform::{Host, job, send, start_platform, wait_until, wait_until_serving};

#[test]
fn job_completed() {
    let platform = start_platform();
    // Entries of other writers do not describe usable workers.
    platform.write("servers/other", b"\xff\xfe");
    platform.write("servers/half", br#"{"Service":"service","State":"ready"}"#);
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let (status, body) = host.call("POST", "/jobs/00000000000000ab", &job(4, 30));
    assert_eq!((status, body["State"].as_str()), (200, Some("completed")));
    assert_eq!(host.call("GET", "/jobs/", "").1["Pending"], 0);
    assert_eq!(host.call("GET", "/jobs/00000000000000ab", "").0, 410);
    assert_eq!(host.call("GET", "/readiness", "").0, 200);
    assert_eq!(platform.breaches(), Vec::<String>::new());
    wait_until("the metrics page counts the job", || {
        let text = metrics_page(&host);
        text.contains("endivestile_job_done_us_count") && !text.contains("endivestile_jobs_done 0")
    });
}

/// A host at rest wakes up for its ticks, every 60 ms, and for the replies of its workers, each up
/// to seven times a second. A wake-up time that stays in the past would make its event loop spin.
#[test]
fn event_loop_rests() {
    const MAX_BATCHES_PER_S: u64 = 200;
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    assert_eq!(host.call("POST", "/jobs/00000000000000ab", &job(4, 30)).0, 200);
    let figure = |name: &str| -> u64 {
        let page = metrics_page(&host);
        let line = page.lines().find_map(|line| line.strip_prefix(name));
        line.and_then(|value| value.trim().parse().ok()).expect("a figure")
    };
    let before = figure("endivestile_engine_batches ");
    std::thread::sleep(std::time::Duration::from_secs(2));
    let batches = figure("endivestile_engine_batches ") - before;
    assert!((10..2 * MAX_BATCHES_PER_S).contains(&batches), "{batches} batches in 2 s");
    assert!(figure("endivestile_engine_us ") > 0);
    assert!(figure("endivestile_cpu_ms ") > 0);
}

/// Returns the metrics page of a host.
fn metrics_page(host: &Host) -> String {
    let mut text = String::new();
    send(&host.page, "GET", "/metrics", "").read_to_string(&mut text).unwrap();
    text
}

#[test_case("POST", "/other/00000000000000ab", r#"{"Steps":[{"Count":1}]}"#, 404; "no_route")]
#[test_case("POST", "/jobs/short", r#"{"Steps":[{"Count":1}]}"#, 400; "id_not_hex")]
#[test_case("POST", "/jobs/00000000000000ab", "{", 400; "body_unreadable")]
#[test_case("POST", "/jobs/00000000000000ab", r#"{"BestEffort":true,"Steps":[]}"#, 400; "no_steps")]
#[test_case("POST", "/jobs/00000000000000ab", r#"{"BestEffort":true,"Steps":[{"Count":0}]}"#, 400; "count_zero")]
#[test_case("POST", "/jobs/00000000000000ab", r#"{"BestEffort":true,"Steps":[{"Count":99999}]}"#, 400; "count_huge")]
#[test_case("POST", "/jobs/00000000000000ab", r#"{"BestEffort":true,"Steps":[{"Count":1,"After":[0]}]}"#, 400; "after_itself")]
#[test_case("POST", "/jobs/00000000000000ab", r#"{"BestEffort":true,"Steps":[{"Count":1,"Cpu":99000}]}"#, 422; "fits_no_worker")]
#[test_case("POST", "/jobs/00000000000000ab", r#"{"Steps":[{"Count":1}]}"#, 503; "must_be_kept")]
fn job_refused(method: &str, path: &str, body: &str, status: u16) {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let before = platform.starts();
    assert_eq!(host.call(method, path, body).0, status);
    assert_eq!(platform.starts(), before);
}

#[test]
fn job_body_too_long() {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let body = format!("{{\"Spec\":\"{}\"}}", "x".repeat(5_000));
    assert_eq!(host.call("POST", "/jobs/00000000000000ab", &body).0, 413);
}

/// A host starts before the operator has written any configuration. It cannot know
/// yet which routes exist: a 404 would mean to the caller that its queue is gone, so
/// the response is 503.
#[test]
fn config_missing_returns_503() {
    let platform = PlatformStandIn::start(&["a"], 1);
    let host = Host::start(&platform, "a1", "a");
    assert_eq!(host.call("POST", "/jobs/00000000000000ab", &job(1, 1)).0, 503);
    assert_eq!(host.call("GET", "/readiness", "").0, 503);
    platform.configure(1);
    wait_until_serving(&host);
}

/// A caller closes its connection while its job runs. Unless its tasks are stopped,
/// unwanted work would use the capacity of other jobs until it ends.
#[test]
fn disconnect_stops_tasks() {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let stream = send(&host.http, "POST", "/jobs/00000000000000ab", &job(2, 60_000));
    wait_until("both tasks run", || platform.running() == 2);
    drop(stream);
    wait_until("nothing runs", || platform.running() == 0);
    wait_until_serving(&host);
}

/// A worker stops responding while jobs are sent. Its lease expires and its tasks run
/// elsewhere; callers wait longer and get complete answers.
#[test]
fn worker_unresponsive_job_completed() {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    platform.set_fault("a-w1", WorkerFault::Unresponsive);
    for id in 0..4 {
        let (status, _) = host.call("POST", &format!("/jobs/00000000000001a{id}"), &job(2, 20));
        assert_eq!(status, 200);
    }
    assert_eq!(platform.breaches(), Vec::<String>::new());
}

/// Operators evacuate a zone while its host serves. Its jobs have to run in the other zone,
/// and in the zone again once the evacuation ends; an unreadable value evacuates as well.
#[test]
fn zone_evacuated_other_zone_serves() {
    let platform = PlatformStandIn::start(&["a", "b"], 2);
    platform.configure(1);
    let hosts = [Host::start(&platform, "a1", "a"), Host::start(&platform, "b1", "b")];
    hosts.iter().for_each(wait_until_serving);
    let starts_in_a = || {
        let starts = platform.starts();
        starts.iter().filter(|(id, _)| id.starts_with("a-")).map(|(_, count)| count).sum::<u64>()
    };
    platform.write("op/evacuate/a", b"\xff");
    wait_until("the evacuation has started", || hosts[0].logged("event=evacuation_started") > 0);
    let before = starts_in_a();
    assert!(before > 0);
    for id in 0..8 {
        let (status, _) = hosts[0].call("POST", &format!("/jobs/00000000000001e{id}"), &job(2, 5));
        assert_eq!(status, 200);
    }
    assert_eq!(starts_in_a(), before);
    wait_until("the metrics page shows the evacuation", || {
        metrics_page(&hosts[0]).contains("endivestile_zones_evacuated 1")
    });
    platform.set_evacuated("a", false);
    wait_until("the evacuation has ended", || hosts[0].logged("event=evacuation_ended") > 0);
    let (status, _) = hosts[0].call("POST", "/jobs/00000000000001f0", &job(2, 5));
    assert_eq!(status, 200);
    assert!(starts_in_a() > before);
    assert_eq!(platform.breaches(), Vec::<String>::new());
}

/// Starts two hosts of a zone. Returns the one that owns its workers, and the other.
fn start_owner_and_other(platform: &PlatformStandIn) -> (Host, Host) {
    let hosts = ["a1", "a2"].map(|name| Host::start(platform, name, "a"));
    hosts.iter().for_each(wait_until_serving);
    let [first, second] = hosts;
    if first.logged("event=owner_change_ended") > 0 { (first, second) } else { (second, first) }
}

/// The owner of the workers is killed while its callers' jobs run. The other host takes
/// over the workers, stops their tasks and serves: callers that retry wait for about a
/// second, and no task runs twice at the same time.
#[test]
fn owner_killed_other_serves() {
    let platform = start_platform();
    let (killed, other) = start_owner_and_other(&platform);
    let _open = send(&killed.http, "POST", "/jobs/00000000000000ab", &job(2, 60_000));
    wait_until("both tasks run", || platform.running() == 2);
    drop(killed);
    wait_until_serving(&other);
    let (status, _) = other.call("POST", "/jobs/00000000000000ab", &job(2, 20));
    assert_eq!((status, platform.breaches()), (200, Vec::new()));
}

/// Kills the owner, and checks that the other host serves without raising `starts`.
fn assert_none_started(killed: Host, other: &Host, starts: impl Fn() -> u64) {
    drop(killed);
    let before = starts();
    wait_until_serving(other);
    for id in 0..4 {
        let path = format!("/jobs/00000000000001a{id}");
        assert_eq!(other.call("POST", &path, &job(2, 20)).0, 200);
    }
    assert_eq!(starts(), before);
}

/// A worker registers as leaving shortly before its owner is killed. The successor has read
/// the list before that and must not start tasks there because of the stale entry.
#[test]
fn owner_killed_leaving_worker_unused() {
    let platform = start_platform();
    let (killed, other) = start_owner_and_other(&platform);
    // The other host has just handled a change when the next one arrives.
    platform.set_leaving("a-w1", true);
    platform.set_leaving("a-w1", false);
    wait_until("the change has been handled", || {
        killed.call("POST", "/jobs/00000000000000ab", &job(1, 1)).0 == 200
    });
    platform.set_leaving("a-w1", true);
    let starts = || platform.starts().iter().find(|(id, _)| id == "a-w1").map_or(0, |(_, n)| *n);
    assert_none_started(killed, &other, starts);
}

/// Every heartbeat of a large fleet changes the list of workers, so a host without workers
/// reads it rarely. When it takes over workers it must not start tasks by its stale list:
/// meanwhile a worker may have registered as leaving.
#[test]
fn owner_killed_changing_list_reloaded() {
    let platform = PlatformStandIn::start(&["a", "b", "c"], 24);
    platform.configure(1);
    let (killed, other) = start_owner_and_other(&platform);
    let ids: Vec<String> = platform.worker_addresses().into_iter().map(|(id, _)| id).collect();
    for _ in 0..15 {
        ids.iter().for_each(|id| platform.set_leaving(id, false));
        thread::sleep(Duration::from_millis(200));
    }
    let leaving: Vec<&String> = ids.iter().filter(|id| *id != "a-w24").collect();
    leaving.iter().for_each(|id| platform.set_leaving(id, true));
    let starts = || {
        let starts = platform.starts().into_iter().filter(|(id, _)| id != "a-w24");
        starts.map(|(_, count)| count).sum::<u64>()
    };
    assert_none_started(killed, &other, starts);
}

/// A host receives the stop signal while a caller's job runs. The caller gets its
/// complete answer before the process ends by itself.
#[test]
fn stop_answers_open_calls() {
    let platform = start_platform();
    let mut host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let mut open = send(&host.http, "POST", "/jobs/00000000000000ab", &job(2, 700));
    wait_until("both tasks run", || platform.running() == 2);
    host.process.signal(PlatformSignal::Stop);
    let mut text = String::new();
    open.read_to_string(&mut text).unwrap();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
    assert!(host.process.wait_exit(30).unwrap().success());
}

/// The store refuses every call for a while. The owner of the workers continues under
/// its fencing token, and callers are not affected.
#[test]
fn store_busy_keeps_serving() {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    platform.set_refusing(true);
    wait_until("the host notices", || host.logged("event=store_down") > 0);
    assert_eq!(host.call("POST", "/jobs/00000000000000ab", &job(4, 20)).0, 200);
    platform.set_refusing(false);
    wait_until("the host notices", || host.logged("event=store_up") > 1);
}

/// The settings file changes without a signal. The host has to notice, or it would
/// continue with values that the platform has withdrawn.
#[test]
fn reload_on_file_change() {
    let platform = start_platform();
    let path = std::env::temp_dir().join(format!("endivestile-{}.ini", std::process::id()));
    let settings = |grace: u32| format!("[platform]\ngrace-s = {grace}\n");
    std::fs::write(&path, settings(6)).unwrap();
    let config = ["--config".into(), path.clone().into()];
    let host = Host::start_with(&platform, "a1", "a", &config);
    wait_until_serving(&host);
    std::fs::write(&path, settings(7)).unwrap();
    wait_until("the host reads its settings", || host.logged("event=reload outcome=applied") > 0);
    std::fs::write(&path, "[platform]\ngrace-s = soon\n").unwrap();
    wait_until("the host refuses the settings", || host.logged("event=reload outcome=refused") > 0);
    assert_eq!(host.call("POST", "/jobs/00000000000000ab", &job(1, 1)).0, 200);
    std::fs::remove_file(&path).unwrap();
}

/// The host receives the signal to reload its settings.
#[test]
fn reload_on_signal() {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    host.process.signal(PlatformSignal::Reload);
    wait_until("the host reads its settings", || host.logged("event=reload outcome=applied") > 0);
    assert_eq!(host.call("POST", "/jobs/00000000000000ab", &job(1, 1)).0, 200);
}

/// A caller sends part of a request head and then nothing more. It gets a 408 after the
/// configured timeout for heads; otherwise it would hold a connection for the much longer
/// idle timeout, and get no response.
#[test_case(""; "first_request")]
#[test_case("GET /readiness HTTP/1.1\r\nHost: jobs.example\r\n\r\n"; "later_request")]
fn head_incomplete_gets_408(before: &str) {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let mut stream = TcpStream::connect(&host.http).unwrap();
    stream.write_all(before.as_bytes()).unwrap();
    let mut lines = BufReader::new(stream.try_clone().unwrap()).lines();
    if !before.is_empty() {
        assert!(lines.next().unwrap().unwrap().contains("200"));
        lines.by_ref().map(Result::unwrap).find(String::is_empty).unwrap();
    }
    stream.write_all(b"POST /jobs/00000000000000ab HTTP/1.1\r\nHost: jo").unwrap();
    let rest: Vec<String> = lines.map(Result::unwrap).collect();
    assert!(rest.iter().any(|line| line.ends_with("HTTP/1.1 408 Request Timeout")), "{rest:?}");
}

/// A connection is idle between two requests for longer than a head may take. It has to
/// stay open, or the next request could be lost.
#[test]
fn connection_idle_between_requests() {
    let platform = start_platform();
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let mut stream = TcpStream::connect(&host.http).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    for _ in 0..2 {
        stream.write_all(b"GET /readiness HTTP/1.1\r\nHost: jobs.example\r\n\r\n").unwrap();
        let mut line = String::new();
        while line != "\r\n" {
            line.clear();
            assert!(reader.read_line(&mut line).unwrap() > 0, "the connection was closed");
        }
        thread::sleep(Duration::from_millis(1_300));
    }
}
