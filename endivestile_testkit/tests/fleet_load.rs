//! Queueing, load shedding and placement under heavy load on three zones of sixteen workers
//! each, in virtual time.
//!
//! `cargo test --release -p endivestile_testkit --test fleet_load -- --nocapture`
//! prints the results by kind of job.

use std::collections::BTreeMap;

use endivestile_config::{Mechanism, Policy};
use endivestile_testkit::{FleetWorld, JobKind, LoadResult};
use test_case::test_case;

/// Kinds of jobs: many small ones, some wide ones, a few long ones. Together they use about
/// 70% of the workers' capacity.
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

/// Returns the kinds with their rates scaled by a factor.
fn kinds(factor: f64) -> Vec<JobKind> {
    KINDS.iter().map(|kind| JobKind { rate: kind.rate * factor, ..*kind }).collect()
}

fn world() -> FleetWorld {
    let mut world = FleetWorld::new(&["a", "b", "c"], 2, 16, 32_000, 7);
    world.set_speeds(&[0.6, 1.0, 1.6]);
    world.run(2_000);
    // Under light load the schedulers learn durations and speeds.
    world.run_load(&kinds(0.5), 3_000, 1);
    world
}

/// Returns the share of all jobs that `part` counts.
fn share(served: &BTreeMap<&'static str, LoadResult>, part: impl Fn(&LoadResult) -> u32) -> f64 {
    let submitted: u32 = served.values().map(|kind| kind.submitted).sum();
    f64::from(served.values().map(part).sum::<u32>()) / f64::from(submitted)
}

fn print(title: &str, served: &BTreeMap<&'static str, LoadResult>) {
    for (kind, served) in served {
        println!("{title} {kind}: {served:?}");
    }
}

/// Under normal load nearly all jobs meet their objective.
#[test]
fn load_calm() {
    let mut world = world();
    let served = world.run_load(&kinds(0.7), 6_000, 2);
    print("calm", &served);
    assert!(share(&served, |kind| kind.in_time) > 0.97);
    assert_eq!(world.breaches(), Vec::<String>::new());
}

/// A burst of 1.9 times the usual load for six seconds. Most jobs meet their objective,
/// refusals come long before the deadline, and hardly any started job is given up, which
/// would waste its work and its caller's time.
#[test]
fn load_burst() {
    let mut world = world();
    let served = world.run_load(&kinds(1.9), 6_000, 3);
    print("burst", &served);
    assert!(share(&served, |kind| kind.in_time) > 0.55);
    assert!(share(&served, |kind| kind.lost) < 0.01);
    assert!(share(&served, |kind| kind.refused_late) < 0.03);
    // Wide jobs have the highest priority.
    assert!(served["wide"].in_time > 250);
    assert_eq!(world.breaches(), Vec::<String>::new());
}

/// A burst while one worker in ten hangs and one in ten is six times slower. Their runs are
/// restarted elsewhere and they get only probes; otherwise the free capacity would be that of
/// hanging workers, and jobs would run into their deadlines.
#[test]
fn load_burst_workers_hang() {
    let mut world = world();
    world.degrade_workers(10, 10, 6.0);
    let served = world.run_load(&kinds(1.5), 6_000, 4);
    print("hang", &served);
    assert!(share(&served, |kind| kind.in_time) > 0.4);
    assert!(share(&served, |kind| kind.lost) < 0.02);
    assert_eq!(world.breaches(), Vec::<String>::new());
}

/// A network partition separates one zone under normal load. Each side goes on serving its
/// callers with its own workers.
#[test]
fn load_zone_cut() {
    let mut world = world();
    world.cut("a", "b");
    world.cut("a", "c");
    world.cut("a", "store");
    let served = world.run_load(&kinds(0.8), 5_000, 5);
    print("cut", &served);
    assert!(share(&served, |kind| kind.in_time + kind.late) > 0.9);
    assert_eq!(world.breaches(), Vec::<String>::new());
}

