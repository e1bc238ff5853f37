//! Load on a fleet: kinds of jobs that arrive at random, and their outcomes.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{Job, JobEnd, Step};
use endivestile_kernel::{Need, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::world::FleetWorld;

/// A kind of job.
#[derive(Debug, Clone, Copy)]
pub struct JobKind {
    /// Name of the kind in the results.
    pub name: &'static str,
    /// Mean arrival rate, in jobs per second.
    pub rate: f64,
    /// Median number of tasks of a job.
    pub tasks: u16,
    /// Median run time of a task at speed 1, in milliseconds.
    pub work_ms: u64,
    /// Smallest and largest processor need of a task, in thousandths of a core.
    pub cpu_milli: (u32, u32),
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Time from a job's arrival to its deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Factor of the callers' estimates to the real run times, on average.
    pub estimate_factor: f64,
}

/// Outcomes of the jobs of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadResult {
    /// Submitted jobs.
    pub submitted: u32,
    /// Completed within their objective.
    pub in_time: u32,
    /// Completed after their objective.
    pub late: u32,
    /// Refused as not run.
    pub refused: u32,
    /// Failed after they had started, or without an answer.
    pub lost: u32,
    /// Refused after more than three quarters of the time to their deadline.
    pub refused_late: u32,
    /// Refused after more than a quarter of the time to their objective.
    pub refused_slowly: u32,
    /// Total time until refusals were answered, in milliseconds.
    pub refusal_wait_ms: u64,
    /// Submitted jobs whose work is among the largest tenth of their kind.
    pub large: u32,
    /// Those of the large jobs that completed, in time or late.
    pub large_done: u32,
}

impl LoadResult {
    /// Adds the outcomes of another run.
    pub fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.lost += other.lost;
        self.refused_late += other.refused_late;
        self.refused_slowly += other.refused_slowly;
        self.refusal_wait_ms += other.refusal_wait_ms;
        self.large += other.large;
        self.large_done += other.large_done;
    }
}

/// Half the range of the logarithm of run times and task counts around their medians.
const SPREAD: f64 = 0.6;
/// Half the range of the logarithm of estimates around run times.
const ESTIMATE_SPREAD: f64 = 0.5;
/// Objective of a job: thousandths of its work's duration, plus milliseconds.
const OBJECTIVE: (u32, u32) = (1_600, 60);

