//! Finds the cause of a failed request from its id, by logs and metrics only, as
//! described in `docs/OPERATIONS.md`.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

mod platform;

use std::io::Read;
use std::thread;

use endivestile_testkit::{PlatformStandIn, WorkerFault};

use platform::{Host, job, send, wait_until, wait_until_serving};

/// Waits for an event of a job in a host's log, and returns its latest line.
fn latest_line(host: &Host, event: &str, id: &str) -> String {
    let part = format!("event={event} id={id}");
    let found = || host.process.log().into_iter().rev().find(|line| line.contains(&part));
    wait_until(&part, || found().is_some());
    found().unwrap()
}

/// Returns the value of a key in a log line.
fn value<'a>(line: &'a str, key: &str) -> &'a str {
    line.split(' ').find_map(|word| word.strip_prefix(key)).unwrap_or("")
}

fn metrics_page(host: &Host) -> String {
    let mut text = String::new();
    send(&host.page, "GET", "/metrics", "").read_to_string(&mut text).unwrap();
    text
}

/// The workers are busy for longer than a caller waits, and its job is refused.
/// The caller's host logs the owner; the owner logs that nothing had started
/// and how long the job waited; the metrics count a refusal.
#[test]
fn failure_refused_under_load() {
    let platform = PlatformStandIn::start(&["a"], 1);
    platform.configure(1);
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    let _blocking = send(&host.http, "POST", "/jobs/00000000000000b0", &job(2, 60_000));
    wait_until("the worker is full", || platform.running() == 2);
    let id = "00000000000000b1";
    let (status, _) = host.call("POST", &format!("/jobs/{id}"), &job(8, 500));
    assert_eq!(status, 429);
    let sent = latest_line(&host, "job_sent", id);
    assert_eq!((value(&sent, "request="), value(&sent, "route=")), ("r1", "jobs"));
    assert!(value(&sent, "placer=").starts_with("a1:"), "{sent}");
    let placed = latest_line(&host, "placed_job_ended", id);
    assert_eq!(
        (value(&placed, "end="), value(&placed, "reason="), value(&placed, "started=")),
        ("not_run", "overload", "false")
    );
    assert!(value(&placed, "waited_ms=").parse::<u64>().is_ok(), "{placed}");
    let answered = latest_line(&host, "job_answered", id);
    assert_eq!(value(&answered, "reason="), "overload");
    assert!(metrics_page(&host).lines().any(|line| line.starts_with("endivestile_jobs_refused 1")));
}

/// A worker makes no progress with its tasks, and the job is run elsewhere. The
/// owner's log lines with the job's id name that worker.
#[test]
fn failure_worker_hangs() {
    let platform = PlatformStandIn::start(&["a"], 2);
    platform.configure(1);
    let host = Host::start(&platform, "a1", "a");
    wait_until_serving(&host);
    platform.set_fault("a-w1", WorkerFault::Hangs);
    let id = "00000000000000b2";
    let (status, _) = host.call("POST", &format!("/jobs/{id}"), &job(4, 100));
    assert_eq!(status, 200);
    let stalled = latest_line(&host, "run_stalled", id);
    assert_eq!(value(&stalled, "worker="), "a-w1");
    assert!(value(&stalled, "slower=").parse::<f64>().unwrap() > 1.0, "{stalled}");
}

/// The owner that schedules a job is killed. The caller's host logs the loss,
/// the new owner of the workers, and how the job ended.
#[test]
fn failure_placer_lost() {
    let platform = platform::start_platform();
    let mut hosts = vec![Host::start(&platform, "a1", "a"), Host::start(&platform, "a2", "a")];
    hosts.iter().for_each(wait_until_serving);
    let owner = |host: &Host| host.logged("event=owner_change_ended") > 0;
    let killed = hosts.remove(hosts.iter().position(owner).unwrap());
    let id = "00000000000000b3";
    let (http, path) = (hosts[0].http.clone(), format!("/jobs/{id}"));
    let caller = thread::spawn(move || platform::call(&http, "POST", &path, &job(2, 900)));
    wait_until("both tasks run", || platform.running() == 2);
    drop(killed);
    assert_eq!(caller.join().unwrap().0, 200);
    let lost = latest_line(&hosts[0], "placer_lost", id);
    assert_ne!(value(&lost, "placer="), "");
    assert!(hosts[0].process.log_value("event=owner_known", "token=").is_some());
    assert_eq!(value(&latest_line(&hosts[0], "job_answered", id), "tries="), "2");
}
