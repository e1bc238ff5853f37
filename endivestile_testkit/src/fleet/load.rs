//! Traffic over a fleet: kinds of jobs that arrive at random, and what became of them.

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
    /// Name, for the result.
    pub name: &'static str,
    /// Jobs a second.
    pub rate: f64,
    /// Tasks of a job, on average.
    pub tasks: u16,
    /// Run time of a task at speed 1, in milliseconds, on average.
    pub work_ms: u64,
    /// 0 comes first.
    pub priority: u32,
    /// How long its callers wait, in milliseconds.
    pub deadline_ms: u64,
    /// How many times longer than they are its callers take the tasks to be, on average.
    pub estimate_factor: f64,
}

/// What became of the jobs of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LoadResult {
    /// Jobs handed in.
    pub submitted: u32,
    /// Done within their objective.
    pub in_time: u32,
    /// Done later.
    pub late: u32,
    /// Refused as not run.
    pub refused: u32,
    /// Given up after they had begun, or without an answer.
    pub lost: u32,
    /// Refusals that came after three quarters of their callers' patience.
    pub refused_late: u32,
    /// How long all refused callers waited for their answers, in milliseconds.
    pub refusal_wait_ms: u64,
    /// Jobs handed in whose work is among the largest tenth of their kind.
    pub large: u32,
    /// Those of them that were done, in time or late.
    pub large_done: u32,
}

impl LoadResult {
    /// Adds another play's.
    pub fn add(&mut self, other: &Self) {
        self.submitted += other.submitted;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused += other.refused;
        self.lost += other.lost;
        self.refused_late += other.refused_late;
        self.refusal_wait_ms += other.refusal_wait_ms;
        self.large += other.large;
        self.large_done += other.large_done;
    }
}

/// Scatter of run times: the logarithm's span to either side.
const SCATTER: f64 = 0.6;
/// Scatter of estimates around run times.
const ESTIMATE_SCATTER: f64 = 0.5;
/// Thousandths of its work's duration, and milliseconds more, that a job's objective leaves.
const OBJECTIVE: (u32, u32) = (1_600, 60);

impl FleetWorld {
    /// Lets jobs arrive at random for `ms` milliseconds; returns what became of
    /// them once the last deadline has passed.
    pub fn run_load(
        &mut self,
        kinds: &[JobKind],
        ms: u64,
        seed: u64,
    ) -> BTreeMap<&'static str, LoadResult> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let hosts: Vec<Name> = self.hosts.keys().cloned().collect();
        let whole: f64 = kinds.iter().map(|kind| kind.rate).sum();
        let first = self.calls.len() as u64;
        let end = self.now + ms * 1_000;
        let mut sent: Vec<(&JobKind, u64)> = Vec::new();
        while self.now < end {
            let gap = -(1.0 - rng.random::<f64>()).ln() / whole;
            self.run(((gap * 1_000.0) as u64).max(1));
            let kind = pick(kinds, whole, &mut rng);
            let host = hosts[rng.random_range(0..hosts.len())].clone();
            let name = format!("{}-{}", kind.name, first + sent.len() as u64);
            let (job, work_ms) = job(kind, &name, &mut rng);
            self.submit(&name, &host, job, work_ms, false);
            sent.push((kind, work_ms));
        }
        let last = kinds.iter().map(|kind| kind.deadline_ms).max().unwrap_or(0);
        self.run(last + 1_000);
        let large = self.large(first, &sent);
        let mut served: BTreeMap<&'static str, LoadResult> = BTreeMap::new();
        for (number, (kind, work_ms)) in (first..).zip(sent) {
            let served = served.entry(kind.name).or_default();
            let done = self.account(served, number, work_ms, kind.deadline_ms);
            if large.contains(&number) {
                served.large += 1;
                served.large_done += u32::from(done);
            }
        }
        served
    }

    /// Returns the jobs whose work is among the largest tenth of their kind.
    fn large(&self, first: u64, sent: &[(&JobKind, u64)]) -> BTreeSet<u64> {
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

    /// Counts what became of a job; returns whether it was done.
    fn account(
        &self,
        served: &mut LoadResult,
        number: u64,
        work_ms: u64,
        time_budget: u64,
    ) -> bool {
        served.submitted += 1;
        let Some(call) = self.calls.get(&number) else { return false };
        let objective = work_ms * u64::from(OBJECTIVE.0) / 1_000 + u64::from(OBJECTIVE.1);
        match &call.ended {
            Some((at, Some(end))) => {
                let took = (at - call.made_at) / 1_000;
                match end {
                    JobEnd::Done if took <= objective => served.in_time += 1,
                    JobEnd::Done => served.late += 1,
                    JobEnd::NotRun { .. } => {
                        served.refused += 1;
                        served.refused_late += u32::from(took * 4 > time_budget * 3);
                        served.refusal_wait_ms += took;
                    }
                    JobEnd::Failed(_) | JobEnd::Lost(_) => served.lost += 1,
                }
            }
            _ => served.lost += 1,
        }
        matches!(call.ended, Some((_, Some(JobEnd::Done))))
    }

    /// Gives workers the speeds in turn.
    pub fn set_speeds(&mut self, speeds: &[f64]) {
        for (worker, speed) in self.workers.values_mut().zip(speeds.iter().cycle()) {
            worker.speed = *speed;
        }
    }

    /// Lets every so many-th worker hang, or be so many times slower.
    pub fn degrade_workers(&mut self, hang_every: usize, slow_every: usize, times: f64) {
        let now = self.now;
        for (at, worker) in self.workers.values_mut().enumerate() {
            worker.advance(now);
            if at % hang_every == 0 {
                worker.behaviour = super::worker::Behaviour::Hangs;
            } else if at % slow_every == 1 {
                worker.behaviour = super::worker::Behaviour::Slow(times);
            }
        }
    }
}

fn pick<'a>(kinds: &'a [JobKind], whole: f64, rng: &mut SmallRng) -> &'a JobKind {
    let mut at = rng.random::<f64>() * whole;
    for kind in kinds {
        at -= kind.rate;
        if at <= 0.0 {
            return kind;
        }
    }
    &kinds[kinds.len() - 1]
}

fn scattered(mean: u64, scatter: f64, rng: &mut SmallRng) -> u64 {
    let ln = rng.random_range(-scatter..scatter);
    (mean as f64 * ln.exp()).max(1.0) as u64
}

fn job(kind: &JobKind, name: &str, rng: &mut SmallRng) -> (Job, u64) {
    let work_ms = scattered(kind.work_ms, SCATTER, rng);
    let count = scattered(u64::from(kind.tasks), SCATTER, rng) as u16;
    let cpu_milli = rng.random_range(11_000..17_000);
    let step = Step {
        count: count.max(1),
        first_task: 0,
        number: 0,
        need: Need { cpu_milli, memory_mb: 64, accelerators: 0 },
        estimate_ms: (scattered(work_ms, ESTIMATE_SCATTER, rng) as f64 * kind.estimate_factor)
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
