//! Admission by forecast under demand of 2.4 times the usual, in virtual time: three zones of
//! sixteen workers each, of which two tasks fill one.
//!
//! `cargo test --release -p endivestile_testkit --test fleet_admission -- --nocapture` prints the
//! results by kind of job.

use std::collections::BTreeMap;

use endivestile_config::{Mechanism, Policy};
use endivestile_testkit::{FleetWorld, JobKind, LoadResult};

/// Kinds of jobs in the users' proportions of work. Together they use about 70% of the capacity.
const KINDS: [JobKind; 3] = [
    kind("short", 34.0, 8, 60, 0, 1_000),
    kind("long", 6.0, 4, 900, 2, 5_000),
    kind("medium", 100.0, 2, 200, 1, 1_500),
];

const fn kind(
    name: &'static str,
    rate: f64,
    tasks: u16,
    work_ms: u64,
    priority: u32,
    deadline_ms: u64,
) -> JobKind {
    JobKind {
        name,
        rate,
        tasks,
        work_ms,
        priority,
        deadline_ms,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    }
}

type Results = BTreeMap<&'static str, LoadResult>;

fn kinds(factor: f64) -> Vec<JobKind> {
    KINDS.iter().map(|kind| JobKind { rate: kind.rate * factor, ..*kind }).collect()
}

/// Number of seeds over which results are summed; those of single seeds scatter.
const SEEDS: u64 = 2;

/// Results of a load and the number of jobs rejected beside a free worker, over all seeds.
fn play(policy: Policy, kinds: &[JobKind]) -> (Results, u32) {
    let mut total = (Results::new(), 0);
    for seed in 1..=SEEDS {
        let mut world =
            FleetWorld::with_policy(policy, &["a", "b", "c"], &[250, 250], 16, 32_000, seed);
        world.set_speeds(&[0.6, 1.0, 1.6]);
        world.run(2_000);
        let usual = kinds.iter().zip(KINDS);
        let usual: Vec<JobKind> =
            usual.map(|(kind, usual)| JobKind { rate: usual.rate * 0.7, ..*kind }).collect();
        world.run_load(&usual, 3_000, seed + 100);
        for (kind, served) in world.run_load(kinds, 8_000, seed) {
            total.0.entry(kind).or_default().add(&served);
        }
        total.1 += world.rejected_beside_free();
        assert_eq!(world.breaches(), Vec::<String>::new());
    }
    total
}

fn forecast() -> Policy {
    Policy::default().with(Mechanism::Forecast)
}

/// Returns the mean worth of the kinds; a job that ends late is worth a fifth.
fn worth(results: &Results) -> f64 {
    let own = |it: &LoadResult| {
        (f64::from(it.in_time) + f64::from(it.late) / 5.0) / f64::from(it.submitted)
    };
    results.values().map(own).sum::<f64>() / results.len() as f64
}

/// Returns the share of the jobs that completed.
fn served<'a>(results: impl Iterator<Item = &'a LoadResult>) -> f64 {
    let sum =
        results.fold((0, 0), |(done, all), it| (done + it.in_time + it.late, all + it.submitted));
    f64::from(sum.0) / f64::from(sum.1)
}

fn print(title: &str, results: &Results, beside_free: u32) {
    for (kind, it) in results {
        println!("{title} {kind}: {it:?}");
    }
    println!("{title}: worth {:.3}, {beside_free} rejected beside free workers", worth(results));
}

/// Without contention the mechanism changes the fate of no job.
#[test]
fn admission_calm() {
    let (off, _) = play(Policy::default(), &kinds(0.7));
    let (on, _) = play(forecast(), &kinds(0.7));
    assert_eq!(on, off);
}

/// At 2.4 times the usual load the mechanism costs no worth, no kind of job and no size of it is
/// starved, and no job is held until its deadline without being tried.
#[test]
fn admission_burst() {
    let (off, off_free) = play(Policy::default(), &kinds(2.4));
    let (on, on_free) = play(forecast(), &kinds(2.4));
    print("off", &off, off_free);
    print("on", &on, on_free);
    assert!(worth(&on) >= worth(&off));
    let all = served(on.values());
    for (kind, it) in &on {
        let own = served(std::iter::once(it));
        let largest = f64::from(it.large_done) / f64::from(it.large);
        assert!(own >= all / 2.0, "{kind}: {own:.2} of them, {all:.2} of all");
        assert!(largest >= all / 2.0, "{kind}: {largest:.2} of the largest, {all:.2} of all");
        assert!(f64::from(it.refused_late) < 0.01 * f64::from(it.submitted));
    }
}

/// Callers learn within a quarter of their objective that their job is rejected, 99 of 100 of
/// them.
#[test]
fn admission_target_rejection_time() {
    let (on, _) = play(forecast(), &kinds(2.4));
    for (kind, it) in &on {
        let slowly = f64::from(it.refused_slowly) / f64::from(it.refused.max(1));
        println!("{kind}: {} of {} rejected slowly", it.refused_slowly, it.refused);
        assert!(slowly < 0.01, "{kind}: {slowly:.3} of the rejections");
    }
}

/// Hardly any job is rejected while a worker of the owner is free for its first step.
#[test]
fn admission_target_beside_free() {
    let (on, beside_free) = play(forecast(), &kinds(2.4));
    let submitted: u32 = on.values().map(|it| it.submitted).sum();
    println!("{beside_free} of {submitted} rejected beside free workers");
    assert!(f64::from(beside_free) < 0.01 * f64::from(submitted));
}

/// Estimates of four times the real duration do not cause jobs to be rejected that the workers
/// can do: the durations are corrected by the jobs that are admitted.
#[test]
fn admission_estimates_long() {
    let kinds: Vec<JobKind> =
        kinds(0.9).into_iter().map(|kind| JobKind { estimate_factor: 4.0, ..kind }).collect();
    let (off, _) = play(Policy::default(), &kinds);
    let (on, _) = play(forecast(), &kinds);
    print("long estimates off", &off, 0);
    print("long estimates on", &on, 0);
    assert!(worth(&on) >= worth(&off) - 0.03);
}
