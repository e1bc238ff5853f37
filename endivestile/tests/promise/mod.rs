//! A small deployment of real processes, and callers that come back.
// Each test file uses its own part of this.
#![allow(dead_code)]

use std::thread::{self, JoinHandle};
use std::time::Duration;

use endivestile_kernel::{ShardRecord, SubmissionId};
use endivestile_testkit::{Caller, DaemonCommand, Deployment, MachineSpec, Plan, Reply, wait_for};

/// Shards of the deployment.
const SHARDS: u32 = 4;
/// Seconds that anything waited for may take on a busy machine.
pub(crate) const PATIENCE_S: u64 = 40;
/// Times that a caller comes back at most.
const TRIES: usize = 200;
/// Pause before a caller comes back, in milliseconds.
const BACK_MS: u64 = 100;

/// Plans two zones with two entry hosts and two backend servers each.
pub(crate) fn plan() -> Plan {
    let mut plan = Plan::new().rules(|rules| rules.shards = SHARDS);
    for zone in ["a", "b"] {
        for number in 1..=2 {
            plan = plan.host(&format!("{zone}{number}"), zone, 1);
            let spec = MachineSpec::new(format!("{zone}-s{number}"));
            plan = plan.server(spec, zone, &format!("rack-{zone}"));
        }
    }
    plan
}

/// Starts a plan and waits until every shard has a home and a witness with its table.
pub(crate) fn start(plan: Plan) -> Deployment {
    let daemon = DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"));
    let deployment = Deployment::start(plan, &daemon).expect("a deployment");
    assert!(wait_for(PATIENCE_S, || synced(&deployment) == SHARDS as usize), "shards have homes");
    deployment
}

/// Counts the shards whose home has the word of its witness.
fn synced(deployment: &Deployment) -> usize {
    let pages = deployment.hosts.iter().filter_map(|host| caller(host.address()).status().ok());
    let shards = |page: serde_json::Value| page["shards"].as_array().cloned().unwrap_or_default();
    let home = |shard: &serde_json::Value| {
        shard["role"].as_str().is_some_and(|role| role.eq_ignore_ascii_case("home"))
            && shard["synced"] == true
    };
    pages.flat_map(shards).filter(home).count()
}

/// Makes a caller of a host.
pub(crate) fn caller(address: impl std::fmt::Display) -> Caller {
    Caller::new(address, "m1")
}

/// Makes a caller of the named host.
pub(crate) fn at(deployment: &mut Deployment, host: &str) -> Caller {
    caller(deployment.host(host).address())
}

/// Returns the host that is home of an id, by the record in the store.
pub(crate) fn home(deployment: &Deployment, id: &str) -> String {
    let id = SubmissionId::parse(id).expect("an id");
    let value = deployment.store.get(&ShardRecord::key(id.shard(SHARDS))).expect("a record");
    let record = ShardRecord::decode(&value).expect("a record that can be read");
    record.home.host.to_string()
}

/// Returns the names of the hosts other than `name`.
pub(crate) fn others(deployment: &Deployment, name: &str) -> Vec<String> {
    let names = deployment.hosts.iter().map(|host| host.name().to_owned());
    names.filter(|other| other != name).collect()
}

/// Makes the works of a job, each with a key of its own.
pub(crate) fn works(job: &str, count: usize, ms: u64) -> Vec<String> {
    (0..count).map(|index| format!(r#"{{"key":"{job}-{index}","ms":{ms}}}"#)).collect()
}

/// Submits a job again and again until the answer is final; a broken
/// connection is no answer, and the caller does not come back after it.
pub(crate) fn persist(caller: &Caller, id: &str, works: &[String]) -> Option<Reply> {
    for _ in 0..TRIES {
        let reply = caller.submit_job("orders", id, works).ok()?;
        if reply.status != 503 {
            return Some(reply);
        }
        thread::sleep(Duration::from_millis(BACK_MS));
    }
    None
}

/// As [`persist`], on a thread of its own.
pub(crate) fn persist_later(
    caller: Caller,
    id: &str,
    works: &[String],
) -> JoinHandle<Option<Reply>> {
    let (id, works) = (id.to_owned(), works.to_vec());
    thread::spawn(move || persist(&caller, &id, &works))
}

/// Waits until this many tasks have started at the backend servers.
pub(crate) fn wait_starts(deployment: &Deployment, count: u64) {
    let started = wait_for(PATIENCE_S, || deployment.servers.total_starts() >= count);
    assert!(started, "{} of {count} starts", deployment.servers.total_starts());
}

/// Waits until another host than `name` is home of the id.
pub(crate) fn wait_moved(deployment: &Deployment, id: &str, name: &str) {
    assert!(wait_for(PATIENCE_S, || home(deployment, id) != name), "a take-over");
}

/// Checks that nothing was started twice.
pub(crate) fn assert_once(deployment: &Deployment) {
    assert_eq!(deployment.servers.duplicate_starts(), [], "started more than once");
}

/// Checks that an answer is complete with every result of the works, or failed without any.
pub(crate) fn assert_whole(reply: &Reply, works: &[String]) {
    let answer = reply.answer().expect("an answer");
    match answer.status.as_str() {
        "complete" => {
            let whole: Vec<String> =
                works.iter().map(|work| endivestile_testkit::echo(work)).collect();
            assert_eq!(answer.results, Some(whole));
        }
        "failed" => assert_eq!(answer.results, None),
        other => panic!("{other} is no final answer: {}", reply.body),
    }
}
