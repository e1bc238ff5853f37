//! Whole deployments of processes under faults.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use endivestile_testkit::{
    Caller, DaemonCommand, Deployment, MachineSpec, Plan, Reply, echo, wait_for,
};

/// Seconds within which an answer must come once the fault is over.
const LIMIT_S: u64 = 60;
/// Numbers the ids of [`settle`].
static SERIAL: AtomicU64 = AtomicU64::new(0);

fn start(plan: Plan) -> Deployment {
    Deployment::start(plan, &DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"))).expect("start")
}

/// Two zones of two hosts and two backend servers each, with a network between.
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

/// Submits again until the answer is final.
fn persist(mut submit: impl FnMut() -> Result<Reply, ureq::Error>) -> Option<Reply> {
    let mut last = None;
    wait_for(LIMIT_S, || {
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

/// Waits until every host has taken its part of the callers' ids.
fn settle(deployment: &mut Deployment) {
    for host in ["e1", "e2", "e3", "e4"] {
        let caller = caller(deployment, host);
        for _ in 0..8 {
            // Numbered, as two calls within one second would share their ids.
            let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
            let id = Caller::own_id(&format!("settle-{serial}"));
            let mut last = String::new();
            let reply = persist(|| {
                let reply = caller.request("orders", Some(&id), "settle");
                last = format!("{reply:?}");
                reply
            });
            assert_eq!(reply.map(|reply| reply.status), Some(200), "{host}: {last}");
        }
    }
}

/// Returns the works that were started more than once, those of `settle` apart.
fn doubled(deployment: &Deployment) -> Vec<(String, usize)> {
    deployment.servers.duplicate_starts().into_iter().filter(|(work, _)| work != "settle").collect()
}

#[test]
fn request_caught_by_cut() {
    // A switch fails and one availability zone reaches neither the others nor the platform. Requests
    // that arrive just then may already be on their way to the other side. Their callers notice no
    // more than a delay, since an idempotent request can run on the near side as well.
    let mut deployment = start(plan());
    settle(&mut deployment);
    cut_south(&deployment);
    for (host, zone) in [("e1", "north"), ("e3", "south")] {
        let caller = caller(&mut deployment, host).deadline_ms(3_000);
        let work = format!(r#"{{"key":"caught-{zone}","ms":20}}"#);
        let reply = persist(|| caller.request("orders", None, &work)).expect("answer");
        assert_eq!((reply.status, reply.body), (200, echo(&work)), "{zone}");
    }
}

#[test]
fn request_zone_cut() {
    // A switch fails and one availability zone reaches neither the others nor the platform. Callers
    // on both sides of the cut go on getting answers from the backend servers on their side.
    let mut deployment = start(plan());
    settle(&mut deployment);
    cut_south(&deployment);
    for (host, zone) in [("e1", "north"), ("e3", "south")] {
        let caller = caller(&mut deployment, host).deadline_ms(3_000);
        let work = format!(r#"{{"key":"cut-{zone}","ms":20}}"#);
        // Calls that the cut caught are another test's matter.
        assert!(wait_for(LIMIT_S, || sees_only(&caller, zone)), "{zone}");
        let reply = persist(|| caller.request("orders", None, &work)).expect("answer");
        assert_eq!((reply.status, reply.body), (200, echo(&work)), "{zone}");
        let ids = caller.fetch_ids(10).expect("ids");
        for (n, id) in ids.iter().enumerate() {
            let key = format!("cut-once-{zone}-{n}");
            let work = format!(r#"{{"key":"{key}","ms":20}}"#);
            let reply = persist(|| caller.request("orders", Some(id), &work)).expect("answer");
            assert_eq!((reply.status, reply.body), (200, echo(&work)), "{zone}");
            assert_eq!(deployment.servers.starts_of(&key), 1);
        }
    }
    deployment.heal();
    settle(&mut deployment);
}

/// Tells whether a host takes the hosts of its own zone alone for live.
fn sees_only(caller: &Caller, zone: &str) -> bool {
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
    // The machine of an entry host loses power while it runs a job. The caller sees its connection
    // break and submits the job again, under the same id, to another host.
    let mut deployment = start(plan());
    settle(&mut deployment);
    let (first, second) = (caller(&mut deployment, "e1"), caller(&mut deployment, "e3"));
    for round in 0..4 {
        let id = Caller::own_id(&format!("killed-{round}"));
        let works = works(&format!("killed-{round}"), 20, 150);
        let before = deployment.servers.total_starts();
        let reply = thread::scope(|scope| {
            scope.spawn(|| first.submit_job("orders", &id, &works));
            wait_for(LIMIT_S, || deployment.servers.total_starts() > before + 4);
            deployment.host("e1").kill();
            persist(|| second.submit_job("orders", &id, &works)).expect("answer")
        });
        whole_or_failed(&reply, &works);
        deployment.host("e1").restart().expect("restart");
        assert!(deployment.host("e1").wait_ready(LIMIT_S));
        settle(&mut deployment);
    }
    assert_eq!(doubled(&deployment), []);
}

#[test]
fn job_host_paused() {
    // The hypervisor pauses an entry host for seconds, longer than its lease. Others take its part
    // over, and the caller submits again elsewhere. Then the paused host wakes and does not know.
    let mut deployment = start(plan());
    settle(&mut deployment);
    let (first, second) = (caller(&mut deployment, "e1"), caller(&mut deployment, "e3"));
    for round in 0..3 {
        let id = Caller::own_id(&format!("paused-{round}"));
        let works = works(&format!("paused-{round}"), 60, 200);
        let before = deployment.servers.total_starts();
        let reply = thread::scope(|scope| {
            scope.spawn(|| first.submit_job("orders", &id, &works));
            wait_for(LIMIT_S, || deployment.servers.total_starts() > before + 4);
            deployment.host("e1").pause();
            thread::sleep(Duration::from_secs(4));
            // The first try may be held by the paused host until its deadline.
            let early = second.clone().deadline_ms(2_000).submit_job("orders", &id, &works);
            deployment.host("e1").resume();
            match early {
                Ok(reply) if reply.status == 200 => reply,
                _ => persist(|| second.submit_job("orders", &id, &works)).expect("answer"),
            }
        });
        whole_or_failed(&reply, &works);
        settle(&mut deployment);
    }
    assert_eq!(doubled(&deployment), []);
}

/// A job's answer is complete, with each task's own result, or failed without any.
fn whole_or_failed(reply: &Reply, works: &[String]) {
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
