//! A planned stop of a process does not abort any request.

mod common;

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use common::{Rig, wait_for};
use endivestile_testkit::{MachineFault, echo};

/// An operator stops an entry host under load. Each accepted call gets its complete
/// answer, and each later one gets "not run"; a caller whose connection was closed
/// instead could not know whether its task ran.
#[test]
fn stop_under_load() {
    let mut rig = Rig::start(&[]);
    let (done, refused) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let stopping = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..16 {
            let (rig, done, refused, stopping) = (&rig, &done, &refused, &stopping);
            scope.spawn(move || {
                for at in 0.. {
                    let key = format!("c{caller}-{at}");
                    let work = format!(r#"{{"key":"{key}","ms":40}}"#);
                    let got = rig.daemon.submit_order(&key, &work);
                    match got.status {
                        200 => {
                            assert_eq!(got.body, echo(&work));
                            done.fetch_add(1, Ordering::Relaxed);
                        }
                        503 => {
                            assert_eq!(got.field("status"), "not run", "{}", got.body);
                            assert_eq!(rig.backends.starts_of(&key), 0);
                            refused.fetch_add(1, Ordering::Relaxed);
                            assert!(stopping.load(Ordering::Relaxed), "{}", got.body);
                            return;
                        }
                        status => panic!("{key}: status {status}, {}", got.body),
                    }
                }
            });
        }
        wait_for("answers", || done.load(Ordering::Relaxed) > 100);
        stopping.store(true, Ordering::Relaxed);
        rig.daemon.signal("TERM");
    });
    assert_eq!(refused.load(Ordering::Relaxed), 16);
    assert_eq!(rig.backends.duplicate_starts(), Vec::new());
    assert_eq!(rig.daemon.wait_exit(), Some(0));
}

/// The host is stopped while a long task runs. The process waits for it, and
/// meanwhile reports to the balancer that it accepts no new work.
#[test]
fn stop_during_long_task() {
    let mut rig = Rig::start(&[]);
    thread::scope(|scope| {
        let daemon = &rig.daemon;
        let waiting = scope.spawn(|| daemon.submit_order("k", r#"{"key":"k","ms":2000}"#));
        wait_for("the start", || rig.backends.starts_of("k") == 1);
        daemon.signal("TERM");
        wait_for("the host to be not ready", || daemon.get("/ready").status == 503);
        assert_eq!(daemon.get("/health").status, 200);
        let got = waiting.join().expect("caller");
        assert_eq!((got.status, got.body), (200, echo(r#"{"key":"k","ms":2000}"#)));
    });
    assert_eq!(rig.daemon.wait_exit(), Some(0));
    let hosts = rig.store.list("endivestile/hosts/");
    assert_eq!(hosts, Vec::new(), "the registration ended with the process");
}

/// A backend never answers. A second signal ends the process, which logs the number
/// of calls that are still open.
#[test]
fn stop_twice() {
    let mut rig = Rig::start(&[]);
    rig.backends.set_fault("s1", MachineFault::Unresponsive);
    thread::scope(|scope| {
        let daemon = &rig.daemon;
        scope.spawn(|| daemon.submit_order("k", r#"{"key":"k"}"#));
        wait_for("the start", || rig.backends.starts_of("k") == 1);
        daemon.signal("TERM");
        daemon.wait_line("event=stopping");
        daemon.signal("INT");
        daemon.wait_line("event=left cause=second_signal open_calls=1 backend_calls=1");
    });
    assert_eq!(rig.daemon.wait_exit(), Some(3));
}

/// The shutdown limit is shorter than the time for which a draining host serves the
/// calls that still arrive. The process exits all the same and logs the reason.
#[test]
fn stop_limit() {
    let mut rig = Rig::start(&[
        "stop.limit-s=1",
        "calls.max-deadline-ms=1000",
        "calls.default-deadline-ms=1000",
    ]);
    rig.daemon.signal("TERM");
    rig.daemon.wait_line("event=left cause=stop_limit");
    assert_eq!(rig.daemon.wait_exit(), Some(3));
}

/// The host is stopped while the store is down. The process cannot end its
/// registration, and must not wait for that.
#[test]
fn stop_store_down() {
    let mut rig = Rig::start(&[]);
    assert_eq!(rig.daemon.submit_order("k", "k").status, 200);
    rig.store.take_down();
    thread::sleep(Duration::from_millis(100));
    rig.daemon.signal("TERM");
    assert_eq!(rig.daemon.wait_exit(), Some(0));
}
