//! Starts a small deployment of real processes, and callers that retry.
// Each test file uses only some of these items.
#![allow(dead_code)]

use std::thread::{self, JoinHandle};
use std::time::Duration;

use endivestile_kernel::{ShardRecord, SubmissionId};
use endivestile_testkit::{Caller, DaemonCommand, Deployment, MachineSpec, Plan, Reply, wait_for};

/// Number of shards of the deployment.
const SHARDS: u32 = 4;
/// Longest wait for a condition on a busy machine, in seconds.
pub(crate) const WAIT_LIMIT_S: u64 = 40;
/// Most submissions of one job by a caller.
const MAX_ATTEMPTS: usize = 200;
/// Delay before a caller retries, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;

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

/// Starts a plan and waits until every shard has a home that is synchronized with its
/// witness.
pub(crate) fn start(plan: Plan) -> Deployment {
    let daemon = DaemonCommand::new(env!("CARGO_BIN_EXE_endivestile"));
    let deployment = Deployment::start(plan, &daemon).expect("a deployment");
    assert!(wait_for(WAIT_LIMIT_S, || synced(&deployment) == SHARDS as usize), "shards have homes");
    deployment
}

/// Counts the shards whose home is synchronized with its witness.
fn synced(deployment: &Deployment) -> usize {
    let pages = deployment.hosts.iter().filter_map(|host| caller(host.address()).status().ok());
    let shards = |page: serde_json::Value| page["shards"].as_array().cloned().unwrap_or_default();
    let home = |shard: &serde_json::Value| {
        shard["role"].as_str().is_some_and(|role| role.eq_ignore_ascii_case("home"))
            && shard["synced"] == true
    };
    pages.flat_map(shards).filter(home).count()
}

/// Creates a caller of the host at `address`.
pub(crate) fn caller(address: impl std::fmt::Display) -> Caller {
    Caller::new(address, "m1")
}

/// Creates a caller of the named host.
pub(crate) fn caller_of(deployment: &mut Deployment, host: &str) -> Caller {
    caller(deployment.host(host).address())
}

/// Returns the home of an id according to the record in the store.
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

/// Returns the works of a job, each with a key of its own.
pub(crate) fn works(job: &str, count: usize, ms: u64) -> Vec<String> {
    (0..count).map(|index| format!(r#"{{"key":"{job}-{index}","ms":{ms}}}"#)).collect()
}

/// Submits a job repeatedly until the answer is final. Returns `None` if the
/// connection breaks, after which the caller does not retry.
pub(crate) fn submit_until_final(caller: &Caller, id: &str, works: &[String]) -> Option<Reply> {
    for _ in 0..MAX_ATTEMPTS {
        let reply = caller.submit_job("orders", id, works).ok()?;
        if reply.status != 503 {
            return Some(reply);
        }
        thread::sleep(Duration::from_millis(RETRY_DELAY_MS));
    }
    None
}

/// Like [`submit_until_final`], on a thread of its own.
pub(crate) fn spawn_submission(
    caller: Caller,
    id: &str,
    works: &[String],
) -> JoinHandle<Option<Reply>> {
    let (id, works) = (id.to_owned(), works.to_vec());
    thread::spawn(move || submit_until_final(&caller, &id, &works))
}

/// Waits until `count` tasks have started at the backend servers.
pub(crate) fn wait_starts(deployment: &Deployment, count: u64) {
    let started = wait_for(WAIT_LIMIT_S, || deployment.servers.total_starts() >= count);
    assert!(started, "{} of {count} starts", deployment.servers.total_starts());
}

/// Waits until another host than `name` is the home of the id.
pub(crate) fn wait_taken_over(deployment: &Deployment, id: &str, name: &str) {
    assert!(wait_for(WAIT_LIMIT_S, || home(deployment, id) != name), "a takeover");
}

/// Asserts that no task was started twice.
pub(crate) fn assert_once(deployment: &Deployment) {
    assert_eq!(deployment.servers.duplicate_starts(), [], "started more than once");
}

/// Asserts that an answer is complete with the result of each work, or failed without
/// any result.
pub(crate) fn assert_complete_or_failed(reply: &Reply, works: &[String]) {
    let answer = reply.answer().expect("an answer");
    match answer.status.as_str() {
        "complete" => {
            let expected: Vec<String> =
                works.iter().map(|work| endivestile_testkit::echo(work)).collect();
            assert_eq!(answer.results, Some(expected));
        }
        "failed" => assert_eq!(answer.results, None),
        other => panic!("{other} is no final answer: {}", reply.body),
    }
}
