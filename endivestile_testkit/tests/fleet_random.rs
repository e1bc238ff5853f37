//! Random scenarios for a fleet: jobs, faults and repairs in virtual time, with every guarantee
//! checked after each step. Callers that get no answer submit their job again, as on the
//! platform.
//!
//! A failing case is shrunk and printed as a story; add that unchanged as a file under `fleet/`.
//! `RANDOM_CASES` sets the number of cases, `RANDOM_SEED` selects other ones.

use std::env;

use endivestile_testkit::run_fleet_story;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// Number of cases unless `RANDOM_CASES` is set, as in CI.
const CASES: u32 = 300;
/// The same for cases in which hosts are lost in pairs, each of which takes many times longer.
const PAIRED_CASES: u32 = 40;
/// Exclusive limit on the steps of one case.
const STEP_LIMIT: usize = 22;
/// Part of a world's first step that enables both mechanisms for workers that change.
const BOTH: &str = " with=capacity-changes,crash-limit";
/// Changes of a worker's capacity, only where hosts expect them.
const CAPACITY: [&str; 5] =
    ["cpu 15000", "cpu 32000", "cpu 45000", "crash 2s 15000", "crash 1s 45000"];
/// Last steps of every case: repair all faults, then wait until every call must be answered.
const FINAL_STEPS: &str = "resume all\nheal\nlose 0\nstore up\nstore slow 4ms\nevacuate a off\n\
     evacuate b off\nevacuate c off\nrun 12s\ncheck\nsettled\n";

#[test]
fn fleet_guarantees_random() {
    check_random(CASES, world(), "", step());
}

/// Guards against messages that are lost or held back while links are reset in series, and against
/// hosts that ignore each other after restarts with their times of day set ahead and back.
#[test]
fn fleet_guarantees_random_series() {
    // Capacities have tests of their own.
    let changes = |step: &String| !CAPACITY.iter().any(|it| step.contains(it));
    check_random(
        CASES,
        world(),
        "",
        prop_oneof![4 => step().prop_filter("capacity", changes), 1 => series()],
    );
}

/// Guards against tasks that run twice because the owner of a full zone and the owner that helps it
/// are lost shortly after one another.
#[test]
fn fleet_guarantees_random_paired_losses() {
    // Capacities have tests of their own.
    let changes = |step: &String| !CAPACITY.iter().any(|it| step.contains(it));
    let steps = prop_oneof![1 => step().prop_filter("capacity", changes), 2 => losses()];
    check_random(PAIRED_CASES, two_zones(), "", steps);
}

/// Guards against a task that runs twice, or a job refused as not run that ran, when jobs are sent
/// to other zones.
#[test]
fn fleet_guarantees_random_zone_balance() {
    check_random(CASES, world(), "with=zone-balance", step());
}

/// Guards against breaches by the search of the whole queue, which is disabled by default.
#[test]
fn fleet_guarantees_random_backfill() {
    check_random(CASES, world(), "with=backfill", step());
}

/// Runs random stories of these steps in worlds with these settings.
fn check_random(
    cases: u32,
    world: impl Strategy<Value = String>,
    settings: &str,
    step: impl Strategy<Value = String>,
) {
    let number = |key: &str| env::var(key).ok().and_then(|text| text.parse::<u64>().ok());
    let cases = number("RANDOM_CASES").map_or(cases, |cases| cases as u32);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut seed = [7; 32];
    seed[..8].copy_from_slice(&number("RANDOM_SEED").unwrap_or(1).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let stories = (world, prop::collection::vec(step, 1..STEP_LIMIT));
    let result = runner.run(&stories, |(world, steps)| {
        // Every caller gets an id of its own, also after shrinking.
        let changes = world.contains("capacity-changes");
        let known = |step: &&String| changes || !CAPACITY.iter().any(|it| step.contains(it));
        let numbered = steps.iter().filter(known).enumerate();
        let body: String = numbered.map(|(at, step)| step.replace('?', &at.to_string())).collect();
        let world = world.trim_end();
        let story = format!("{world} {settings}\n{body}{FINAL_STEPS}");
        let output = run_fleet_story(&story).map_err(TestCaseError::fail)?;
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
    // The last of them has two owners in each zone.
    let sizes = prop::sample::select(vec![(1, 1), (1, 2), (1, 3), (2, 1), (2, 2), (2, 3), (3, 40)]);
    let register = prop::sample::select(vec!["0ms", "3s"]);
    let with = prop::sample::select(vec!["", " with=capacity-changes", " with=crash-limit", BOTH]);
    (zones, sizes, register, with, 0..1_000u32).prop_map(
        |(zones, (hosts, workers), register, with, seed)| {
            format!(
                "world zones={zones} hosts={hosts} workers={workers} register={register} \
                 seed={seed}{with}\n"
            )
        },
    )
}

/// Worlds in which one zone can help another.
fn two_zones() -> impl Strategy<Value = String> {
    (2..4u32, 0..1_000u32).prop_map(|(workers, seed)| {
        format!("world zones=a,b hosts=2 workers={workers} cpu=16000 seed={seed}\n")
    })
}

fn host() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a1", "a2", "a3", "b1", "b2", "c1"])
}

fn zone() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a", "b", "c"])
}

fn worker() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a-w1", "a-w2", "b-w1", "b-w2"])
}

fn place() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["a1", "a2", "b1", "a", "b", "c", "store", "a-w1", "b-w1"])
}

