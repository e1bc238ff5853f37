//! Random steps: what must hold after any of them.

mod place_fake;

use std::collections::{BTreeMap, BTreeSet};

use endivestile_kernel::{HostState, Target};
use place_fake::{Fake, Mode, add_worker, for_target, need, order, servers, service, view};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use test_case::test_case;

const SERVERS: usize = 6;
const SLOTS: usize = 3;
const CPU: u32 = 8_000;

const MODES: [Mode; 8] = [
    Mode::Works(1.0),
    Mode::Works(5.0),
    Mode::Works(0.2),
    Mode::Fails,
    Mode::Down,
    Mode::Busy,
    Mode::Leaving,
    Mode::Loses,
];

fn fake() -> Fake {
    let mut config = servers(SERVERS, SLOTS as u32);
    for at in 0..4 {
        add_worker(&mut config, &format!("w{at}"), CPU, at % 2 * 2);
    }
    config.rules.queue_limit = 200;
    Fake::new(config)
}

fn target(rng: &mut SmallRng) -> Target {
    match rng.random_range(0..4) {
        0 => need(rng.random_range(1..=CPU), 0),
        1 => need(rng.random_range(1..=CPU / 2), rng.random_range(1..=2)),
        _ => service(),
    }
}

fn step(fake: &mut Fake, rng: &mut SmallRng, next: &mut u64, dropped: &mut BTreeSet<u64>) {
    let server = format!("b{:04}", rng.random_range(0..SERVERS));
    match rng.random_range(0..100) {
        0..60 => {
            let team = ["a", "b", "c"][rng.random_range(0..3)];
            let mut order = order(fake.now, *next, team, rng.random_range(1_000..400_000));
            order.deadline = fake.now.after_ms(rng.random_range(10..4_000));
            fake.order(for_target(order, target(rng)));
            *next += 1;
        }
        60..70 if *next > 0 => {
            let run = rng.random_range(0..*next);
            if fake.outcome(run).is_none() {
                dropped.insert(run);
            }
            fake.drop_task(run);
        }
        70..74 => fake.mode(&server, MODES[rng.random_range(0..MODES.len())]),
        74..76 => fake.leaving(&server, rng.random_bool(0.4)),
        76 => {
            let mut other = view(&[("h0", 1), ("h1", 1)]);
            if let Some(host) = other.hosts.get_mut("h1").filter(|_| rng.random_bool(0.6)) {
                host.state = HostState::Suspect;
            }
            fake.see(other);
        }
        77 => {
            fake.config.revision += 1;
            fake.configure();
        }
        _ => fake.run_ms(rng.random_range(0..40)),
    }
}

fn check(fake: &Fake) {
    let mut used: BTreeMap<&str, (usize, u32)> = BTreeMap::new();
    for (name, cpu) in fake.running.values() {
        let (tasks, sum) = used.entry(name.as_ref()).or_default();
        *tasks += 1;
        *sum += cpu;
    }
    for (name, (tasks, cpu)) in used {
        let fits = if name.starts_with('b') { tasks <= SLOTS } else { cpu <= CPU };
        assert!(fits, "{name} runs {tasks} tasks on {cpu}");
    }
}

// Orders, cancellations, failures, leaving back ends and changes of the share
// come in any order. A slot that is counted wrong shows as a back end with too
// many tasks or one that stands idle; a lost task as a caller that waits for ever.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn random_steps(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fake = fake();
    let (mut next, mut dropped) = (0, BTreeSet::new());
    for _ in 0..4_000 {
        step(&mut fake, &mut rng, &mut next, &mut dropped);
        check(&fake);
    }
    for at in 0..SERVERS {
        fake.mode(&format!("b{at:04}"), Mode::Works(1.0));
        fake.leaving(&format!("b{at:04}"), false);
    }
    fake.see(view(&[("h0", 1)]));
    fake.run_ms(60_000);
    assert!(fake.placer.is_idle());
    let ended: Vec<u64> = fake.ended.iter().map(|(_, key, _)| key.run).collect();
    let once: BTreeSet<u64> = ended.iter().copied().collect();
    assert_eq!(once.len(), ended.len(), "a task ended twice");
    let missing: Vec<u64> =
        (0..next).filter(|run| !once.contains(run) && !dropped.contains(run)).collect();
    assert!(missing.is_empty(), "never ended: {missing:?}");
    for status in fake.placer.status(fake.now) {
        assert_eq!(status.waiting, 0);
    }
    fake.orders(1_000_000, (SERVERS * SLOTS) as u64, "a", 1_000);
    fake.run_ms(60_000);
    assert!((1_000_000..1_000_000 + 18).all(|run| fake.outcome(run).is_some()));
}