/// Worker speeds: one third is about two and a half times as fast as the others.
const UNEVEN: [f64; 3] = [0.7, 0.7, 1.7];
/// Number of seeds over which policies are compared; the results of single seeds scatter.
const SEEDS: u64 = 4;

/// Sums the results of a load on workers of uneven speed over all seeds. With `trouble` a
/// tenth of the workers hangs and a tenth is slow.
fn uneven(policy: Policy, kinds: &[JobKind], trouble: bool) -> BTreeMap<&'static str, LoadResult> {
    let mut total: BTreeMap<&'static str, LoadResult> = BTreeMap::new();
    for seed in 1..=SEEDS {
        let mut world =
            FleetWorld::with_policy(policy, &["a", "b", "c"], &[250, 250], 16, 32_000, seed);
        world.set_speeds(&UNEVEN);
        world.run(2_000);
        world.run_load(&at_half(kinds), 3_000, seed + 100);
        if trouble {
            world.degrade_workers(10, 10, 6.0);
        }
        for (kind, served) in world.run_load(kinds, 6_000, seed) {
            total.entry(kind).or_default().add(&served);
        }
        assert_eq!(world.breaches(), Vec::<String>::new());
    }
    total
}

/// Returns the kinds at half their usual rate.
fn at_half(kinds: &[JobKind]) -> Vec<JobKind> {
    KINDS
        .iter()
        .zip(kinds)
        .map(|(usual, kind)| JobKind { rate: usual.rate / 2.0, ..*kind })
        .collect()
}

/// Callers estimate a third of the real duration. If schedulers relied on that, every job
/// would seem to meet its objective on any worker and be started too late.
#[test]
fn load_estimates_short() {
    let kinds: Vec<JobKind> =
        kinds(1.2).into_iter().map(|kind| JobKind { estimate_factor: 0.35, ..kind }).collect();
    let without = uneven(Policy::default().without(Mechanism::Durations), &kinds, false);
    let with = uneven(Policy::default(), &kinds, false);
    let (with, without) = (share(&with, |kind| kind.in_time), share(&without, |kind| kind.in_time));
    println!("durations: well {without:.3} without, {with:.3} with");
    assert!(with >= without + 0.02);
}

/// Each mechanism raises the share of jobs that meet their objective by at least `gain`
/// under the load that it is made for. The bounds are above the variation between seeds,
/// about 0.01.
#[test_case(Mechanism::Fitting, 1.7, false, 0.03; "fitting_burst")]
#[test_case(Mechanism::Fitting, 0.8, true, 0.02; "fitting_trouble")]
#[test_case(Mechanism::Reserve, 1.7, false, 0.02; "reserve_burst")]
#[test_case(Mechanism::LeastWork, 1.7, false, 0.02; "least_work_burst")]
#[test_case(Mechanism::Stalls, 0.8, true, 0.03; "stalls_trouble")]
#[test_case(Mechanism::Speeds, 1.7, false, 0.03; "speeds_burst")]
fn load_policy(mechanism: Mechanism, factor: f64, trouble: bool, gain: f64) {
    let kinds = kinds(factor);
    let with = uneven(Policy::default(), &kinds, trouble);
    let without = uneven(Policy::default().without(mechanism), &kinds, trouble);
    let (with, without) = (share(&with, |kind| kind.in_time), share(&without, |kind| kind.in_time));
    println!("{}: well {without:.3} without, {with:.3} with", mechanism.label());
    assert!(with >= without + gain);
}

/// Under overload small jobs go first, but the largest tenth of each kind still completes
/// more than half as often as the kind, so that callers with much work are not starved.
#[test]
fn load_burst_largest() {
    let served = uneven(Policy::default(), &kinds(1.7), false);
    print("largest", &served);
    for (kind, served) in &served {
        let done = f64::from(served.in_time + served.late) / f64::from(served.submitted);
        let large = f64::from(served.large_done) / f64::from(served.large);
        assert!(large > done / 2.0, "{kind}: {large:.2} of the largest, {done:.2} of all");
    }
}

