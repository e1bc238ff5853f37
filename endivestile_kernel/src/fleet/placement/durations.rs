//! Estimates of task durations and worker speeds, learned from completed tasks.

use std::collections::HashMap;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};

use crate::Time;
use crate::fleet::job::{Job, Step};
use crate::fleet::placement::duration_model::{DurationModel, Hints};

/// Weight of one task in the speed of its worker. Averages over some eight tasks, so that a
/// worker that becomes slow is detected within a second.
const SPEED_WEIGHT: f64 = 0.12;
/// Number of assumed tasks at the usual speed with which the mean of a worker starts.
const PRIOR_TASKS: u32 = 3;
/// Limit of one task's deviation from the mean, as a logarithm, since a stalled task is an
/// outlier.
const MAX_LN_ERROR: f64 = 1.6;
/// Logarithm of the speed above which a worker counts as healthy, 0.4.
const HEALTHY_LN: f64 = -0.92;
/// Logarithm of the factor, 3, by which a task has to be faster than its worker's estimated
/// speed to show that the worker has recovered; beyond the variation of one task. With the
/// decay alone, a worker that stalled would stay unused for half a minute.
const RECOVERY_LN: f64 = 1.1;
/// Share of a worker's slowness that decays each second. Without it a worker that gets no
/// tasks would count as slow forever.
const DECAY_PER_S: f64 = 0.05;

/// Moving average of a logarithm.
#[derive(Debug, Clone, Copy, Default)]
struct Mean {
    ln: f64,
    count: u32,
}

impl Mean {
    fn learn(&mut self, ln: f64, weight: f64) {
        self.count = self.count.saturating_add(1);
        if self.count == 1 {
            self.ln = ln;
            return;
        }
        let weight = weight.max(1.0 / f64::from(self.count));
        self.ln += weight * (ln - self.ln).clamp(-MAX_LN_ERROR, MAX_LN_ERROR);
    }
}

/// Task durations by route and speeds by worker.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    /// Duration model of each route.
    routes: HashMap<Name, DurationModel>,
    /// Logarithm of each worker's speed.
    speeds: HashMap<Name, Mean>,
    /// When the speeds were last normalized and decayed.
    decayed: Time,
    /// Speed that the fastest fifth of the workers reaches, as of the last tick.
    fast: f64,
    policy: Policy,
}

impl Durations {
    /// Starts without any observation.
    pub(crate) fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Returns the expected duration of a task at speed 1, in microseconds.
    pub(crate) fn task_us(&self, job: &Job, estimate_ms: u32) -> f64 {
        let hints = hints(job, estimate_ms);
        match self.routes.get(&job.route).filter(|_| self.policy.has(Mechanism::Durations)) {
            Some(route) => route.expected_us(hints),
            None => hints.estimate_us,
        }
    }

    /// Returns the expected duration of a job's critical path, in microseconds.
    pub(crate) fn critical_path_us(&self, job: &Job) -> f64 {
        let mut ends: Vec<f64> = Vec::with_capacity(job.steps.len());
        for step in &job.steps {
            let before = step.after.iter().filter_map(|at| ends.get(usize::from(*at)));
            let start = before.copied().fold(0.0, f64::max);
            ends.push(start + self.task_us(job, step.estimate_ms));
        }
        ends.into_iter().fold(0.0, f64::max)
    }

    /// Returns the time by which a job has to end to meet its objective.
    pub(crate) fn objective(&self, job: &Job) -> Time {
        let path_us = self.critical_path_us(job);
        let stretched = path_us * f64::from(job.stretch_milli) / 1_000.0;
        job.arrived.after_ms(u64::from(job.allowance_ms)).after_us(stretched as u64)
    }

    /// Returns the expected work of one task of a step, in microseconds of a core at speed 1.
    pub(crate) fn task_work(&self, job: &Job, step: &Step) -> f64 {
        self.task_us(job, step.estimate_ms) * f64::from(step.need.cpu_milli) / 1_000.0
    }