impl FleetWorld {
    /// Submits jobs at random for `ms` milliseconds; returns their outcomes by kind once the last
    /// deadline has passed.
    pub fn run_load(
        &mut self,
        kinds: &[JobKind],
        ms: u64,
        seed: u64,
    ) -> BTreeMap<&'static str, LoadResult> {
        self.run_uneven_load(kinds, &[], ms, seed)
    }

    /// Submits jobs as [`FleetWorld::run_load`] does, with the share of the jobs that each listed
    /// zone gets; without a list, every host gets the same share.
    pub fn run_uneven_load(
        &mut self,
        kinds: &[JobKind],
        shares: &[(&str, f64)],
        ms: u64,
        seed: u64,
    ) -> BTreeMap<&'static str, LoadResult> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        let total_rate: f64 = kinds.iter().map(|kind| kind.rate).sum();
        let first = self.calls.len() as u64;
        let end = self.now + ms * 1_000;
        let mut sent: Vec<(&JobKind, u64)> = Vec::new();
        while self.now < end {
            let gap = -(1.0 - rng.random::<f64>()).ln() / total_rate;
            self.run(((gap * 1_000.0) as u64).max(1));
            let kind = pick_kind(kinds, total_rate, &mut rng);
            let host = self.pick_host(&hosts, shares, &mut rng);
            let name = format!("{}-{}", kind.name, first + sent.len() as u64);
            let (job, work_ms) = job(kind, &name, &mut rng);
            self.submit(&name, &host, job, work_ms, false);
            sent.push((kind, work_ms));
        }
        let last = kinds.iter().map(|kind| kind.deadline_ms).max().unwrap_or(0);
        self.run(last + 1_000);
        let large = self.largest_jobs(first, &sent);
        let mut results: BTreeMap<&'static str, LoadResult> = BTreeMap::new();
        for (number, (kind, work_ms)) in (first..).zip(sent) {
            let result = results.entry(kind.name).or_default();
            let done = self.count_outcome(result, number, work_ms, kind.deadline_ms);
            if large.contains(&number) {
                result.large += 1;
                result.large_done += u32::from(done);
            }
        }
        results
    }

    /// Returns the outcomes of all jobs submitted so far, by the zone of the host that got them.
    pub fn results_by_zone(&self) -> BTreeMap<Name, LoadResult> {
        let mut results: BTreeMap<Name, LoadResult> = BTreeMap::new();
        for (number, call) in &self.calls {
            let Some(host) = self.hosts.get(&call.front.0) else { continue };
            let (job, work_ms) = &call.submission;
            let budget_ms = job.deadline.as_micros() / 1_000;
            let result = results.entry(host.zone.clone()).or_default();
            self.count_outcome(result, *number, *work_ms, budget_ms);
        }
        results
    }

    /// Draws the host that gets a job: a zone by its share, then any host of the zone.
    fn pick_host(&self, hosts: &[Name], shares: &[(&str, f64)], rng: &mut SmallRng) -> Name {
        let total: f64 = shares.iter().map(|(_, share)| share).sum();
        let mut rest = if shares.is_empty() { 0.0 } else { rng.random::<f64>() * total };
        let chosen = shares.iter().find(|(_, share)| {
            rest -= share;
            rest <= 0.0
        });
        let in_zone =
            |host: &&Name| chosen.is_none_or(|(zone, _)| *self.hosts[*host].zone == **zone);
        let hosts: Vec<&Name> = hosts.iter().filter(in_zone).collect();
        hosts[rng.random_range(0..hosts.len())].clone()
    }

    /// Returns the numbers of the jobs whose work is among the largest tenth of their kind.
    fn largest_jobs(&self, first: u64, sent: &[(&JobKind, u64)]) -> BTreeSet<u64> {
        let mut works: BTreeMap<&'static str, Vec<(u64, u64)>> = BTreeMap::new();
        for (number, (kind, work_ms)) in (first..).zip(sent) {
            let tasks = self.calls.get(&number).map_or(0, |call| call.submission.0.tasks());
            works.entry(kind.name).or_default().push((work_ms * tasks as u64, number));
        }
        let largest = works.into_values().flat_map(|mut works| {
            works.sort_unstable();
            works.split_off(works.len() * 9 / 10)
        });
        largest.map(|(_, number)| number).collect()
    }

    /// Counts the outcome of a job; returns whether it completed.
    fn count_outcome(
        &self,
        result: &mut LoadResult,
        number: u64,
        work_ms: u64,
        time_budget: u64,
    ) -> bool {
        result.submitted += 1;
        let Some(call) = self.calls.get(&number) else { return false };
        let objective = work_ms * u64::from(OBJECTIVE.0) / 1_000 + u64::from(OBJECTIVE.1);
        match &call.ended {
            Some((at, Some(end))) => {
                let took = (at - call.made_at) / 1_000;
                match end {
                    JobEnd::Done if took <= objective => result.in_time += 1,
                    JobEnd::Done => result.late += 1,
                    JobEnd::NotRun { .. } => {
                        result.refused += 1;
                        result.refused_late += u32::from(took * 4 > time_budget * 3);
                        result.refused_slowly += u32::from(took * 4 > objective);
                        result.refusal_wait_ms += took;
                    }
                    JobEnd::Failed(_) | JobEnd::Lost(_) => result.lost += 1,
                }
            }
            _ => result.lost += 1,
        }
        matches!(call.ended, Some((_, Some(JobEnd::Done))))
    }

    /// Assigns the speeds to the workers in turn.
    pub fn set_speeds(&mut self, speeds: &[f64]) {
        for (worker, speed) in self.workers.values_mut().zip(speeds.iter().cycle()) {
            worker.speed = *speed;
        }
    }

    /// Assigns the processor capacities, in thousandths of a core, to the workers in turn. Has to
    /// be called before hosts read the list of workers.
    pub fn set_capacities(&mut self, cpu_milli: &[u32]) {
        for (worker, cpu_milli) in self.workers.values_mut().zip(cpu_milli.iter().cycle()) {
            worker.entry.capacity.cpu_milli = *cpu_milli;
        }
    }

    /// Makes one of `hang_every` workers hang and one of `slow_every` `times` slower.
    pub fn degrade_workers(&mut self, hang_every: usize, slow_every: usize, times: f64) {
        let now = self.now;
        for (index, worker) in self.workers.values_mut().enumerate() {
            worker.advance(now);
            if index % hang_every == 0 {
                worker.behaviour = super::worker::Behaviour::Hangs;
            } else if index % slow_every == 1 {
                worker.behaviour = super::worker::Behaviour::Slow(times);
            }
        }
    }
}

/// Draws a kind with a probability proportional to its rate.
fn pick_kind<'a>(kinds: &'a [JobKind], total_rate: f64, rng: &mut SmallRng) -> &'a JobKind {
    let mut rest = rng.random::<f64>() * total_rate;
    for kind in kinds {
        rest -= kind.rate;
        if rest <= 0.0 {
            return kind;
        }
    }
    &kinds[kinds.len() - 1]
}

/// Draws a value around `mean`, log-uniformly: its logarithm differs by up to `spread`.
fn log_uniform(mean: u64, spread: f64, rng: &mut SmallRng) -> u64 {
    let ln = rng.random_range(-spread..spread);
    (mean as f64 * ln.exp()).max(1.0) as u64
}

/// Draws a job of a kind; returns it with its tasks' run time in milliseconds.
fn job(kind: &JobKind, name: &str, rng: &mut SmallRng) -> (Job, u64) {
    let work_ms = log_uniform(kind.work_ms, SPREAD, rng);
    let count = log_uniform(u64::from(kind.tasks), SPREAD, rng) as u16;
    let cpu_milli = rng.random_range(kind.cpu_milli.0..kind.cpu_milli.1);
    let step = Step {
        count: count.max(1),
        first_task: 0,
        number: 0,
        need: Need { cpu_milli, memory_mb: 64, accelerators: 0 },
        estimate_ms: (log_uniform(work_ms, ESTIMATE_SPREAD, rng) as f64 * kind.estimate_factor)
            as u32,
        after: Vec::new(),
        required_label: None,
        near_label: None,
        max_per_worker: 0,
    };
    let job = Job {
        id: Name::from(name),
        request: Name::from(name),
        spec: Name::from("work"),
        steps: vec![step],
        service: Name::from("service"),
        route: Name::from(kind.name),
        priority: kind.priority,
        max_attempts: 3,
        stretch_milli: OBJECTIVE.0,
        allowance_ms: OBJECTIVE.1,
        arrived: Time::ZERO,
        deadline: Time::ZERO.after_ms(kind.deadline_ms),
        run_base: 0,
        forwarded: false,
    };
    (job, work_ms)
}
