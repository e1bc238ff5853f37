//! The platform's store as the daemon uses it: configuration, registration, outages.

mod common;

use std::time::Duration;

use common::{Daemon, Rig, config, wait_for};
use endivestile_testkit::{BackendStandIn, MachineSpec, StoreStandIn};

const HOST: &str = "endivestile/hosts/e1";

/// Returns the revision of the configuration in force.
fn revision(daemon: &Daemon) -> u64 {
    let body: serde_json::Value = serde_json::from_str(&daemon.get("/status").body).expect("json");
    body["revision"].as_u64().unwrap_or(0)
}

#[test]
fn config_later_revision() {
    let rig = Rig::start(&[]);
    assert_eq!(revision(&rig.daemon), 1);
    rig.store.put("endivestile/config", config(2, &rig.backends));
    wait_for("revision 2", || revision(&rig.daemon) == 2);
}

/// Values are written without the operators' tools: an invalid text, or an older
/// revision. The host keeps the configuration in force and logs the reason.
#[test]
fn config_invalid_value() {
    let rig = Rig::start(&[]);
    rig.store.put("endivestile/config", config(3, &rig.backends));
    wait_for("revision 3", || revision(&rig.daemon) == 3);
    rig.store.put("endivestile/config", "[nonsense]\nkey=1\n");
    rig.daemon.wait_line("event=config_refused origin=store");
    rig.store.put("endivestile/config", config(2, &rig.backends));
    rig.store.delete("endivestile/config");
    rig.daemon.wait_line("event=config_deleted");
    assert_eq!(revision(&rig.daemon), 3);
    assert_eq!(rig.daemon.submit_order("k", "k").status, 200);
}

/// Another number of shards is written without the operators' tools. Hosts that
/// adopted it would route a caller's own id to another home, which starts it again.
#[test]
fn config_other_shards() {
    let rig = Rig::start(&[]);
    let other = format!("{}[rules]\nshards=128\n", config(2, &rig.backends));
    rig.store.put("endivestile/config", other);
    rig.daemon.wait_line("event=config_refused origin=store");
    assert_eq!(revision(&rig.daemon), 1);
    rig.store.put("endivestile/config", config(3, &rig.backends));
    wait_for("revision 3", || revision(&rig.daemon) == 3);
}

/// The host starts before there is a configuration. It is alive, but the
/// balancer must not send it work yet.
#[test]
fn config_missing() {
    let store = StoreStandIn::start().expect("store");
    let backends = BackendStandIn::start(vec![MachineSpec::new("s1")]).expect("backend servers");
    let daemon = Daemon::start(&store, "e1", &[]);
    daemon.wait_line("event=store_up");
    assert_eq!(daemon.get("/health").status, 200);
    assert_eq!(daemon.get("/ready").status, 503);
    // A submission with an id may have been started by another host.
    let got = daemon.submit_order("k", "k");
    assert_eq!((got.status, got.field("status")), (503, "unknown".into()), "{}", got.body);
    let headers = [("Team", "m1"), ("Idempotent", "true")];
    let got = daemon.post("/v1/requests/orders", &headers, "k");
    assert_eq!((got.status, got.field("status")), (503, "not run".into()), "{}", got.body);
    store.put("endivestile/config", config(1, &backends));
    daemon.wait_ready();
}

/// The store is down. The configuration read before stays in force and requests are
/// served; a change made meanwhile is adopted when the store is back.
#[test]
fn store_down_and_up() {
    let rig = Rig::start(&[]);
    assert_eq!(rig.daemon.submit_order("before", "before").status, 200);
    rig.store.take_down();
    rig.daemon.wait_line("event=store_down");
    assert_eq!(rig.daemon.submit_order("during", "during").status, 200);
    rig.store.put("endivestile/config", config(2, &rig.backends));
    rig.store.bring_up();
    wait_for("revision 2", || revision(&rig.daemon) == 2);
    assert_eq!(rig.daemon.submit_order("after", "after").status, 200);
}

