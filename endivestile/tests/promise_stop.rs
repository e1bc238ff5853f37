//! Promises 6 and 7, planned stops: with real processes.

mod promise;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use endivestile_testkit::{Caller, Deployment, echo, wait_for};

use promise::{PATIENCE_S, assert_once, at, persist, plan, start, works};

/// Callers that send requests until they are told to end.
struct Load {
    end: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    /// Starts `count` callers of one host, which turn away once it is not ready.
    fn start(caller: &Caller, count: usize) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let threads = (0..count)
            .map(|number| {
                let (caller, end) = (caller.clone(), Arc::clone(&end));
                thread::spawn(move || call(&caller, number, &end))
            })
            .collect();
        Self { end, threads }
    }

    /// Ends the callers and returns what went wrong.
    fn finish(self) -> Vec<String> {
        self.end.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a caller")).collect()
    }
}

/// Calls until told to end; every third call is a payment under an id.
fn call(caller: &Caller, number: usize, end: &AtomicBool) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut turn = 0;
    while !end.load(Ordering::Relaxed) {
        turn += 1;
        let work = format!(r#"{{"key":"load-{number}-{turn}","ms":30}}"#);
        let id = Caller::own_id(&format!("load-{number}-{turn}"));
        let id = (turn % 3 == 0).then_some(id.as_str());
        match caller.request("orders", id, &work) {
            Ok(reply) if reply.status == 200 && reply.body == echo(&work) => {}
            Ok(reply) => wrong.push(format!("{} {}", reply.status, reply.body)),
            Err(err) => wrong.push(err.to_string()),
        }
    }
    wrong
}

/// Waits until a host tells the balancer to turn away.
fn wait_unready(deployment: &mut Deployment, name: &str) {
    let host = deployment.host(name);
    assert!(wait_for(PATIENCE_S, || !host.responds("/ready")), "{name} is not ready any more");
}

// A host is told to end in the middle of its busiest minute. The balancer
// turns away once the host is not ready; every call sent before that must get
// its answer, and the process must end by itself.
#[test]
fn stop_under_load() {
    let mut deployment = start(plan());
    let load = Load::start(&at(&mut deployment, "a1"), 24);
    promise::wait_starts(&deployment, 200);
    deployment.host("a1").terminate();
    wait_unready(&mut deployment, "a1");
    assert_eq!(load.finish(), Vec::<String>::new());
    let status = deployment.host("a1").wait_exit(PATIENCE_S).expect("an end");
    assert!(status.success(), "{status}");
    assert_once(&deployment);
}

// A second host is told to end while the first still drains, and the store is
// down at that moment, so that no shard can change hands. Long jobs run at
// both; their callers wait for them and must not be cut off.
#[test]
fn stop_second_store_down() {
    let mut deployment = start(plan());
    let names = ["a1", "b1"];
    let jobs: Vec<_> = names
        .iter()
        .map(|name| {
            let works = works(&format!("long-{name}"), 4, 1_500);
            let id = Caller::own_id(&format!("long-{name}"));
            promise::persist_later(at(&mut deployment, name), &id, &works)
        })
        .collect();
    promise::wait_starts(&deployment, 8);
    deployment.store.take_down();
    deployment.host("a1").terminate();
    wait_unready(&mut deployment, "a1");
    deployment.host("b1").terminate();
    for job in jobs {
        let reply = job.join().expect("a caller").expect("the connection held");
        assert_eq!(reply.status_text(), "complete", "{}", reply.body);
    }
    deployment.store.bring_up();
    for name in names {
        let status = deployment.host(name).wait_exit(PATIENCE_S).expect("an end");
        assert!(status.success(), "{name}: {status}");
    }
    let id = Caller::own_id("after");
    let after = works("after", 2, 10);
    let reply = persist(&at(&mut deployment, "a2"), &id, &after).expect("a final answer");
    assert_eq!(reply.status_text(), "complete");
    assert_once(&deployment);
}

// Operators plan the stop of a host by the store. It must turn callers away
// while it still answers those that come, and take work again after the stop
// was taken back.
#[test]
fn stop_planned_and_resumed() {
    let mut deployment = start(plan());
    let load = Load::start(&at(&mut deployment, "a1"), 8);
    promise::wait_starts(&deployment, 20);
    deployment.store.put("endivestile/stops/a1", "{}");
    wait_unready(&mut deployment, "a1");
    assert_eq!(load.finish(), Vec::<String>::new());
    let stopped = at(&mut deployment, "a1");
    let handed = || {
        let page = stopped.status().expect("a status");
        let shards = page["shards"].as_array().cloned().unwrap_or_default();
        let home = |shard: &serde_json::Value| {
            shard["role"].as_str().is_some_and(|role| role.eq_ignore_ascii_case("home"))
        };
        page["leaving"] == true && !shards.iter().any(home)
    };
    assert!(wait_for(PATIENCE_S, handed), "its shards have other homes");
    deployment.store.delete("endivestile/stops/a1");
    let host = deployment.host("a1");
    assert!(wait_for(PATIENCE_S, || host.responds("/ready")), "ready again");
    assert!(host.is_running());
}

/// Waits until no task has started at a server over a stretch of other servers' starts.
fn assert_spared(deployment: &Deployment, server: &str) {
    const STRETCH: u64 = 150;
    let spared = || {
        let (own, all) = (deployment.servers.starts_at(server), deployment.servers.total_starts());
        wait_for(PATIENCE_S, || deployment.servers.total_starts() >= all + STRETCH);
        deployment.servers.starts_at(server) == own
    };
    assert!(wait_for(PATIENCE_S, spared), "{server} gets no new work");
    let (own, all) = (deployment.servers.starts_at(server), deployment.servers.total_starts());
    assert!(wait_for(PATIENCE_S, || deployment.servers.total_starts() >= all + 2 * STRETCH));
    assert_eq!(deployment.servers.starts_at(server), own, "{server} gets no new work");
}

// A backend server leaves: by the operators' planned stop, and another one by
// the platform's list. Both must get no new work after a short while, although
// they would still take it, and no caller must notice.
#[test]
fn leaving_servers() {
    let mut deployment = start(plan());
    let load = Load::start(&at(&mut deployment, "b1"), 16);
    let used = |server| deployment.servers.starts_at(server) > 0;
    assert!(wait_for(PATIENCE_S, || used("a-s1") && used("b-s1")), "both servers are used");
    deployment.store.put("endivestile/stops/a-s1", "{}");
    deployment.store.set_host_state("b-s1", "leaving");
    assert_spared(&deployment, "a-s1");
    assert_spared(&deployment, "b-s1");
    assert_eq!(load.finish(), Vec::<String>::new());
    assert_once(&deployment);
}
