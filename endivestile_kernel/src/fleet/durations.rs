//! How long tasks take, and how fast workers are, as learnt from ends.

use std::collections::HashMap;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};

use super::job::Job;
use crate::Time;

/// Weight of one task's duration in the mean of its route: some thirty tasks
/// count, a second or less of traffic.
const ROUTE_WEIGHT: f64 = 0.03;
/// Weight of one task's duration in the speed of its worker: some eight tasks
/// count, so that a worker that has turned slow is known after a second.
const SPEED_WEIGHT: f64 = 0.12;
/// Tasks of a route before its mean says more than the callers' estimates.
const ENOUGH: u32 = 10;
/// Tasks at the usual speed that a worker is taken to have done at first.
const FIRST: u32 = 3;
/// Longest factor that one task moves a mean by, as a logarithm: a task that
/// stood still says little of the next.
const STEP: f64 = 1.6;
/// Part of a worker's slowness that is forgiven each second: without it a
/// worker that nobody uses would count as slow for ever.
const FORGIVEN: f64 = 0.05;

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
        self.ln += weight * (ln - self.ln).clamp(-STEP, STEP);
    }
}

/// Durations by route and speeds by worker.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    /// Logarithm of the true duration at speed 1 over the declared one.
    declared: HashMap<Name, Mean>,
    /// Logarithm of the duration at speed 1, in microseconds.
    routes: HashMap<Name, Mean>,
    /// Logarithm of the speed.
    speeds: HashMap<Name, Mean>,
    forgiven: Time,
    /// Speed that one worker in five reaches, as last worked out.
    fast: f64,
    policy: Policy,
}

impl Durations {
    /// Starts with nothing known.
    pub(crate) fn new(policy: Policy) -> Self {
        Self { policy, ..Self::default() }
    }

    /// Returns the expected duration of a task at speed 1, in microseconds.
    ///
    /// Estimates of callers and the mean of the route scatter about as much
    /// around the truth, so the middle of both scatters less than either.
    pub(crate) fn task_us(&self, job: &Job, estimate_ms: u32) -> f64 {
        let declared = f64::from(estimate_ms.max(1)) * 1_000.0;
        if !self.policy.has(Mechanism::Durations) {
            return declared;
        }
        let bias = self.declared.get(&job.route).filter(|mean| mean.count >= ENOUGH);
        let bias = bias.map_or(0.0, |mean| mean.ln);
        let told = declared.ln() + bias;
        match self.routes.get(&job.route).filter(|mean| mean.count >= ENOUGH) {
            Some(mean) => f64::midpoint(told, mean.ln).exp(),
            None => told.exp(),
        }
    }

    /// Returns a duration that the task hardly stays below, in microseconds.
    ///
    /// Jobs are given up by this one: an estimate that is far too long would
    /// refuse them all, and nothing would ever correct it.
    pub(crate) fn least_us(&self, job: &Job, estimate_ms: u32) -> f64 {
        let declared = f64::from(estimate_ms) * 1_000.0;
        let learnt = self.routes.get(&job.route).filter(|mean| mean.count >= ENOUGH);
        learnt.map_or(declared, |mean| mean.ln.exp().min(declared)) / 2.0
    }

    /// Returns the speed of a worker, 1 for one of which nothing is known.
    pub(crate) fn speed(&self, worker: &str) -> f64 {
        let learnt = self.speeds.get(worker).filter(|_| self.policy.has(Mechanism::Speeds));
        learnt.map_or(1.0, |mean| mean.ln.exp())
    }

    /// Returns the speed that one worker in five reaches.
    pub(crate) fn fast(&self) -> f64 {
        self.fast.max(1.0)
    }

    /// Takes in the duration of a task that ended well.
    pub(crate) fn learn(&mut self, job: &Job, estimate_ms: u32, worker: &Name, took_us: f64) {
        let took = took_us.max(1_000.0).ln();
        let expected = self.task_us(job, estimate_ms).ln();
        let speed = self.speeds.entry(worker.clone()).or_default();
        let known = speed.ln;
        // A single task says little of its worker: the first ones count as if
        // others at the usual speed had gone before.
        speed.count = speed.count.max(FIRST);
        speed.learn(expected - took, SPEED_WEIGHT);
        let base = took + known;
        self.routes.entry(job.route.clone()).or_default().learn(base, ROUTE_WEIGHT);
        let declared = (f64::from(estimate_ms.max(1)) * 1_000.0).ln();
        self.declared.entry(job.route.clone()).or_default().learn(base - declared, ROUTE_WEIGHT);
    }

    /// Takes in that a worker does a task this many times slower than expected.
    pub(crate) fn slowed(&mut self, worker: &Name, factor: f64) {
        let speed = self.speeds.entry(worker.clone()).or_default();
        let ln = -factor.max(1.0).ln();
        speed.ln = speed.ln.min(ln.max(-2.0 * STEP));
        speed.count = speed.count.max(1);
    }

    /// Forgives slowness as time passes.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.forgiven.after_ms(1_000) > now {
            return;
        }
        self.forgiven = now;
        self.fast = self.upper_speed();
        for mean in self.speeds.values_mut().filter(|mean| mean.ln < 0.0) {
            mean.ln *= 1.0 - FORGIVEN;
        }
    }

    fn upper_speed(&self) -> f64 {
        let mut speeds: Vec<f64> = self.speeds.values().map(|mean| mean.ln).collect();
        speeds.sort_by(f64::total_cmp);
        speeds.get(speeds.len() * 4 / 5).map_or(1.0, |ln| ln.exp())
    }

    /// Forgets workers that are gone.
    pub(crate) fn retain(&mut self, known: impl Fn(&Name) -> bool) {
        self.speeds.retain(|worker, _| known(worker));
    }
}
