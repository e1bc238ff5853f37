//! Random sequences of submissions and faults.
//!
//! `SHARD_CASES` sets the number of cases and `SHARD_SEED` another seed.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::world::{Fate, Run, World, id};

const HOSTS: usize = 4;
const SHARDS: u32 = 2;
const IDS: usize = 6;
/// Cases in CI.
const CASES: u32 = 500;

#[derive(Debug, Clone)]
enum Step {
    Submit(usize, usize),
    Confirm(usize, usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Cut(usize, usize),
    Heal(usize, usize),
    Slow(usize, usize, u64),
    Store(bool),
    LoseAnswers(u32),
    LateWatch(u64),
    Leave(usize),
    Gone(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let host = || 0..HOSTS;
    let pair = || (0..HOSTS, 0..HOSTS);
    prop_oneof![
        8 => (host(), 0..IDS).prop_map(|(host, id)| Step::Submit(host, id)),
        2 => (host(), 0..IDS).prop_map(|(host, id)| Step::Confirm(host, id)),
        2 => host().prop_map(Step::Crash),
        2 => host().prop_map(Step::Restart),
        2 => host().prop_map(Step::Pause),
        3 => host().prop_map(Step::Resume),
        2 => pair().prop_map(|(a, b)| Step::Cut(a, b)),
        3 => pair().prop_map(|(a, b)| Step::Heal(a, b)),
        1 => (host(), host(), 1..200u64).prop_map(|(a, b, ms)| Step::Slow(a, b, ms)),
        1 => any::<bool>().prop_map(Step::Store),
        1 => (1..4u32).prop_map(Step::LoseAnswers),
        1 => (1..5_000u64).prop_map(Step::LateWatch),
        1 => host().prop_map(Step::Leave),
        1 => host().prop_map(Step::Gone),
        10 => prop_oneof![1..10u64, 10..400u64].prop_map(Step::Wait),
        1 => (1_000..20_000u64).prop_map(Step::Wait),
    ]
}

fn apply(world: &mut World, step: &Step) {
    match *step {
        Step::Submit(host, number) => {
            world.submit(host, &id(0, number));
        }
        Step::Confirm(host, number) => {
            world.confirm(host, &id(0, number));
        }
        Step::Crash(host) => world.crash(host),
        Step::Restart(host) => world.restart(host),
        Step::Pause(host) if world.run(host) == Run::Up => world.set_run(host, Run::Paused),
        Step::Resume(host) if world.run(host) == Run::Paused => world.set_run(host, Run::Up),
        Step::Cut(a, b) if a != b => world.set_cut(a, b, true),
        Step::Heal(a, b) => world.set_cut(a, b, false),
        Step::Slow(a, b, ms) => {
            world.delay_ms.insert((a, b), ms);
        }
        Step::Store(up) => world.store_up = up,
        Step::LoseAnswers(count) => world.lose = count,
        Step::LateWatch(ms) => world.watch_ms = ms,
        Step::Leave(host) if world.run(host) == Run::Up => world.leave(host),
        Step::Gone(host) if world.run(host) == Run::Dead => world.declare_gone(host),
        Step::Wait(ms) => world.advance(ms),
        _ => {}
    }
}

/// Ends every fault and checks that each shard serves again.
fn recover(world: &mut World) {
    world.store_up = true;
    world.lose = 0;
    world.cut.clear();
    world.delay_ms.clear();
    world.watch_ms = 5;
    for host in 0..HOSTS {
        match world.run(host) {
            Run::Paused => world.set_run(host, Run::Up),
            Run::Dead => world.restart(host),
            Run::Up if world.is_leaving(host) => world.restart(host),
            Run::Up => {}
        }
    }
    // Longer than a claim waits.
    world.advance(30_000);
    // Dated above every floor.
    let fresh: Vec<_> = (0..8).map(|number| id(world.now + 200_000, 100 + number)).collect();
    for id in &fresh {
        let ticket = world.submit(0, id);
        world.advance(50);
        assert_eq!(world.fates.get(&ticket), Some(&Fate::Started), "{id} not served");
    }
}

// Anything may fail at any moment, together or twice. Whatever comes, no id
// may start twice, "not run" may not be said of an id that ran, and when the
// faults are over every shard must serve again.
#[test]
fn sequence_never_starts_twice() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = number("SHARD_CASES").map_or(CASES, |cases: u64| cases as u32);
    let mut seed = [7; 32];
    seed[..8].copy_from_slice(&number("SHARD_SEED").unwrap_or(0).to_le_bytes());
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = proptest::collection::vec(step(), 1..80);
    let result = runner.run(&steps, |steps| {
        let mut world = World::new(&[0, 0, 1, 1], SHARDS);
        world.advance(800);
        for step in &steps {
            apply(&mut world, step);
        }
        recover(&mut world);
        Ok(())
    });
    if let Err(failure) = result {
        panic!("{failure}");
    }
}
