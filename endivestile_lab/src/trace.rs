//! Random arrival traces, reproducible by their seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Largest number of tasks of a job.
const MAX_TASKS: f64 = 200.0;
/// Range of the run times of short tasks, in milliseconds on a machine of speed 1.
const SHORT_MS: (f64, f64) = (50.0, 1_000.0);
/// Range of the run times of long tasks, in the same unit.
const LONG_MS: (f64, f64) = (1_500.0, 3_000.0);

/// Kind of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request without an id, which may run more than once.
    Idempotent,
    /// A request that runs at most once.
    NonIdempotent,
    /// A job of one or more tasks.
    Job,
}

/// One submission of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time of arrival, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Index of the team.
    pub team: usize,
    /// Kind of submission.
    pub kind: Kind,
    /// Run times of its tasks on a machine of speed 1, in milliseconds.
    pub tasks_ms: Vec<f64>,
}

/// Composition of the submissions; those that are not requests are jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mix {
    /// Idempotent requests per hundred submissions.
    pub idempotent: u32,
    /// Non-idempotent requests per hundred submissions.
    pub non_idempotent: u32,
    /// Long tasks per thousand tasks.
    pub long_permille: u32,
    /// Relative shares of the teams, by index.
    pub team_weights: [u32; 3],
}

/// A period of changed arrival rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, in microseconds since the start of the trace.
    pub from_us: u64,
    /// End, in the same unit.
    pub to_us: u64,
    /// Factor of the arrival rate.
    pub factor: f64,
}

/// Amount of arriving work and its distribution over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Work that arrives, in milliseconds of a machine of speed 1 per millisecond.
    pub work_rate: f64,
    /// Length of the trace, in microseconds.
    pub span_us: u64,
    /// Burst within the trace, if any.
    pub burst: Option<Burst>,
}

impl Load {
    /// Returns the factor of the arrival rate at a time.
    fn rate_factor(&self, at_us: u64) -> f64 {
        let inside = |burst: &Burst| (burst.from_us..burst.to_us).contains(&at_us);
        self.burst.filter(inside).map_or(1.0, |burst| burst.factor)
    }
}

/// Generates a trace: Poisson arrivals with log-uniform run times and job sizes.
pub fn generate_trace(load: &Load, mix: &Mix) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let gap_us = mean_work_ms(mix) / load.work_rate * 1_000.0;
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    loop {
        let sample: f64 = rng.random_range(f64::EPSILON..1.0);
        at_us -= sample.ln() * gap_us / load.rate_factor(at_us as u64);
        if at_us as u64 >= load.span_us {
            return arrivals;
        }
        arrivals.push(draw_arrival(&mut rng, at_us as u64, mix));
    }
}

fn draw_arrival(rng: &mut StdRng, at_us: u64, mix: &Mix) -> Arrival {
    let roll = rng.random_range(0..100);
    let (kind, count) = if roll < mix.idempotent {
        (Kind::Idempotent, 1)
    } else if roll < mix.idempotent + mix.non_idempotent {
        (Kind::NonIdempotent, 1)
    } else {
        (Kind::Job, log_uniform(rng, (1.0, MAX_TASKS + 1.0)) as usize)
    };
    let tasks_ms = (0..count).map(|_| draw_task_ms(rng, mix)).collect();
    Arrival { at_us, team: draw_team(rng, mix), kind, tasks_ms }
}

fn draw_task_ms(rng: &mut StdRng, mix: &Mix) -> f64 {
    let long = rng.random_range(0..1_000) < mix.long_permille;
    log_uniform(rng, if long { LONG_MS } else { SHORT_MS }).round()
}

fn draw_team(rng: &mut StdRng, mix: &Mix) -> usize {
    let mut roll = rng.random_range(0..mix.team_weights.iter().sum::<u32>().max(1));
    for (team, share) in mix.team_weights.iter().enumerate() {
        if roll < *share {
            return team;
        }
        roll -= share;
    }
    0
}

fn log_uniform(rng: &mut StdRng, (low, high): (f64, f64)) -> f64 {
    rng.random_range(low.ln()..high.ln()).exp()
}

/// Returns the mean work of a submission, in milliseconds of a machine of speed 1.
fn mean_work_ms(mix: &Mix) -> f64 {
    let long = f64::from(mix.long_permille) / 1_000.0;
    let task_ms = log_uniform_mean(SHORT_MS) * (1.0 - long) + log_uniform_mean(LONG_MS) * long;
    let request_share = f64::from(mix.idempotent + mix.non_idempotent) / 100.0;
    // Job sizes are rounded down, which lowers their mean by about a half.
    let job_tasks = log_uniform_mean((1.0, MAX_TASKS + 1.0)) - 0.5;
    task_ms * (request_share + job_tasks * (1.0 - request_share))
}

/// Returns the mean of a log-uniform distribution.
fn log_uniform_mean((low, high): (f64, f64)) -> f64 {
    (high - low) / (high / low).ln()
}