fn span() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["1ms", "20ms", "100ms", "400ms", "700ms", "1s", "3s"])
}

/// Error of a host's time of day at its next start, in starts.
fn clock_error() -> impl Strategy<Value = u32> {
    prop::sample::select(vec![0, 500, 1_000])
}

/// Interval between two resets of a series.
fn interval() -> impl Strategy<Value = &'static str> {
    prop::sample::select(vec!["100ms", "250ms", "400ms", "600ms", "1500ms"])
}

fn step() -> impl Strategy<Value = String> {
    prop_oneof![
        6 => submit(),
        6 => span().prop_map(|span| format!("run {span}\ncheck\n")),
        6 => fault(),
        2 => behaviour(),
    ]
}

fn submit() -> impl Strategy<Value = String> {
    let work = prop::sample::select(vec![20, 200, 900]);
    let deadline = prop::sample::select(vec!["400ms", "2s", "5s"]);
    let times = prop::sample::select(vec![1, 1, 6]);
    let crash = prop::sample::select(vec!["", "", "", "", "", " crash=1ms", " crash=60ms"]);
    (host(), 1..5u32, 1..3u32, work, deadline, times, crash).prop_map(
        |(host, tasks, steps, work, deadline, times, crash)| {
            format!(
                "submit c? at={host} tasks={tasks} steps={steps} ms={work} \
                 deadline={deadline} times={times} every=10ms{crash}\n"
            )
        },
    )
}

fn fault() -> impl Strategy<Value = String> {
    prop_oneof![
        host().prop_map(|host| format!("kill {host}\n")),
        host().prop_map(|host| format!("kill {host}\nrun 500ms\nstart {host}\n")),
        host().prop_map(|host| format!("start {host}\n")),
        host().prop_map(|host| format!("pause {host}\n")),
        Just(String::from("resume all\n")),
        host().prop_map(|host| format!("stop {host}\n")),
        (place(), place()).prop_map(|(a, b)| format!("cut {a} {b}\n")),
        Just(String::from("heal\n")),
        (5..40u32).prop_map(|percent| format!("lose {percent}\n")),
        prop::sample::select(vec!["1ms", "60ms"]).prop_map(|span| format!("jitter {span}\n")),
        Just(String::from("store down\n")),
        Just(String::from("store up\n")),
        (1..4u32).prop_map(|calls| format!("store loses {calls}\n")),
        Just(String::from("store slow 300ms\n")),
        zone().prop_map(|zone| format!("evacuate {zone}\n")),
        zone().prop_map(|zone| format!("evacuate {zone} off\n")),
    ]
}

/// Resets of a host's links in series, or two restarts of a host while its clock is off.
fn series() -> impl Strategy<Value = String> {
    prop_oneof![
        (host(), clock_error(), clock_error()).prop_map(|(host, before, after)| {
            let restart = format!("kill {host}\nrun 300ms\nstart {host}\n");
            format!("clock {host} {before}\n{restart}run 400ms\nclock {host} {after}\n{restart}")
        }),
        (host(), 2..8u32, interval()).prop_map(|(host, times, every)| {
            format!("reset {host} times={times} every={every}\n")
        }),
    ]
}

/// Jobs that fill the first zone, then the loss of a host there and, up to 600 ms before or after, of
/// the hosts of the other zone, or of stops to its workers.
fn losses() -> impl Strategy<Value = String> {
    let loss = prop::sample::select(vec!["kill", "pause"]);
    let helped = (loss, prop::sample::select(vec!["a1", "a2"]))
        .prop_map(|(loss, host)| format!("{loss} {host}\n"));
    let helping = prop::sample::select(vec![
        "pause b1\npause b2\n",
        "kill b1\nkill b2\n",
        "cut a b\n",
        "worker b-w1 late 3s\nworker b-w2 late 3s\n",
    ]);
    let front = prop::sample::select(vec!["a1", "a2"]);
    let spans = (20..1_200u32, 0..600u32, any::<bool>());
    let spread = 0..3u32;
    (front, spread, helped, helping, spans).prop_map(|(front, spread, helped, helping, spans)| {
        let (before, gap, first) = spans;
        let (one, two) = if first { (helping, &*helped) } else { (&*helped, helping) };
        format!(
            "submit c?f at=a1 tasks=3 ms=2000 deadline=5s again=0\n\
             submit c?l at={front} tasks=3 ms=2000 spread={spread} deadline=5s times=2 every=10ms\n\
             run {before}ms\n{one}run {gap}ms\n{two}run 1500ms\ncheck\n\
             resume all\nheal\nworker b-w1 good\nworker b-w2 good\n\
             start a1\nstart a2\nstart b1\nstart b2\nrun 3s\ncheck\n"
        )
    })
}

fn behaviour() -> impl Strategy<Value = String> {
    let behaviours =
        ["good", "dark", "errors", "hangs", "slow 6", "late 3s", "crash", "drains", "speed 2"];
    let behaviours = [&behaviours[..], &["crash 2s"], &CAPACITY].concat();
    (worker(), prop::sample::select(behaviours)).prop_map(|(worker, behaviour)| {
        // Every world has `a-w1`; the smallest have no other worker.
        let worker = if worker.ends_with('2') { "a-w1" } else { worker };
        let worker = if worker.starts_with('b') { "a-w1" } else { worker };
        format!("worker {worker} {behaviour}\n")
    })
}