/// Capacities of workers on which two or three tasks of [`scarce_kinds`] fit.
const SCARCE_CAPACITIES: [u32; 2] = [64_000, 96_000];
/// Number of these workers in each zone, all owned by one host.
const SCARCE_WORKERS: u64 = 24;
/// Speeds of these workers.
const SCARCE_SPEEDS: [f64; 3] = [0.6, 1.0, 1.6];
/// Worth of a job of each kind that ends within its objective.
const WORTH: [(&str, f64); 3] = [("wide", 0.00485), ("long", 0.0267), ("small", 0.00167)];

/// Returns jobs with large tasks, which use the workers fully at a factor of about 1.
fn scarce_kinds(factor: f64) -> Vec<JobKind> {
    let rates = [("wide", 206.0), ("long", 37.5), ("small", 600.0)];
    let per_s = 2.7 * 3.0 * SCARCE_WORKERS as f64 * factor / 843.5;
    let kinds = KINDS.iter().zip(rates);
    kinds
        .map(|(kind, (name, rate))| {
            assert_eq!(kind.name, name);
            let deadline_ms = 3 * (kind.work_ms * 16 / 10 + 60);
            JobKind { rate: rate * per_s, cpu_milli: (26_000, 48_000), deadline_ms, ..*kind }
        })
        .collect()
}

/// Returns the share of the worth of all jobs that was served; late jobs count a fifth.
fn worth(served: &BTreeMap<&'static str, LoadResult>) -> f64 {
    let sum = |part: fn(&LoadResult) -> f64| -> f64 {
        WORTH.iter().map(|(kind, worth)| worth * part(&served[kind])).sum()
    };
    sum(|kind| f64::from(kind.in_time) + f64::from(kind.late) / 5.0)
        / sum(|kind| f64::from(kind.submitted))
}

/// Sums the results of a load of large tasks over some seeds.
fn scarce(policy: Policy, factor: f64, seeds: u64) -> BTreeMap<&'static str, LoadResult> {
    let mut total: BTreeMap<&'static str, LoadResult> = BTreeMap::new();
    for seed in 1..=seeds {
        let mut world =
            FleetWorld::with_policy(policy, &["a", "b", "c"], &[250], SCARCE_WORKERS, 0, seed);
        world.set_speeds(&SCARCE_SPEEDS);
        world.set_capacities(&SCARCE_CAPACITIES);
        world.run(2_000);
        world.run_load(&scarce_kinds(0.4), 3_000, seed + 100);
        for (kind, served) in world.run_load(&scarce_kinds(factor), 6_000, seed) {
            total.entry(kind).or_default().add(&served);
        }
        assert_eq!(world.breaches(), Vec::<String>::new());
    }
    total
}

/// Guards against free capacity that no task gets because the search for one gives up at the
/// head of the queue. The bound is above the variation between seeds, about 0.01.
#[test]
fn load_backfill_burst() {
    let without = scarce(Policy::default(), 2.4, 3);
    let with = scarce(Policy::default().with(Mechanism::Backfill), 2.4, 3);
    print("without", &without);
    print("with", &with);
    println!("backfill: worth {:.3} without, {:.3} with", worth(&without), worth(&with));
    assert!(worth(&with) >= worth(&without) + 0.01);
    assert!(with["long"].in_time > without["long"].in_time);
    assert!(
        with["long"].in_time + with["long"].late > without["long"].in_time + without["long"].late
    );
    assert!(share(&with, |kind| kind.lost) < 0.01);
}

/// Guards against a loss by the mechanism where capacity suffices. The bound is the variation
/// between seeds.
#[test]
fn load_backfill_calm() {
    let without = scarce(Policy::default(), 0.8, 1);
    let with = scarce(Policy::default().with(Mechanism::Backfill), 0.8, 1);
    println!("backfill, calm: worth {:.3} without, {:.3} with", worth(&without), worth(&with));
    assert!(worth(&with) >= worth(&without) - 0.01);
}
