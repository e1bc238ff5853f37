//! The platform's store as the daemon sees it: configuration, registration, outages.

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

/// Somebody writes past the operators' tools: no INI, or an older revision.
/// The host goes on with the configuration in force and says why.
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
    assert_eq!(rig.daemon.order("k", "k").status, 200);
}

/// Somebody writes another number of shards past the operators' tools. Hosts that
/// took it would send a caller's own id to another home, which starts it again.
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
    let backends = BackendStandIn::start(vec![MachineSpec::new("s1")]).expect("back ends");
    let daemon = Daemon::start(&store, "e1", &[]);
    daemon.wait_line("event=store_up");
    assert_eq!(daemon.get("/health").status, 200);
    assert_eq!(daemon.get("/ready").status, 503);
    // Another host may have started what has an id.
    let got = daemon.order("k", "k");
    assert_eq!((got.status, got.field("status")), (503, "unknown".into()), "{}", got.body);
    let headers = [("Team", "m1"), ("Idempotent", "true")];
    let got = daemon.post("/v1/requests/orders", &headers, "k");
    assert_eq!((got.status, got.field("status")), (503, "not run".into()), "{}", got.body);
    store.put("endivestile/config", config(1, &backends));
    daemon.wait_ready();
}

/// The store goes down for long. What was read stays in force and requests are
/// served; a change made meanwhile is found when it is back.
#[test]
fn store_down_and_up() {
    let rig = Rig::start(&[]);
    assert_eq!(rig.daemon.order("before", "before").status, 200);
    rig.store.take_down();
    rig.daemon.wait_line("event=store_down");
    assert_eq!(rig.daemon.order("during", "during").status, 200);
    rig.store.put("endivestile/config", config(2, &rig.backends));
    rig.store.bring_up();
    wait_for("revision 2", || revision(&rig.daemon) == 2);
    assert_eq!(rig.daemon.order("after", "after").status, 200);
}

/// An operator takes a planned stop back while the host cannot reach the store.
/// Nobody tells of the deleted key afterwards; a host that only followed
/// changes would keep the backend server out for ever.
#[test]
fn stop_taken_back_during_outage() {
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

/// The store stands still without closing anything. No change arrives and
/// nothing tells so, but the refreshes of the lease, which go unanswered.
#[test]
fn store_hangs() {
    let rig = Rig::start(&["store.lease-s=2"]);
    rig.store.hang_calls();
    rig.daemon.wait_line("event=store_down");
    rig.store.put("endivestile/config", config(2, &rig.backends));
    rig.store.bring_up();
    wait_for("revision 2", || revision(&rig.daemon) == 2);
}

/// The lease lapses while the process is paused, and its registration with it.
/// Peers would never find the host again unless it registered anew.
#[test]
fn registration_after_lapse() {
    let rig = Rig::start(&["store.lease-s=2"]);
    wait_for("registration", || rig.store.get(HOST).is_some());
    rig.daemon.signal("STOP");
    wait_for("the lapse", || rig.store.get(HOST).is_none());
    rig.daemon.signal("CONT");
    wait_for("registration again", || rig.store.get(HOST).is_some());
}

/// A paused process wakes beside its successor of the same name. Taking the
/// name back it would draw work to a host that owns nothing.
#[test]
fn registration_superseded() {
    let rig = Rig::start(&["store.lease-s=2"]);
    wait_for("registration", || rig.store.get(HOST).is_some());
    rig.daemon.signal("STOP");
    wait_for("the lapse", || rig.store.get(HOST).is_none());
    let successor = Daemon::start(&rig.store, "e1", &[]);
    wait_for("the successor", || rig.store.get(HOST).is_some());
    let held = rig.store.get(HOST);
    rig.daemon.signal("CONT");
    rig.daemon.wait_line("event=registration_ended");
    assert_eq!(rig.store.get(HOST), held);
    drop(successor);
}

/// An answer of the store is lost after the write took effect. The registration
/// must stand all the same.
#[test]
fn registration_lost_answer() {
    let store = StoreStandIn::start().expect("store");
    store.lose_answers(2);
    let daemon = Daemon::start(&store, "e1", &[]);
    wait_for("registration", || store.get(HOST).is_some());
    daemon.wait_line("event=store_up");
}

/// A metrics sink that does not listen, and a log level that says a lot, cost
/// callers nothing.
#[test]
fn metrics_sink_down() {
    let rig =
        Rig::start(&["metrics.statsd=127.0.0.1:9", "metrics.interval-ms=100", "log.level=debug"]);
    for at in 0..20 {
        assert_eq!(rig.daemon.order(&format!("k{at}"), "k").status, 200);
    }
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(rig.daemon.order("last", "last").status, 200);
}
