//! Deployments of several processes under faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use endivestile_testkit::{
    Caller, DaemonCommand, Deployment, MachineSpec, Plan, Reply, echo, wait_for,
};

/// Longest time for an answer once the fault has ended, in seconds.
const ANSWER_LIMIT_S: u64 = 60;
/// Number of the next id of [`wait_until_served`].
static SERIAL: AtomicU64 = AtomicU64::new(0);

fn start(plan: Plan) -> Deployment {
    Deployment::start(plan, &DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"))).expect("start")
}

/// Plans two zones with two hosts and two backend servers each, connected by a network.
fn plan() -> Plan {
    let mut plan = Plan::new().distance_us(500).setting("store.lease-s=2");
    for (zone, hosts) in [("north", ["e1", "e2"]), ("south", ["e3", "e4"])] {
        for host in hosts {
            plan = plan.host(host, zone, 1);
        }
        for n in 1..=2 {
            plan = plan.server(MachineSpec::new(format!("{zone}-{n}")), zone, "");
        }
    }
    plan
}

fn works(kind: &str, count: usize, ms: u64) -> Vec<String> {
    (0..count).map(|n| format!(r#"{{"key":"{kind}-{n}","ms":{ms}}}"#)).collect()
}

/// Submits repeatedly until the answer is final.
fn submit_until_final(mut submit: impl FnMut() -> Result<Reply, ureq::Error>) -> Option<Reply> {
    let mut last = None;
    wait_for(ANSWER_LIMIT_S, || {
        let reply = submit().ok().filter(|reply| reply.retry_s.is_none() && reply.status != 202);
        if reply.is_none() {
            thread::sleep(Duration::from_millis(100));
        }
        last = reply;
        last.is_some()
    });
    last
}

fn caller(deployment: &mut Deployment, host: &str) -> Caller {
    Caller::new(deployment.host(host).address(), "m1")
}

/// Waits until every host answers requests with callers' own ids.
fn wait_until_served(deployment: &mut Deployment) {
    for host in ["e1", "e2", "e3", "e4"] {
        let caller = caller(deployment, host);
        for _ in 0..8 {
            // Numbered, since two calls within one second would otherwise use the same id.
            let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
            let id = Caller::own_id(&format!("settle-{serial}"));
            let mut last = String::new();
            let reply = submit_until_final(|| {
                let reply = caller.request("orders", Some(&id), "settle");
                last = format!("{reply:?}");
                reply
            });
            assert_eq!(reply.map(|reply| reply.status), Some(200), "{host}: {last}");
        }
    }
}

/// Returns the works that were started more than once, except for those of
/// [`wait_until_served`].
fn doubled(deployment: &Deployment) -> Vec<(String, usize)> {
    deployment.servers.duplicate_starts().into_iter().filter(|(work, _)| work != "settle").collect()
}

#[test]
fn request_in_flight_at_cut() {
    // A switch fails and one availability zone reaches neither the others nor the platform.
    // Requests in flight at that moment may have been forwarded to the other side. Their callers
    // only notice a delay, since an idempotent request can also run on the near side.
    let mut deployment = start(plan());
    wait_until_served(&mut deployment);
    cut_south(&deployment);
    for (host, zone) in [("e1", "north"), ("e3", "south")] {
        let caller = caller(&mut deployment, host).deadline_ms(3_000);
        let work = format!(r#"{{"key":"caught-{zone}","ms":20}}"#);
        let reply = submit_until_final(|| caller.request("orders", None, &work)).expect("answer");
        assert_eq!((reply.status, reply.body), (200, echo(&work)), "{zone}");
    }
}

#[test]
fn request_zone_cut() {
    // A switch fails and one availability zone reaches neither the others nor the platform.
    // Callers on both sides of the cut still get answers from the backend servers on their side.
    let mut deployment = start(plan());
    wait_until_served(&mut deployment);
    cut_south(&deployment);
    for (host, zone) in [("e1", "north"), ("e3", "south")] {
        let caller = caller(&mut deployment, host).deadline_ms(3_000);
        let work = format!(r#"{{"key":"cut-{zone}","ms":20}}"#);
        // Calls in flight at the cut are covered by another test.
        assert!(wait_for(ANSWER_LIMIT_S, || considers_only_zone_live(&caller, zone)), "{zone}");
        let reply = submit_until_final(|| caller.request("orders", None, &work)).expect("answer");
        assert_eq!((reply.status, reply.body), (200, echo(&work)), "{zone}");
        let ids = caller.fetch_ids(10).expect("ids");
        for (n, id) in ids.iter().enumerate() {
            let key = format!("cut-once-{zone}-{n}");
            let work = format!(r#"{{"key":"{key}","ms":20}}"#);
            let reply =
                submit_until_final(|| caller.request("orders", Some(id), &work)).expect("answer");
            assert_eq!((reply.status, reply.body), (200, echo(&work)), "{zone}");
            assert_eq!(deployment.servers.starts_of(&key), 1);
        }
    }
    deployment.heal();
    wait_until_served(&mut deployment);
}

/// Returns whether a host considers the hosts of its own zone live and no others.
fn considers_only_zone_live(caller: &Caller, zone: &str) -> bool {
    let status = caller.status().unwrap_or_default();
    let hosts = status["hosts"].as_object();
    hosts.is_some_and(|hosts| hosts.values().all(|h| (h["zone"] == zone) == (h["state"] == "live")))
}

fn cut_south(deployment: &Deployment) {
    deployment.isolate_zone("south");
    deployment.isolate_from_store("south");
}

#[test]
fn job_host_killed() {
    // The machine of an entry host loses power while it runs a job. The caller's connection breaks,
    // and it resubmits the job under the same id to another host.
    let mut deployment = start(plan());
    wait_until_served(&mut deployment);
    let (first, second) = (caller(&mut deployment, "e1"), caller(&mut deployment, "e3"));
    for round in 0..4 {
        let id = Caller::own_id(&format!("killed-{round}"));
        let works = works(&format!("killed-{round}"), 20, 150);
        let before = deployment.servers.total_starts();
        let reply = thread::scope(|scope| {
            scope.spawn(|| first.submit_job("orders", &id, &works));
            wait_for(ANSWER_LIMIT_S, || deployment.servers.total_starts() > before + 4);
            deployment.host("e1").kill();
            submit_until_final(|| second.submit_job("orders", &id, &works)).expect("answer")
        });
        assert_complete_or_failed(&reply, &works);
        deployment.host("e1").restart().expect("restart");
        assert!(deployment.host("e1").wait_ready(ANSWER_LIMIT_S));
        wait_until_served(&mut deployment);
    }
    assert_eq!(doubled(&deployment), []);
}

#[test]
fn job_host_paused() {
    // The hypervisor pauses an entry host for longer than its lease. Other hosts take over its
    // shards, and the caller resubmits to one of them. Then the paused host resumes, unaware of
    // the takeover.
    let mut deployment = start(plan());
    wait_until_served(&mut deployment);
    let (first, second) = (caller(&mut deployment, "e1"), caller(&mut deployment, "e3"));
    for round in 0..3 {
        let id = Caller::own_id(&format!("paused-{round}"));
        let works = works(&format!("paused-{round}"), 60, 200);
        let before = deployment.servers.total_starts();
        let reply = thread::scope(|scope| {
            scope.spawn(|| first.submit_job("orders", &id, &works));
            wait_for(ANSWER_LIMIT_S, || deployment.servers.total_starts() > before + 4);
            deployment.host("e1").pause();
            thread::sleep(Duration::from_secs(4));
            // This submission may wait for the paused host until its deadline.
            let early = second.clone().deadline_ms(2_000).submit_job("orders", &id, &works);
            deployment.host("e1").resume();
            match early {
                Ok(reply) if reply.status == 200 => reply,
                _ => {
                    submit_until_final(|| second.submit_job("orders", &id, &works)).expect("answer")
                }
            }
        });
        assert_complete_or_failed(&reply, &works);
        wait_until_served(&mut deployment);
    }
    assert_eq!(doubled(&deployment), []);
}

/// Asserts that a job's answer is complete with each task's own result, or failed
/// without any result.
fn assert_complete_or_failed(reply: &Reply, works: &[String]) {
    let results = reply.answer().and_then(|answer| answer.results);
    match reply.status {
        200 => {
            let expected: Vec<String> = works.iter().map(|work| echo(work)).collect();
            assert_eq!(results, Some(expected));
        }
        502 | 504 => assert_eq!(results, None),
        status => panic!("status {status}: {}", reply.body),
    }
}
