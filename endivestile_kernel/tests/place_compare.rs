//! Comparison of the placement policies in virtual time, with a list schedule as
//! reference.

mod place_fake;

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use endivestile_kernel::{Outcome, Time};
use place_fake::reference::list_schedule;
use place_fake::trace::{Arrival, SERVERS, SLOTS, factors, trace};
use place_fake::{Mode, Simulation, new_order, servers};
use test_case::test_case;

const SEEDS: [u64; 8] = [5, 6, 7, 8, 9, 10, 11, 12];
/// When a burst begins or a rack becomes slow.
const CHANGE_US: u64 = 8_000_000;

const POLICIES: [&str; 5] =
    ["earliest", "random", "round-robin", "least-outstanding", "two-choices"];

/// Results of replayed traces.
#[derive(Default)]
struct Run {
    /// Response times of finished tasks, in microseconds.
    times: Vec<u64>,
    /// Finished work, in microseconds on a backend of factor 1.
    work: u64,
}

impl Run {
    fn plus(mut self, other: Self) -> Self {
        self.times.extend(other.times);
        self.work += other.work;
        self
    }
}

fn replay(policy: &str, trace: &[Arrival], declared: bool, slow: bool) -> Run {
    let mut config = servers(SERVERS, SLOTS);
    config.rules.policy = policy.into();
    let mut sim = Simulation::new(config);
    for (at, factor) in factors().into_iter().enumerate() {
        sim.set_mode(&format!("b{at:04}"), Mode::Runs(factor));
    }
    let mut left: HashMap<u64, u16> = HashMap::new();
    for task in trace {
        *left.entry(task.job).or_default() += 1;
    }
    for (run, task) in trace.iter().enumerate() {
        sim.run_until(Time::from_micros(task.at_us));
        if slow && task.at_us > CHANGE_US {
            for at in 4..8 {
                sim.set_mode(&format!("b{at:04}"), Mode::Runs(factors()[at] * 5.0));
            }
        }
        let mut order = new_order(sim.now, run as u64, "a", task.size_us);
        order.deadline = Time::from_micros(task.deadline_us);
        order.remaining = left[&task.job];
        Arc::make_mut(&mut order.task).declared_ms = if declared { task.declared_ms } else { 0 };
        sim.submit(order);
    }
    sim.run_ms(60_000);
    let mut run = Run::default();
    for (at, key, outcome) in &sim.ended {
        let task = trace[key.run as usize];
        if matches!(outcome, Outcome::Done(_)) {
            run.times.push(at.as_micros() - task.at_us);
            run.work += task.size_us;
        }
    }
    run
}

fn runs() -> impl Iterator<Item = (&'static str, bool)> {
    [("earliest", false)].into_iter().chain(POLICIES.map(|policy| (policy, true)))
}

fn quantile(times: &mut [u64], part: f64) -> f64 {
    times.sort_unstable();
    times[((times.len() - 1) as f64 * part) as usize] as f64 / 1_000.0
}

/// Prints the response times of all policies and returns the table: `earliest`
/// without and with declared run times, then the baselines.
fn compare(label: &str, traces: &[Vec<Arrival>], slow: bool) -> Vec<Row> {
    let offered: u64 = traces.iter().flatten().map(|task| task.size_us).sum();
    let mut table = Vec::new();
    for (policy, declared) in runs() {
        let runs = traces.iter().map(|trace| replay(policy, trace, declared, slow));
        let run = runs.fold(Run::default(), Run::plus);
        let name = if declared { policy.to_owned() } else { format!("{policy}, none declared") };
        table.push(Row::new(&name, run.times, run.work as f64 / offered as f64 * 100.0));
    }
    for row in &table {
        println!("{label:>9}  {row}");
    }
    let best = table[2..].iter().map(|row| row.p99).fold(f64::MAX, f64::min);
    for row in &table[..2] {
        assert!(row.p99 <= best, "{label}: p99 {} over {best}", row.p99);
    }
    table
}

// Backends differ in speed. A policy that ignores it makes callers wait for slow
// backends while fast ones are free.
#[test_case(30)]
#[test_case(60)]
#[test_case(80)]
#[test_case(95)]
#[test_case(110)]
fn policies_against_list_schedule(load: u32) {
    let traces = SEEDS.map(|seed| trace(load, 20, seed));
    let reference = traces.iter().flat_map(|trace| list_schedule(trace, &factors(), SLOTS));
    println!("{load:>9}  {}", Row::new("list schedule", reference.collect(), 100.0));
    let table = compare(&load.to_string(), &traces, false);
    assert!(table[1].p99 < table[0].p99, "declared run times make no difference");
}

// Arrivals rise fivefold for two seconds without warning.
#[test]
fn policies_burst() {
    let traces = SEEDS.map(|seed| {
        let mut all = trace(60, 20, seed);
        let burst = trace(240, 2, seed + 100);
        all.extend(burst.into_iter().map(|task| Arrival {
            at_us: task.at_us + CHANGE_US,
            deadline_us: task.deadline_us + CHANGE_US,
            job: task.job + 1_000_000,
            ..task
        }));
        all.sort_by_key(|task| task.at_us);
        all
    });
    let reference = traces.iter().flat_map(|trace| list_schedule(trace, &factors(), SLOTS));
    println!("    burst  {}", Row::new("list schedule", reference.collect(), 100.0));
    compare("burst", &traces, false);
}

// A third of the backends, one rack, becomes five times slower while in use.
#[test]
fn policies_slow_rack() {
    compare("slow rack", &SEEDS.map(|seed| trace(50, 20, seed)), true);
}

/// One row of the table: response times in milliseconds, finished work in percent.
struct Row {
    name: String,
    p50: f64,
    p95: f64,
    p99: f64,
    work: f64,
}

impl Row {
    fn new(name: &str, mut times: Vec<u64>, work: f64) -> Self {
        let [p50, p95, p99] = [0.5, 0.95, 0.99].map(|part| quantile(&mut times, part));
        Self { name: name.to_owned(), p50, p95, p99, work }
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { name, p50, p95, p99, work } = self;
        write!(f, "{name:<26} p50 {p50:>5.0} p95 {p95:>5.0} p99 {p99:>5.0} work {work:>5.1}%")
    }
}
