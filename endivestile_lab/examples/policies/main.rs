//! What each policy of placing is worth: load at its worst in virtual time, with one policy left out at a time.
//!
//! `cargo run --release -p endivestile_lab --example policies -- --seeds 5`

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::Parser;
use endivestile_config::{Mechanism, Policy};
use endivestile_testkit::{FleetWorld, JobKind, LoadResult};

/// Kinds of jobs: many small ones, some wide ones, a few long ones. One second
/// of this asks for some 80% of what the workers can do.
const KINDS: [JobKind; 3] = [
    JobKind {
        name: "wide",
        rate: 34.0,
        tasks: 8,
        work_ms: 60,
        priority: 0,
        deadline_ms: 2_000,
        estimate_factor: 1.0,
    },
    JobKind {
        name: "long",
        rate: 6.0,
        tasks: 4,
        work_ms: 900,
        priority: 2,
        deadline_ms: 5_000,
        estimate_factor: 1.0,
    },
    JobKind {
        name: "small",
        rate: 100.0,
        tasks: 2,
        work_ms: 200,
        priority: 1,
        deadline_ms: 2_500,
        estimate_factor: 1.0,
    },
];
/// Speeds of the workers, in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// Length of the load, in milliseconds.
const LOAD_MS: u64 = 8_000;

/// Plays load at its worst, with one policy left out at a time.
#[derive(Debug, Parser)]
struct Args {
    /// Seeds played for each, from 1 on.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Only all policies in force.
    #[arg(long)]
    all: bool,
}

/// A pattern of load and trouble.
#[derive(Debug, Clone, Copy)]
struct Pattern {
    name: &'static str,
    /// Times the usual rate.
    rate: f64,
    /// Whether a tenth of the workers hangs and a tenth is slow.
    trouble: bool,
}

const PATTERNS: [Pattern; 4] = [
    Pattern { name: "usual", rate: 0.8, trouble: false },
    Pattern { name: "usual, workers in trouble", rate: 0.8, trouble: true },
    Pattern { name: "burst", rate: 1.7, trouble: false },
    Pattern { name: "burst, workers in trouble", rate: 1.4, trouble: true },
];

fn main() -> ExitCode {
    let args = Args::parse();
    println!("share of jobs served well / late / refused / lost, in percent; well by kind");
    for pattern in &PATTERNS {
        println!("{}", pattern.name);
        row("all", pattern, Policy::default(), args.seeds);
        for mechanism in Mechanism::ALL.into_iter().filter(|_| !args.all) {
            let policy = Policy::default().without(mechanism);
            row(mechanism.label(), pattern, policy, args.seeds);
        }
    }
    ExitCode::SUCCESS
}

fn row(name: &str, pattern: &Pattern, policy: Policy, seeds: u64) {
    let mut sums: BTreeMap<&'static str, LoadResult> = BTreeMap::new();
    for seed in 1..=seeds {
        for (kind, served) in play(pattern, policy, seed) {
            sums.entry(kind).or_default().add(&served);
        }
    }
    let mut all = LoadResult::default();
    sums.values().for_each(|served| all.add(served));
    let part = |count: u32, of: u32| 100.0 * f64::from(count) / f64::from(of.max(1));
    let kinds: Vec<String> = sums
        .iter()
        .map(|(kind, served)| format!("{kind} {:.1}", part(served.in_time, served.submitted)))
        .collect();
    println!(
        "  {name:<14} {:5.1} {:5.1} {:5.1} {:5.1}   {}; refused after {} ms; large {:.1} of {:.1}",
        part(all.in_time, all.submitted),
        part(all.late, all.submitted),
        part(all.refused, all.submitted),
        part(all.lost, all.submitted),
        kinds.join(", "),
        all.refusal_wait_ms / u64::from(all.refused.max(1)),
        part(all.large_done, all.large),
        part(all.in_time + all.late, all.submitted),
    );
}

fn play(pattern: &Pattern, policy: Policy, seed: u64) -> BTreeMap<&'static str, LoadResult> {
    let hosts = [250, 250];
    let mut world = FleetWorld::with_policy(policy, &["a", "b", "c"], &hosts, 16, 32_000, seed);
    world.set_speeds(&SPEEDS);
    world.run(2_000);
    // The fleet learns durations and speeds from a calm start.
    world.run_load(&kinds(0.5), 3_000, seed + 100);
    if pattern.trouble {
        world.degrade_workers(10, 10, 6.0);
    }
    world.run_load(&kinds(pattern.rate), LOAD_MS, seed)
}

fn kinds(times: f64) -> Vec<JobKind> {
    KINDS.iter().map(|kind| JobKind { rate: kind.rate * times, ..*kind }).collect()
}
