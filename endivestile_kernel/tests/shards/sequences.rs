//! Random sequences of submissions and faults.
//!
//! `SHARD_CASES` sets the number of cases, `SHARD_SEED` the seed.

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use crate::world::{ProcessState, TicketResult, World, id};

const HOSTS: usize = 4;
const SHARDS: u32 = 2;
const IDS: usize = 6;
/// Number of cases by default.
const CASES: u32 = 500;

#[derive(Debug, Clone)]
enum Step {
    Submit(usize, usize),
    Confirm(usize, usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Partition(usize, usize),
    Heal(usize, usize),
    Delay(usize, usize, u64),
    Store(bool),
    LoseReplies(u32),
    DelayWatch(u64),
    Drain(usize),
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
        2 => pair().prop_map(|(a, b)| Step::Partition(a, b)),
        3 => pair().prop_map(|(a, b)| Step::Heal(a, b)),
        1 => (host(), host(), 1..200u64).prop_map(|(a, b, ms)| Step::Delay(a, b, ms)),
        1 => any::<bool>().prop_map(Step::Store),
        1 => (1..4u32).prop_map(Step::LoseReplies),
        1 => (1..5_000u64).prop_map(Step::DelayWatch),
        1 => host().prop_map(Step::Drain),
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
            world.confirm_not_run(host, &id(0, number));
        }
        Step::Crash(host) => world.crash(host),
        Step::Restart(host) => world.restart(host),
        Step::Pause(host) if world.process(host) == ProcessState::Running => {
            world.set_process(host, ProcessState::Paused)
        }
        Step::Resume(host) if world.process(host) == ProcessState::Paused => {
            world.set_process(host, ProcessState::Running)
        }
        Step::Partition(a, b) if a != b => world.set_partition(a, b, true),
        Step::Heal(a, b) => world.set_partition(a, b, false),
        Step::Delay(a, b, ms) => {
            world.delay_ms.insert((a, b), ms);
        }
        Step::Store(up) => world.store_up = up,
        Step::LoseReplies(count) => world.lost_replies = count,
        Step::DelayWatch(ms) => world.watch_delay_ms = ms,
        Step::Drain(host) if world.process(host) == ProcessState::Running => world.drain(host),
        Step::Gone(host) if world.process(host) == ProcessState::Crashed => {
            world.declare_gone(host)
        }
        Step::Wait(ms) => world.advance(ms),
        _ => {}
    }
}

/// Ends all faults and checks that each shard serves again.
fn recover(world: &mut World) {
    world.store_up = true;
    world.lost_replies = 0;
    world.partitions.clear();
    world.delay_ms.clear();
    world.watch_delay_ms = 5;
    for host in 0..HOSTS {
        match world.process(host) {
            ProcessState::Paused => world.set_process(host, ProcessState::Running),
            ProcessState::Crashed => world.restart(host),
            ProcessState::Running if world.is_draining(host) => world.restart(host),
            ProcessState::Running => {}
        }
    }
    // Longer than the claim delay.
    world.advance(30_000);
    // Dated after every floor.
    let fresh: Vec<_> = (0..8).map(|number| id(world.now_ms + 200_000, 100 + number)).collect();
    for id in &fresh {
        let ticket = world.submit(0, id);
        world.advance(50);
        assert_eq!(world.results.get(&ticket), Some(&TicketResult::Started), "{id} not served");
    }
}

// Under any combination of faults no id may start twice and no id that ran may
// be answered "not run". After the faults every shard must serve again.
#[test]
fn random_faults_never_start_twice() {
    let env_number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let cases = env_number("SHARD_CASES").map_or(CASES, |cases: u64| cases as u32);
    let mut seed = [7; 32];
    seed[..8].copy_from_slice(&env_number("SHARD_SEED").unwrap_or(0).to_le_bytes());
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
