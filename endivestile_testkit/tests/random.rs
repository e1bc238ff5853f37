//! Random scenarios for a deployment: calls, resubmissions, faults and repairs in virtual time,
//! with every guarantee checked after each step.
//!
//! A failing case is shrunk and printed as a story; add that unchanged as a file under
//! `stories/`. `RANDOM_CASES` sets the number of cases.

use std::env;

use endivestile_testkit::run_story;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of cases unless `RANDOM_CASES` is set, as in CI.
const CASES: u32 = 400;
/// Exclusive limit on the steps of one case.
const STEP_LIMIT: usize = 25;
/// Last steps of every case: repair all faults, then wait until every call must be answered.
const FINAL_STEPS: &str = "resume all\nheal\nstore up\nstore slow 2ms\nrun 60s\ncheck\nsettled\n";

#[test]
fn guarantees_random() {
    let cases = env::var("RANDOM_CASES").ok().and_then(|text| text.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(CASES), failure_persistence: None, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let stories = (world(), prop::collection::vec(step(), 1..STEP_LIMIT));
    let result = runner.run(&stories, |(world, steps)| {
        let story = format!("{world}{}{FINAL_STEPS}", steps.concat());
        let output = run_story(&story).map_err(TestCaseError::fail)?;
        let passed = |line: &str| line == "every promise kept" || line == "every call answered";
        let breach = output.lines().find(|line| !passed(line));
        prop_assert!(breach.is_none(), "{}\nin story\n{story}", breach.unwrap_or_default());
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

fn world() -> impl Strategy<Value = String> {
    let zones = prop::sample::select(vec!["a", "a,b", "a,b,c"]);
    (zones, 1..3u32, 1..3u32, 1..4u32, prop::sample::select(vec![1, 4]), 0..1_000u32).prop_map(
        |(zones, hosts, servers, slots, shards, seed)| {
            format!(
                "world zones={zones} hosts={hosts} servers={servers} slots={slots} \
                 shards={shards} ms=200 seed={seed}\n"
            )
        },
    )
}

fn host() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a1", "a2", "b1", "b2", "c1"])
}

fn place() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a1", "a2", "b1", "a", "b", "c", "store", "a-s1"])
}

fn span() -> impl Strategy<Value = String> {
    prop::sample::select(vec!["1ms", "20ms", "100ms", "400ms", "1s", "3s", "9s"])
        .prop_map(String::from)
}

fn step() -> impl Strategy<Value = String> {
    prop_oneof![
        6 => call(),
        6 => span().prop_map(|span| format!("run {span}\ncheck\n")),
        5 => fault(),
        2 => server(),
        2 => operator(),
    ]
}

fn call() -> impl Strategy<Value = String> {
    let deadline = prop::sample::select(vec!["300ms", "2s", "20s"]);
    let submit = (0..1_000_000u32, host(), 0..4u32, 1..6u32, deadline).prop_map(
        |(call, host, id, tasks, deadline)| {
            // Every submission of an id must have the same work.
            let tasks = if id == 0 { tasks } else { id * 2 };
            format!(
                "submit c{call} at={host} id=k{id} tasks={} deadline={deadline}\n",
                tasks.max(1)
            )
        },
    );
    let plain = (0..1_000_000u32, host())
        .prop_map(|(call, host)| format!("submit p{call} at={host} deadline=5s\n"));
    let cancel = (0..1_000_000u32, host(), 0..4u32)
        .prop_map(|(call, host, id)| format!("cancel x{call} at={host} id=k{id}\n"));
    prop_oneof![6 => submit, 2 => plain, 1 => cancel]
}

fn fault() -> impl Strategy<Value = String> {
    prop_oneof![
        host().prop_map(|host| format!("kill {host}\n")),
        host().prop_map(|host| format!("kill {host}\nstart {host}\n")),
        host().prop_map(|host| format!("start {host}\n")),
        host().prop_map(|host| format!("pause {host}\n")),
        Just(String::from("resume all\n")),
        (place(), place()).prop_map(|(a, b)| format!("cut {a} {b}\n")),
        Just(String::from("heal\n")),
        (5..50u32).prop_map(|percent| format!("lose {percent}\n")),
        prop::sample::select(vec!["5ms", "300ms"]).prop_map(|span| format!("jitter {span}\n")),
        Just(String::from("store down\n")),
        Just(String::from("store up\n")),
        (1..5u32).prop_map(|calls| format!("store loses {calls}\n")),
        Just(String::from("store slow 900ms\n")),
    ]
}

fn server() -> impl Strategy<Value = String> {
    let behaviour = prop::sample::select(vec![
        "good",
        "refuses",
        "closes",
        "fails",
        "hangs",
        "takes 20ms",
        "takes 3s",
    ]);
    let server = prop::sample::select(vec!["a-s1", "a-s2", "b-s1", "c-s1"]);
    (server, behaviour).prop_map(|(server, behaviour)| format!("server {server} {behaviour}\n"))
}

fn operator() -> impl Strategy<Value = String> {
    prop_oneof![
        host().prop_map(|host| format!("shutdown {host}\n")),
        host().prop_map(|host| format!("stop {host}\n")),
        host().prop_map(|host| format!("unstop {host}\n")),
        Just(String::from("accept limit=500\n")),
        host().prop_map(|host| format!("offer-old {host}\n")),
    ]
}
