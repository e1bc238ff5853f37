//! Random steps and the invariants after each of them.

mod place_fake;

use std::collections::{BTreeMap, BTreeSet};

use endivestile_kernel::{HostState, Target};
use place_fake::{
    Mode, Simulation, add_worker, for_target, need, new_order, servers, service, view,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const SERVERS: usize = 6;
const SLOTS: usize = 3;
const CPU: u32 = 8_000;

const MODES: [Mode; 8] = [
    Mode::Runs(1.0),
    Mode::Runs(5.0),
    Mode::Runs(0.2),
    Mode::Fails,
    Mode::Refuses,
    Mode::Busy,
    Mode::Leaving,
    Mode::LosesAnswer,
];

fn simulation() -> Simulation {
    let mut config = servers(SERVERS, SLOTS as u32);
    for at in 0..4 {
        add_worker(&mut config, &format!("w{at}"), CPU, at % 2 * 2);
    }
    config.rules.queue_limit = 200;
    Simulation::new(config)
}

fn target(rng: &mut SmallRng) -> Target {
    match rng.random_range(0..4) {
        0 => need(rng.random_range(1..=CPU), 0),
        1 => need(rng.random_range(1..=CPU / 2), rng.random_range(1..=2)),
        _ => service(),
    }
}

fn step(sim: &mut Simulation, rng: &mut SmallRng, next: &mut u64, dropped: &mut BTreeSet<u64>) {
    let server = format!("b{:04}", rng.random_range(0..SERVERS));
    match rng.random_range(0..100) {
        0..60 => {
            let team = ["a", "b", "c"][rng.random_range(0..3)];
            let mut order = new_order(sim.now, *next, team, rng.random_range(1_000..400_000));
            order.deadline = sim.now.after_ms(rng.random_range(10..4_000));
            sim.submit(for_target(order, target(rng)));
            *next += 1;
        }
        60..70 if *next > 0 => {
            let run = rng.random_range(0..*next);
            if sim.outcome(run).is_none() {
                dropped.insert(run);
            }
            sim.drop_task(run);
        }
        70..74 => sim.set_mode(&server, MODES[rng.random_range(0..MODES.len())]),
        74..76 => sim.set_leaving(&server, rng.random_bool(0.4)),
        76 => {
            let mut other = view(&[("h0", 1), ("h1", 1)]);
            if let Some(host) = other.hosts.get_mut("h1").filter(|_| rng.random_bool(0.6)) {
                host.state = HostState::Suspect;
            }
            sim.set_view(other);
        }
        77 => {
            sim.config.revision += 1;
            sim.configure();
        }
        _ => sim.run_ms(rng.random_range(0..40)),
    }
}

fn check(sim: &Simulation) {
    let mut used: BTreeMap<&str, (usize, u32)> = BTreeMap::new();
    for (name, cpu) in sim.running.values() {
        let (tasks, sum) = used.entry(name.as_ref()).or_default();
        *tasks += 1;
        *sum += cpu;
    }
    for (name, (tasks, cpu)) in used {
        let fits = if name.starts_with('b') { tasks <= SLOTS } else { cpu <= CPU };
        assert!(fits, "{name} runs {tasks} tasks on {cpu}");
    }
}

// Orders, cancellations, failures, leaving backends and share changes in random
// order. A miscounted slot shows as a backend with too many tasks or one that
// stays idle; a lost task as one that never ends.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn random_steps(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sim = simulation();
    let (mut next, mut dropped) = (0, BTreeSet::new());
    for _ in 0..4_000 {
        step(&mut sim, &mut rng, &mut next, &mut dropped);
        check(&sim);
    }
    for at in 0..SERVERS {
        sim.set_mode(&format!("b{at:04}"), Mode::Runs(1.0));
        sim.set_leaving(&format!("b{at:04}"), false);
    }
    sim.set_view(view(&[("h0", 1)]));
    sim.run_ms(60_000);
    assert!(sim.placer.is_idle());
    let ended: Vec<u64> = sim.ended.iter().map(|(_, key, _)| key.run).collect();
    let once: BTreeSet<u64> = ended.iter().copied().collect();
    assert_eq!(once.len(), ended.len(), "a task ended twice");
    let missing: Vec<u64> =
        (0..next).filter(|run| !once.contains(run) && !dropped.contains(run)).collect();
    assert!(missing.is_empty(), "never ended: {missing:?}");
    for status in sim.placer.status(sim.now) {
        assert_eq!(status.waiting, 0);
    }
    sim.submit_many(1_000_000, (SERVERS * SLOTS) as u64, "a", 1_000);
    sim.run_ms(60_000);
    assert!((1_000_000..1_000_000 + 18).all(|run| sim.outcome(run).is_some()));
}