    /// Returns a low estimate of a task's duration, in microseconds.
    ///
    /// Decides whether a job can still end before its deadline. An estimate that is far too
    /// long would refuse all jobs of a route and never be corrected.
    pub(crate) fn min_us(&self, job: &Job, estimate_ms: u32) -> f64 {
        let declared = f64::from(estimate_ms) * 1_000.0;
        self.task_us(job, estimate_ms).min(declared) / 2.0
    }

    /// Returns the speed of a worker, 1 if unknown.
    pub(crate) fn speed(&self, worker: &str) -> f64 {
        let learned = self.speeds.get(worker).filter(|_| self.policy.has(Mechanism::Speeds));
        learned.map_or(1.0, |mean| mean.ln.exp())
    }

    /// Returns the speed that the fastest fifth of the workers reaches, at least 1.
    pub(crate) fn fast_speed(&self) -> f64 {
        self.fast.max(1.0)
    }

    /// Learns from the duration of a completed task, in microseconds.
    pub(crate) fn learn(&mut self, job: &Job, estimate_ms: u32, worker: &Name, took_us: f64) {
        let took = took_us.max(1_000.0).ln();
        let expected = self.task_us(job, estimate_ms).ln();
        let speed = self.speeds.entry(worker.clone()).or_default();
        let known = speed.ln;
        // One task says little about its worker: the mean starts as if some at the usual speed
        // had preceded it.
        speed.count = speed.count.max(PRIOR_TASKS);
        if expected - took > speed.ln + RECOVERY_LN {
            speed.ln = (expected - took).min(0.0);
        }
        speed.learn(expected - took, SPEED_WEIGHT);
        let hints = hints(job, estimate_ms);
        let route =
            self.routes.entry(job.route.clone()).or_insert_with(|| DurationModel::new(hints));
        route.update(hints, took_us * known.exp());
    }

    /// Records a worker that is slower than expected by a factor.
    pub(crate) fn record_slowdown(&mut self, worker: &Name, factor: f64) {
        let speed = self.speeds.entry(worker.clone()).or_default();
        let ln = -factor.max(1.0).ln();
        speed.ln = speed.ln.min(ln.max(-2.0 * MAX_LN_ERROR));
        speed.count = speed.count.max(1);
    }

    /// Normalizes the speeds and decays slowness once per second.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.decayed.after_ms(1_000) > now {
            return;
        }
        self.decayed = now;
        self.normalize();
        self.fast = self.upper_quintile();
        for mean in self.speeds.values_mut().filter(|mean| mean.ln < 0.0) {
            mean.ln *= 1.0 - DECAY_PER_S;
        }
    }

    /// Scales all speeds so that the geometric mean of the healthy workers is 1.
    ///
    /// Speeds and durations are learned from each other and would otherwise drift together:
    /// objectives, which derive from durations at speed 1, would be a sixth too short after
    /// some seconds of traffic.
    fn normalize(&mut self) {
        let healthy = self.speeds.values().map(|mean| mean.ln).filter(|ln| *ln > HEALTHY_LN);
        let (sum, count) = healthy.fold((0.0, 0.0), |(sum, count), ln| (sum + ln, count + 1.0));
        if count == 0.0 {
            return;
        }
        for mean in self.speeds.values_mut() {
            mean.ln -= sum / count;
        }
    }

    /// Returns the speed that the fastest fifth of the workers reaches.
    fn upper_quintile(&self) -> f64 {
        let mut speeds: Vec<f64> = self.speeds.values().map(|mean| mean.ln).collect();
        speeds.sort_by(f64::total_cmp);
        speeds.get(speeds.len() * 4 / 5).map_or(1.0, |ln| ln.exp())
    }

    /// Drops the speeds of workers that are not `known`.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.speeds.retain(|worker, _| known(worker));
    }
}

/// Returns the hints of a job's caller about a task.
fn hints(job: &Job, estimate_ms: u32) -> Hints {
    Hints {
        estimate_us: f64::from(estimate_ms.max(1)) * 1_000.0,
        budget_us: job.deadline.since(job.arrived).as_micros() as f64,
    }
}