/// An operator withdraws a planned stop while the host cannot reach the store. No
/// event reports the deleted key afterwards; a host that only followed changes would
/// exclude the backend server forever.
#[test]
fn stop_withdrawn_during_outage() {
    let rig = Rig::start(&[]);
    let headers = [("Team", "m1"), ("Idempotent", "true"), ("Deadline-Ms", "2000")];
    let status = || rig.daemon.post("/v1/requests/orders", &headers, "k").status;
    wait_for("an answer", || status() == 200);
    rig.store.put("endivestile/stops/s1", "{}");
    wait_for("the stop", || status() == 503);
    rig.store.take_down();
    rig.daemon.wait_line("event=store_down");
    rig.store.delete("endivestile/stops/s1");
    rig.store.bring_up();
    wait_for("an answer again", || status() == 200);
}

/// The store hangs without closing connections. No change arrives, and only the
/// unanswered lease renewals reveal the outage.
#[test]
fn store_hangs() {
    let rig = Rig::start(&["store.lease-s=2"]);
    rig.store.hang_calls();
    rig.daemon.wait_line("event=store_down");
    rig.store.put("endivestile/config", config(2, &rig.backends));
    rig.store.bring_up();
    wait_for("revision 2", || revision(&rig.daemon) == 2);
}

/// The lease expires while the process is paused, and its registration with it. The
/// host must register again, or peers would never find it.
#[test]
fn registration_after_lease_expiry() {
    let rig = Rig::start(&["store.lease-s=2"]);
    wait_for("registration", || rig.store.get(HOST).is_some());
    rig.daemon.signal("STOP");
    wait_for("the lease to expire", || rig.store.get(HOST).is_none());
    rig.daemon.signal("CONT");
    wait_for("registration again", || rig.store.get(HOST).is_some());
}

/// A paused process resumes after its successor has registered under the same name.
/// If it replaced the registration, peers would send work to a host that owns nothing.
#[test]
fn registration_superseded() {
    let rig = Rig::start(&["store.lease-s=2"]);
    wait_for("registration", || rig.store.get(HOST).is_some());
    rig.daemon.signal("STOP");
    wait_for("the lease to expire", || rig.store.get(HOST).is_none());
    let successor = Daemon::start(&rig.store, "e1", &[]);
    wait_for("the successor", || rig.store.get(HOST).is_some());
    let registration = rig.store.get(HOST);
    rig.daemon.signal("CONT");
    rig.daemon.wait_line("event=registration_ended");
    assert_eq!(rig.store.get(HOST), registration);
    drop(successor);
}

/// The former process of the host had started while the time of day was ahead, and its
/// registration has not expired. The host must replace it, or it would never be found.
#[test]
fn registration_clock_back() {
    let store = StoreStandIn::start().expect("store");
    let former = r#"{"peer":{"host":"e1","birth":9000000000000000},"zone":"a","address":"127.0.0.1:1","leaving":false}"#;
    store.put(HOST, former.to_owned());
    let daemon = Daemon::start(&store, "e1", &[]);
    wait_for("registration", || store.get(HOST).is_some_and(|value| value != former.as_bytes()));
    drop(daemon);
}

/// Answers of the store are lost after the writes took effect. The host must be
/// registered all the same.
#[test]
fn registration_lost_answer() {
    let store = StoreStandIn::start().expect("store");
    store.lose_answers(2);
    let daemon = Daemon::start(&store, "e1", &[]);
    wait_for("registration", || store.get(HOST).is_some());
    daemon.wait_line("event=store_up");
}

/// A metrics sink that does not listen and a verbose log level must not affect
/// callers.
#[test]
fn metrics_sink_down() {
    let rig =
        Rig::start(&["metrics.statsd=127.0.0.1:9", "metrics.interval-ms=100", "log.level=debug"]);
    for at in 0..20 {
        assert_eq!(rig.daemon.submit_order(&format!("k{at}"), "k").status, 200);
    }
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(rig.daemon.submit_order("last", "last").status, 200);
}
