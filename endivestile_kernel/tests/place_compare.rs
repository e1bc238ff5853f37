//! The policies side by side, in virtual time, against a clairvoyant list schedule.

mod place_fake;

use std::collections::HashMap;
use std::sync::Arc;

use endivestile_kernel::{Outcome, Time};
use place_fake::ideal::{Arrival, list_schedule};
use place_fake::{Fake, Mode, order, servers};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: usize = 12;
const SLOTS: u32 = 8;
const POLICIES: [&str; 5] =
    ["earliest", "random", "round-robin", "least-outstanding", "two-choices"];

/// Speeds that differ eightfold.
fn factors() -> Vec<f64> {
    (0..SERVERS).map(|at| [0.5, 1.0, 2.0, 4.0][at % 4]).collect()
}

/// Arrivals at `load` percent of capacity for `secs`: single tasks and jobs of up
/// to 40, sizes from 50 ms to a second, a few of several seconds.
fn trace(load: u32, secs: u64, seed: u64) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let rate: f64 = factors().iter().map(|factor| f64::from(SLOTS) / factor).sum();
    let work = rate * f64::from(load) / 100.0;
    let mut at = 0.0;
    let mut tasks = Vec::new();
    let mut job = 0;
    while at < secs as f64 * 1e6 {
        let count = if rng.random_bool(0.05) { rng.random_range(2..=40) } else { 1 };
        for _ in 0..count {
            let ln = rng.random_range(50_000_f64.ln()..1_000_000_f64.ln());
            let long = rng.random_bool(0.01);
            let size_us = if long { rng.random_range(2e6..5e6) } else { ln.exp() } as u64;
            at += size_us as f64 / work
                * -rng.random_range(f64::MIN_POSITIVE..1.0).ln()
                * f64::from(u8::from(count == 1));
            let at_us = at as u64;
            tasks.push(Arrival { at_us, size_us, deadline_us: at_us + 20_000_000, job });
        }
        if count > 1 {
            let size: u64 = tasks.iter().rev().take(count).map(|task| task.size_us).sum();
            at += size as f64 / work;
        }
        job += 1;
    }
    tasks
}

/// What came of a trace.
struct Run {
    /// Response times of finished tasks, in microseconds.
    times: Vec<u64>,
    /// Tasks not run.
    refused: usize,
    /// Work finished, in microseconds on a back end of factor 1.
    work: u64,
}

fn replay(policy: &str, trace: &[Arrival]) -> Run {
    let mut config = servers(SERVERS, SLOTS);
    config.rules.policy = policy.into();
    let mut fake = Fake::new(config);
    for (at, factor) in factors().into_iter().enumerate() {
        fake.mode(&format!("b{at:04}"), Mode::Works(factor));
    }
    let mut left: HashMap<u64, u16> = HashMap::new();
    for task in trace {
        *left.entry(task.job).or_default() += 1;
    }
    for (run, task) in trace.iter().enumerate() {
        fake.run_until(Time::from_micros(task.at_us));
        let mut order = order(fake.now, run as u64, "a", task.size_us);
        order.deadline = Time::from_micros(task.deadline_us);
        order.left = left[&task.job];
        Arc::make_mut(&mut order.task).declared = (task.size_us / 100) as u32;
        fake.order(order);
    }
    fake.run_ms(60_000);
    let mut run = Run { times: Vec::new(), refused: 0, work: 0 };
    for (at, key, outcome) in &fake.ended {
        let task = trace[key.run as usize];
        if matches!(outcome, Outcome::Done(_)) {
            run.times.push(at.as_micros() - task.at_us);
            run.work += task.size_us;
        } else {
            run.refused += 1;
        }
    }
    run
}

fn quantile(times: &mut [u64], part: f64) -> f64 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * part) as usize] as f64 / 1_000.0
}

// The back ends were bought over many years. A placer that does not know fast
// from slow makes its callers wait for the slow ones while fast ones are free.
#[test]
fn policies_against_ideal() {
    println!(
        "{:>5} {:<18} {:>9} {:>9} {:>9} {:>8}",
        "load", "policy", "p50", "p95", "p99", "refused"
    );
    for load in [30, 60, 80, 95, 110] {
        let trace = trace(load, 60, 5);
        let mut ideal = list_schedule(&trace, &factors(), SLOTS);
        let (p50, p95, p99) =
            (quantile(&mut ideal, 0.5), quantile(&mut ideal, 0.95), quantile(&mut ideal, 0.99));
        println!("{load:>5} {:<18} {p50:>9.0} {p95:>9.0} {p99:>9.0} {:>8}", "list schedule", 0);
        let mut p99s = Vec::new();
        for policy in POLICIES {
            let mut run = replay(policy, &trace);
            let times = &mut run.times;
            let p50 = quantile(times, 0.5);
            let p95 = quantile(times, 0.95);
            let p99 = quantile(times, 0.99);
            println!("{load:>5} {policy:<18} {p50:>9.0} {p95:>9.0} {p99:>9.0} {:>8}", run.refused);
            p99s.push(p99);
        }
        let best = p99s[1..].iter().copied().fold(f64::MAX, f64::min);
        assert!(p99s[0] <= best, "load {load}: p99 {} over {best}", p99s[0]);
    }
}
