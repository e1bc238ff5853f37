//! Arrival traces generated from fixed seeds.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const SERVERS: usize = 12;
pub const SLOTS: u32 = 8;
/// One task of a trace.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    pub at_us: u64,
    pub size_us: u64,
    pub deadline_us: u64,
    pub declared_ms: u32,
    pub job: u64,
}

/// Returns run time factors that differ up to eightfold.
pub fn factors() -> Vec<f64> {
    (0..SERVERS).map(|at| [0.5, 1.0, 2.0, 4.0][at % 4]).collect()
}

/// Returns arrivals at `load` percent of capacity for `secs` seconds: single tasks
/// and jobs of up to 40, with sizes from 50 ms to 1 s and 1% of 2 to 5 s.
pub fn trace(load: u32, secs: u64, seed: u64) -> Vec<Arrival> {
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
            let declared_ms = declare(&mut rng, size_us);
            tasks.push(Arrival {
                at_us,
                size_us,
                deadline_us: at_us + 20_000_000,
                declared_ms,
                job,
            });
        }
        if count > 1 {
            let size: u64 = tasks.iter().rev().take(count).map(|task| task.size_us).sum();
            at += size as f64 / work;
        }
        job += 1;
    }
    tasks
}

/// Returns a declared run time: 30% are unrelated to the actual one, the others
/// deviate by up to a factor of five around three times the actual one.
fn declare(rng: &mut SmallRng, size_us: u64) -> u32 {
    if rng.random_bool(0.3) {
        return rng.random_range(10..20_000);
    }
    (size_us as f64 / 1_000.0 * 3.0 * rng.random_range(-1.6_f64..1.6).exp()) as u32
}
