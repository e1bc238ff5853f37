//! Promises 6 and 7 with real processes: planned stops.

mod promise;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};

use endivestile_testkit::{Caller, Deployment, echo, wait_for};

use promise::{WAIT_LIMIT_S, assert_once, caller_of, plan, start, submit_until_final, works};

/// Callers that send requests until [`Load::finish`].
struct Load {
    end: Arc<AtomicBool>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    /// Starts `count` callers of one host.
    fn start(caller: &Caller, count: usize) -> Self {
        let end = Arc::new(AtomicBool::new(false));
        let threads = (0..count)
            .map(|number| {
                let (caller, end) = (caller.clone(), Arc::clone(&end));
                thread::spawn(move || run_caller(&caller, number, &end))
            })
            .collect();
        Self { end, threads }
    }

    /// Ends the callers and returns their failures.
    fn finish(self) -> Vec<String> {
        self.end.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("a caller")).collect()
    }
}

/// Sends requests until `end` is set; every third one is a payment under an id.
fn run_caller(caller: &Caller, number: usize, end: &AtomicBool) -> Vec<String> {
    let mut failures = Vec::new();
    let mut serial = 0;
    while !end.load(Ordering::Relaxed) {
        serial += 1;
        let work = format!(r#"{{"key":"load-{number}-{serial}","ms":30}}"#);
        let id = Caller::own_id(&format!("load-{number}-{serial}"));
        let id = (serial % 3 == 0).then_some(id.as_str());
        match caller.request("orders", id, &work) {
            Ok(reply) if reply.status == 200 && reply.body == echo(&work) => {}
            Ok(reply) => failures.push(format!("{} {}", reply.status, reply.body)),
            Err(err) => failures.push(err.to_string()),
        }
    }
    failures
}

/// Waits until a host is not ready, so that the balancer turns away from it.
fn wait_unready(deployment: &mut Deployment, name: &str) {
    let host = deployment.host(name);
    assert!(wait_for(WAIT_LIMIT_S, || !host.responds("/ready")), "{name} is no longer ready");
}

// A host is stopped under load. The balancer turns away once the host is not
// ready; every call sent before that must be answered, and the process must exit
// by itself.
#[test]
fn stop_under_load() {
    let mut deployment = start(plan());
    let load = Load::start(&caller_of(&mut deployment, "a1"), 24);
    promise::wait_starts(&deployment, 200);
    deployment.host("a1").terminate();
    wait_unready(&mut deployment, "a1");
    assert_eq!(load.finish(), Vec::<String>::new());
    let status = deployment.host("a1").wait_exit(WAIT_LIMIT_S).expect("an end");
    assert!(status.success(), "{status}");
    assert_once(&deployment);
}

// A second host is stopped while the first still drains, and the store is down at
// that moment, so that no shard can be transferred. Long jobs run at both, and the
// connections of their callers must not be closed.
#[test]
fn stop_second_store_down() {
    let mut deployment = start(plan());
    let names = ["a1", "b1"];
    let jobs: Vec<_> = names
        .iter()
        .map(|name| {
            let works = works(&format!("long-{name}"), 4, 1_500);
            let id = Caller::own_id(&format!("long-{name}"));
            promise::spawn_submission(caller_of(&mut deployment, name), &id, &works)
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
        let status = deployment.host(name).wait_exit(WAIT_LIMIT_S).expect("an end");
        assert!(status.success(), "{name}: {status}");
    }
    let id = Caller::own_id("after");
    let after = works("after", 2, 10);
    let reply =
        submit_until_final(&caller_of(&mut deployment, "a2"), &id, &after).expect("a final answer");
    assert_eq!(reply.status_text(), "complete");
    assert_once(&deployment);
}

// Operators plan the stop of a host in the store. The host must not be ready while
// it still answers callers, and must accept work again once the stop is withdrawn.
#[test]
fn stop_planned_and_resumed() {
    let mut deployment = start(plan());
    let load = Load::start(&caller_of(&mut deployment, "a1"), 8);
    promise::wait_starts(&deployment, 20);
    deployment.store.put("endivestile/stops/a1", "{}");
    wait_unready(&mut deployment, "a1");
    assert_eq!(load.finish(), Vec::<String>::new());
    let stopped = caller_of(&mut deployment, "a1");
    let transferred = || {
        let page = stopped.status().expect("a status");
        let shards = page["shards"].as_array().cloned().unwrap_or_default();
        let home = |shard: &serde_json::Value| {
            shard["role"].as_str().is_some_and(|role| role.eq_ignore_ascii_case("home"))
        };
        page["leaving"] == true && !shards.iter().any(home)
    };
    assert!(wait_for(WAIT_LIMIT_S, transferred), "its shards have other homes");
    deployment.store.delete("endivestile/stops/a1");
    let host = deployment.host("a1");
    assert!(wait_for(WAIT_LIMIT_S, || host.responds("/ready")), "ready again");
    assert!(host.is_running());
}

/// Waits until tasks start at other servers only, and asserts that it stays so.
fn assert_no_new_work(deployment: &Deployment, server: &str) {
    const OTHER_STARTS: u64 = 150;
    let unused = || {
        let (own, all) = (deployment.servers.starts_at(server), deployment.servers.total_starts());
        wait_for(WAIT_LIMIT_S, || deployment.servers.total_starts() >= all + OTHER_STARTS);
        deployment.servers.starts_at(server) == own
    };
    assert!(wait_for(WAIT_LIMIT_S, unused), "{server} gets no new work");
    let (own, all) = (deployment.servers.starts_at(server), deployment.servers.total_starts());
    assert!(wait_for(WAIT_LIMIT_S, || deployment.servers.total_starts() >= all + 2 * OTHER_STARTS));
    assert_eq!(deployment.servers.starts_at(server), own, "{server} gets no new work");
}

// One backend server leaves by the operators' planned stop, another one by the
// platform's list. Both must soon get no new work, although they would still
// accept it, and no caller must notice.
#[test]
fn leaving_servers() {
    let mut deployment = start(plan());
    let load = Load::start(&caller_of(&mut deployment, "b1"), 16);
    let used = |server| deployment.servers.starts_at(server) > 0;
    assert!(wait_for(WAIT_LIMIT_S, || used("a-s1") && used("b-s1")), "both servers are used");
    deployment.store.put("endivestile/stops/a-s1", "{}");
    deployment.store.set_host_state("b-s1", "leaving");
    assert_no_new_work(&deployment, "a-s1");
    assert_no_new_work(&deployment, "b-s1");
    assert_eq!(load.finish(), Vec::<String>::new());
    assert_once(&deployment);
}
