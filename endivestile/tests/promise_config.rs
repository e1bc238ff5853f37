//! Promise 8 with real processes: an accepted configuration is in force everywhere and never
//! reverts.

mod promise;

use endivestile_testkit::{Caller, Deployment, wait_for};

use promise::{WAIT_LIMIT_S, caller, caller_of, plan, start, submit_until_final, works};

/// Key of the configuration.
const CONFIG: &str = "endivestile/config";

/// Returns the revision in force at each running host.
fn revisions(deployment: &mut Deployment) -> Vec<u64> {
    let hosts =
        deployment.hosts.iter_mut().filter_map(|host| host.is_running().then_some(host.address()));
    let pages = hosts.filter_map(|address| caller(address).status().ok());
    pages.filter_map(|page| page["revision"].as_u64()).collect()
}

/// Waits until a revision is in force at every running host.
fn wait_revision(deployment: &mut Deployment, revision: u64) {
    let all = wait_for(WAIT_LIMIT_S, || revisions(deployment).iter().all(|own| *own == revision));
    assert!(all, "revision {revision} everywhere, not {:?}", revisions(deployment));
}

/// Returns whether a host has logged at least `count` refused configurations.
fn has_refused(deployment: &mut Deployment, name: &str, count: usize) -> bool {
    let log = deployment.host(name).log();
    log.iter().filter(|line| line.contains("event=config_refused")).count() >= count
}

/// Returns the revisions that a host has adopted, in order.
fn adopted(deployment: &mut Deployment, name: &str) -> Vec<u64> {
    let log = deployment.host(name).log();
    let lines = log.iter().filter(|line| line.contains("event=config_adopted"));
    let revision = |line: &String| line.rsplit("revision=").next()?.trim().parse().ok();
    lines.filter_map(revision).collect()
}

// Values are written without the operators' tools: first a text that is no
// configuration, then a later revision with a misspelt service, then an older
// accepted one. Hosts must keep the one in force and continue to serve.
#[test]
fn config_written_directly() {
    let mut deployment = start(plan());
    let old = deployment.config().canonical();
    let revision = deployment.reconfigure(|config| config.rules.queue_limit -= 1);
    wait_revision(&mut deployment, revision);
    let accepted = deployment.config().canonical();
    let higher = format!("revision = {}", revision + 7);
    let later = accepted.replacen(&format!("revision={revision}"), &higher, 1);
    let later = later.replacen(&format!("revision = {revision}"), &higher, 1);
    let invalid = later.replacen("orders", "ord ers", 1);
    assert_ne!(invalid, accepted, "the replacement changed the text");
    for (count, text) in ["no configuration", &invalid].into_iter().enumerate() {
        deployment.store.put(CONFIG, text);
        let refused = wait_for(WAIT_LIMIT_S, || has_refused(&mut deployment, "a1", count + 1));
        assert!(refused, "{text}");
    }
    deployment.store.put(CONFIG, old);
    deployment.store.put(CONFIG, "still none");
    for name in ["a1", "a2", "b1", "b2"] {
        let refused_all = wait_for(WAIT_LIMIT_S, || has_refused(&mut deployment, name, 3));
        assert!(refused_all, "{name} has refused all");
        let adopted = adopted(&mut deployment, name);
        assert_eq!(adopted.last(), Some(&revision), "{name} adopted {adopted:?}");
        assert!(adopted.is_sorted_by(|a, b| a < b), "{name} reverted: {adopted:?}");
    }
    wait_revision(&mut deployment, revision);
    let works = works("spoilt", 2, 5);
    let reply =
        submit_until_final(&caller_of(&mut deployment, "b2"), &Caller::own_id("spoilt"), &works);
    assert_eq!(reply.expect("a final answer").status_text(), "complete");
}

// The store is down, and only the running hosts have the operators' last change.
// A host that is restarted during the outage must get that change from its peers,
// not an older configuration or none, and serve.
#[test]
fn config_restart_in_outage() {
    let mut deployment = start(plan());
    let revision = deployment.reconfigure(|config| config.rules.queue_limit -= 1);
    wait_revision(&mut deployment, revision);
    let hosts = deployment.config().hosts.iter();
    let seeds: Vec<String> = hosts.map(|(name, host)| format!("{name}@{}", host.address)).collect();
    let own = deployment.config().hosts["b2"].address.clone();
    let seeds: Vec<String> =
        seeds.into_iter().filter(|seed| *seed != format!("b2@{own}")).collect();
    deployment.store.take_down();
    let host = deployment.host("b2");
    host.add_setting(&format!("host.seeds={}", seeds.join(",")));
    host.restart().expect("a process");
    assert!(host.wait_ready(WAIT_LIMIT_S), "ready without the store");
    wait_revision(&mut deployment, revision);
    let restarted = caller_of(&mut deployment, "b2");
    let work = r#"{"key":"outage","ms":5}"#;
    let served = || restarted.request("orders", None, work).is_ok_and(|reply| reply.status == 200);
    assert!(wait_for(WAIT_LIMIT_S, served), "requests are served");
    deployment.store.bring_up();
    let next = deployment.reconfigure(|config| config.rules.queue_limit -= 1);
    wait_revision(&mut deployment, next);
}

// A host is paused while two changes are accepted, and resumes with an outdated
// watch on the store. It must adopt the last change like all others.
#[test]
fn config_paused_host() {
    let mut deployment = start(plan());
    deployment.host("a2").pause();
    deployment.reconfigure(|config| config.rules.queue_limit -= 1);
    let revision = deployment.reconfigure(|config| config.rules.queue_limit -= 1);
    let running: Vec<_> = ["a1", "b1", "b2"].map(|name| caller_of(&mut deployment, name)).into();
    let adopted = |caller: &Caller| caller.status().is_ok_and(|page| page["revision"] == revision);
    assert!(
        wait_for(WAIT_LIMIT_S, || running.iter().all(adopted)),
        "in force at the running hosts"
    );
    deployment.host("a2").resume();
    wait_revision(&mut deployment, revision);
}
