//! Demand that differs between zones, with and without the balance between zones, in virtual
//! time.
//!
//! `cargo test --release -p endivestile_testkit --test fleet_zones -- --nocapture`
//! prints the results.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};
use endivestile_testkit::{FleetWorld, JobKind, LoadResult};

/// Kinds of jobs: wide, long and small ones. Together they use about 70% of the capacity of 48
/// workers.
const KINDS: [JobKind; 3] = [
    JobKind {
        name: "wide",
        rate: 34.0,
        tasks: 8,
        work_ms: 60,
        priority: 0,
        deadline_ms: 2_000,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    },
    JobKind {
        name: "long",
        rate: 6.0,
        tasks: 4,
        work_ms: 900,
        priority: 2,
        deadline_ms: 5_000,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    },
    JobKind {
        name: "small",
        rate: 100.0,
        tasks: 2,
        work_ms: 200,
        priority: 1,
        deadline_ms: 2_500,
        estimate_factor: 1.0,
        cpu_milli: (11_000, 17_000),
    },
];
/// Processor time of each zone's hosts, in thousandths of a core: two owners and three hosts
/// without workers, which hear of one owner of each other zone only.
const HOSTS: [u32; 5] = [500, 500, 90, 90, 90];
/// Number of seeds over which policies are compared; the results of single seeds scatter.
const SEEDS: u64 = 3;
/// Shares of the demand after 60% of the callers of zone `b` have moved to zone `a`.
const MOVED: [(&str, f64); 3] = [("a", 0.53), ("b", 0.14), ("c", 0.33)];

fn kinds(factor: f64) -> Vec<JobKind> {
    KINDS.iter().map(|kind| JobKind { rate: kind.rate * factor, ..*kind }).collect()
}

/// Results of a load, with the number of jobs that were sent to another zone and of tasks that
/// were forwarded.
#[derive(Debug, Default)]
struct Served {
    kinds: BTreeMap<&'static str, LoadResult>,
    /// Results by the zone of the hosts that got the jobs, with those of the light load before.
    zones: BTreeMap<Name, LoadResult>,
    sent_away: u64,
    forwarded: u64,
}

impl Served {
    /// Returns the share of all jobs that `part` counts.
    fn share(&self, part: impl Fn(&LoadResult) -> u32) -> f64 {
        let submitted: u32 = self.kinds.values().map(|kind| kind.submitted).sum();
        f64::from(self.kinds.values().map(part).sum::<u32>()) / f64::from(submitted)
    }

    /// Returns the smallest share of jobs that met their objective among the zones.
    fn worst_zone(&self) -> f64 {
        let shares = self.zones.values().map(|it| f64::from(it.in_time) / f64::from(it.submitted));
        shares.fold(1.0, f64::min)
    }
}

fn world(policy: Policy, seed: u64) -> FleetWorld {
    let mut world = FleetWorld::with_policy(policy, &["a", "b", "c"], &HOSTS, 16, 32_000, seed);
    world.run(3_000);
    // Under light load the schedulers learn durations and speeds.
    world.run_load(&kinds(0.5), 3_000, seed + 100);
    world
}

/// Sums the results over all seeds of a load that is `factor` times the usual one, divided
/// among the zones by `shares`; `change` is applied to each world before.
fn serve(
    policy: Policy,
    factor: f64,
    shares: &[(&str, f64)],
    change: impl Fn(&mut FleetWorld),
) -> Served {
    let mut served = Served::default();
    for seed in 1..=SEEDS {
        let mut world = world(policy, seed);
        change(&mut world);
        for (kind, result) in world.run_uneven_load(&kinds(factor), shares, 8_000, seed) {
            served.kinds.entry(kind).or_default().add(&result);
        }
        for (zone, result) in world.results_by_zone() {
            served.zones.entry(zone).or_default().add(&result);
        }
        served.sent_away += world.counter("jobs_sent_away");
        served.forwarded += world.counter("tasks_forwarded");
        assert_eq!(world.breaches(), Vec::<String>::new());
        assert_eq!(world.unanswered(), Vec::<String>::new());
    }
    served
}

fn print(title: &str, served: &Served) {
    let (done, refused) = (served.share(|kind| kind.in_time), served.share(|kind| kind.refused));
    let (away, forwarded) = (served.sent_away, served.forwarded);
    println!(
        "{title}: in time {done:.3}, refused {refused:.3}, away {away}, forwarded {forwarded}"
    );
    for (zone, it) in &served.zones {
        let part = |count: u32| f64::from(count) / f64::from(it.submitted);
        println!("  {zone}: in time {:.3}, refused {:.3}", part(it.in_time), part(it.refused));
    }
    for (kind, result) in &served.kinds {
        println!("  {kind}: {result:?}");
    }
}

/// Largest drop of a share that the mechanism may cause where it is not needed, as for the
/// deployments in service.
const MAX_DROP: f64 = 0.03;

fn in_time(it: &LoadResult) -> u32 {
    it.in_time
}

/// Serves a load with and without the mechanism; prints and returns both results.
fn compare(
    title: &str,
    policy: Policy,
    factor: f64,
    shares: &[(&str, f64)],
    change: impl Fn(&mut FleetWorld),
) -> (Served, Served) {
    let without = serve(policy, factor, shares, &change);
    let with = serve(policy.with(Mechanism::ZoneBalance), factor, shares, &change);
    print(&format!("{title}, without"), &without);
    print(&format!("{title}, with"), &with);
    assert_eq!(without.sent_away, 0);
    (with, without)
}

/// Callers that move to another zone while owners forward no single tasks: more jobs meet their
/// objective and fewer are refused, also in the zone that they move to.
#[test]
fn zones_callers_moved() {
    let policy = Policy::default().without(Mechanism::Forwarding);
    let (with, without) = compare("moved", policy, 1.1, &MOVED, |_| {});
    assert!(with.sent_away > 0);
    assert!(with.share(in_time) > without.share(in_time) + MAX_DROP);
    assert!(with.share(|kind| kind.refused) < without.share(|kind| kind.refused));
    assert!(with.worst_zone() > without.worst_zone() + MAX_DROP);
}

/// Callers that move while owners forward tasks, which already uses most free capacity: no zone
/// and no job may be worse off than without the mechanism by more than [`MAX_DROP`].
#[test]
fn zones_callers_moved_forwarding() {
    let (with, without) = compare("forwarding", Policy::default(), 1.4, &MOVED, |_| {});
    assert!(with.share(in_time) > without.share(in_time) - MAX_DROP);
    assert!(with.worst_zone() > without.worst_zone() - MAX_DROP);
}

/// A burst of twice the usual load in all zones: nothing gains from moving.
#[test]
fn zones_burst_everywhere() {
    let (with, without) = compare("burst", Policy::default(), 2.1, &[], |_| {});
    assert!(with.share(in_time) > without.share(in_time) - MAX_DROP);
    assert!(with.worst_zone() > without.worst_zone() - MAX_DROP);
}

/// A zone that the others send jobs to is cut off from them: every call is answered, and no
/// task runs twice.
#[test]
fn zones_cut() {
    let cut = |world: &mut FleetWorld| {
        world.run_uneven_load(&kinds(1.1), &MOVED, 1_000, 50);
        world.cut("a", "b");
        world.cut("b", "c");
    };
    let (with, without) = compare("cut", Policy::default(), 1.1, &MOVED, cut);
    assert!(with.share(in_time) > without.share(in_time) - MAX_DROP);
}
