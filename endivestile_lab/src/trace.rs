//! Arrival traces with a fixed seed.

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Most tasks of a job.
const MAX_TASKS: f64 = 200.0;
/// Run times of most tasks, in milliseconds on a machine of speed 1.
const SHORT_MS: (f64, f64) = (50.0, 1_000.0);
/// Run times of the few long ones.
const LONG_MS: (f64, f64) = (1_500.0, 3_000.0);

/// What a caller submits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request without an id, which may be repeated.
    Idempotent,
    /// A request that runs at most once.
    NonIdempotent,
    /// A job.
    Job,
}

/// One submission of a trace.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// When it arrives, in microseconds since the start of the trace.
    pub at_us: u64,
    /// Number of the team.
    pub team: usize,
    /// What it is.
    pub kind: Kind,
    /// Run times of its tasks on a machine of speed 1, in milliseconds.
    pub tasks_ms: Vec<f64>,
}

/// What submissions look like; the rest of a hundred are jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Mix {
    /// Idempotent requests in a hundred submissions.
    pub idempotent: u32,
    /// Non-idempotent requests in a hundred submissions.
    pub non_idempotent: u32,
    /// Long tasks in a thousand.
    pub long_permille: u32,
    /// Shares of the teams, by number.
    pub team_weights: [u32; 3],
}

/// A time of more arrivals.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// Start, in microseconds since the start of the trace.
    pub from_us: u64,
    /// End, in the same unit.
    pub to_us: u64,
    /// Factor of the rate.
    pub factor: f64,
}

/// How much arrives.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Seed of the trace.
    pub seed: u64,
    /// Work that arrives, in milliseconds of a machine of speed 1 per millisecond.
    pub work_rate: f64,
    /// Length of the trace, in microseconds.
    pub span_us: u64,
    /// A burst in it.
    pub burst: Option<Burst>,
}

impl Load {
    fn factor(&self, at_us: u64) -> f64 {
        let inside = |burst: &Burst| (burst.from_us..burst.to_us).contains(&at_us);
        self.burst.filter(inside).map_or(1.0, |burst| burst.factor)
    }
}

/// Draws a trace: Poisson arrivals, run times and sizes of jobs log-uniform.
pub fn generate_trace(load: &Load, mix: &Mix) -> Vec<Arrival> {
    let mut rng = StdRng::seed_from_u64(load.seed);
    let gap_us = mean_work_ms(mix) / load.work_rate * 1_000.0;
    let mut arrivals = Vec::new();
    let mut at_us = 0.0;
    loop {
        let unit: f64 = rng.random_range(f64::EPSILON..1.0);
        at_us -= unit.ln() * gap_us / load.factor(at_us as u64);
        if at_us as u64 >= load.span_us {
            return arrivals;
        }
        arrivals.push(draw(&mut rng, at_us as u64, mix));
    }
}

fn draw(rng: &mut StdRng, at_us: u64, mix: &Mix) -> Arrival {
    let roll = rng.random_range(0..100);
    let (kind, count) = if roll < mix.idempotent {
        (Kind::Idempotent, 1)
    } else if roll < mix.idempotent + mix.non_idempotent {
        (Kind::NonIdempotent, 1)
    } else {
        (Kind::Job, log_uniform(rng, (1.0, MAX_TASKS + 1.0)) as usize)
    };
    let tasks_ms = (0..count).map(|_| draw_ms(rng, mix)).collect();
    Arrival { at_us, team: draw_team(rng, mix), kind, tasks_ms }
}

fn draw_ms(rng: &mut StdRng, mix: &Mix) -> f64 {
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
    let task_ms = mean(SHORT_MS) * (1.0 - long) + mean(LONG_MS) * long;
    let singles = f64::from(mix.idempotent + mix.non_idempotent) / 100.0;
    let job_tasks = mean((1.0, MAX_TASKS + 1.0)) - 0.5;
    task_ms * (singles + job_tasks * (1.0 - singles))
}

/// Returns the mean of a log-uniform value.
fn mean((low, high): (f64, f64)) -> f64 {
    (high - low) / (high / low).ln()
}
