//! Effect of each scheduling mechanism: results of usual load and of bursts in virtual time,
//! with all mechanisms enabled and with each one disabled in turn.
//!
//! `cargo run --release -p endivestile_lab --example policies -- --seeds 5`

use std::collections::BTreeMap;
use std::process::ExitCode;

use clap::Parser;
use endivestile_config::{Mechanism, Policy};
use endivestile_testkit::{FleetWorld, JobKind, LoadResult};

/// Kinds of jobs: many small ones, some wide ones, a few long ones. At a rate factor of 1 they
/// use about 80% of the workers' capacity.
const KINDS: [JobKind; 3] = [
    JobKind {
        name: "wide",
        rate: 34.0,
        tasks: 8,
        work_ms: 60,
        cpu_milli: (11_000, 17_000),
        priority: 0,
        deadline_ms: 2_000,
        estimate_factor: 1.0,
    },
    JobKind {
        name: "long",
        rate: 6.0,
        tasks: 4,
        work_ms: 900,
        cpu_milli: (11_000, 17_000),
        priority: 2,
        deadline_ms: 5_000,
        estimate_factor: 1.0,
    },
    JobKind {
        name: "small",
        rate: 100.0,
        tasks: 2,
        work_ms: 200,
        cpu_milli: (11_000, 17_000),
        priority: 1,
        deadline_ms: 2_500,
        estimate_factor: 1.0,
    },
];
/// Speeds of the workers, assigned in turn.
const SPEEDS: [f64; 3] = [0.7, 0.7, 1.7];
/// Duration of the load, in milliseconds.
const LOAD_MS: u64 = 8_000;

/// Measures the effect of each scheduling mechanism.
#[derive(Debug, Parser)]
struct Args {
    /// Number of seeds for each row, starting at 1.
    #[arg(long, default_value_t = 5)]
    seeds: u64,
    /// Only measure with all mechanisms enabled.
    #[arg(long)]
    all: bool,
}

/// A pattern of load and worker faults.
#[derive(Debug, Clone, Copy)]
struct Pattern {
    name: &'static str,
    /// Factor of the rates of [`KINDS`].
    rate: f64,
    /// Whether a tenth of the workers hangs and another tenth is slow.
    faulty_workers: bool,
}

const PATTERNS: [Pattern; 4] = [
    Pattern { name: "usual", rate: 0.8, faulty_workers: false },
    Pattern { name: "usual, workers in trouble", rate: 0.8, faulty_workers: true },
    Pattern { name: "burst", rate: 1.7, faulty_workers: false },
    Pattern { name: "burst, workers in trouble", rate: 1.4, faulty_workers: true },
];

fn main() -> ExitCode {
    let args = Args::parse();
    println!("share of jobs served well / late / refused / lost, in percent; well by kind");
    for pattern in &PATTERNS {
        println!("{}", pattern.name);
        print_row("all", pattern, Policy::default(), args.seeds);
        for mechanism in Mechanism::ALL.into_iter().filter(|_| !args.all) {
            let policy = Policy::default().without(mechanism);
            print_row(mechanism.label(), pattern, policy, args.seeds);
        }
    }
    ExitCode::SUCCESS
}

/// Prints the results of a pattern under a policy, summed over all seeds.
fn print_row(name: &str, pattern: &Pattern, policy: Policy, seeds: u64) {
    let mut sums: BTreeMap<&'static str, LoadResult> = BTreeMap::new();
    for seed in 1..=seeds {
        for (kind, result) in run_pattern(pattern, policy, seed) {
            sums.entry(kind).or_default().add(&result);
        }
    }
    let mut all = LoadResult::default();
    sums.values().for_each(|result| all.add(result));
    let percent = |count: u32, of: u32| 100.0 * f64::from(count) / f64::from(of.max(1));
    let kinds: Vec<String> = sums
        .iter()
        .map(|(kind, result)| format!("{kind} {:.1}", percent(result.in_time, result.submitted)))
        .collect();
    println!(
        "  {name:<14} {:5.1} {:5.1} {:5.1} {:5.1}   {}; refused after {} ms; large {:.1} of {:.1}",
        percent(all.in_time, all.submitted),
        percent(all.late, all.submitted),
        percent(all.refused, all.submitted),
        percent(all.lost, all.submitted),
        kinds.join(", "),
        all.refusal_wait_ms / u64::from(all.refused.max(1)),
        percent(all.large_done, all.large),
        percent(all.in_time + all.late, all.submitted),
    );
}

/// Runs a pattern with one seed; returns the results by kind of job.
fn run_pattern(pattern: &Pattern, policy: Policy, seed: u64) -> BTreeMap<&'static str, LoadResult> {
    let hosts = [250, 250];
    let mut world = FleetWorld::with_policy(policy, &["a", "b", "c"], &hosts, 16, 32_000, seed);
    world.set_speeds(&SPEEDS);
    world.run(2_000);
    // Light load first, from which the hosts learn durations and speeds.
    world.run_load(&scaled_kinds(0.5), 3_000, seed + 100);
    if pattern.faulty_workers {
        world.degrade_workers(10, 10, 6.0);
    }
    world.run_load(&scaled_kinds(pattern.rate), LOAD_MS, seed)
}

/// Returns all kinds of jobs with their rates multiplied by `factor`.
fn scaled_kinds(factor: f64) -> Vec<JobKind> {
    KINDS.iter().map(|kind| JobKind { rate: kind.rate * factor, ..*kind }).collect()
}
