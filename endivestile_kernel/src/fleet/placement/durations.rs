//! How long tasks take, and how fast workers are, as learnt from ends.

use std::collections::HashMap;

use endivestile_config::model::Name;
use endivestile_config::{Mechanism, Policy};

use crate::Time;
use crate::fleet::job::Job;
use crate::fleet::placement::duration_model::{DurationModel, Hints};

/// Weight of one task's duration in the speed of its worker: some eight tasks
/// count, so that a worker that has turned slow is known after a second.
const SPEED_WEIGHT: f64 = 0.12;
/// Tasks at the usual speed that a worker is taken to have done at first.
const FIRST: u32 = 3;
/// Longest factor that one task moves a mean by, as a logarithm: a task that
/// stood still says little of the next.
const STEP: f64 = 1.6;
/// Logarithm of the speed above which a worker is taken to be in no trouble: 0.4.
const SOUND: f64 = -0.92;
/// How much faster than believed, as a logarithm, a task has to end to show that its
/// worker is out of trouble: three times, beyond the scatter of one task. Forgiveness
/// alone would leave a worker that stood still unused for half a minute.
const RECOVERED: f64 = 1.1;
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
    /// What the tasks of each route take.
    routes: HashMap<Name, DurationModel>,
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
    pub(crate) fn task_us(&self, job: &Job, estimate_ms: u32) -> f64 {
        let hints = hints(job, estimate_ms);
        match self.routes.get(&job.route).filter(|_| self.policy.has(Mechanism::Durations)) {
            Some(route) => route.expected_us(hints),
            None => hints.estimate_us,
        }
    }

    /// Returns a duration that the task hardly stays below, in microseconds.
    ///
    /// Jobs are given up by this one: an estimate that is far too long would
    /// refuse them all, and nothing would ever correct it.
    pub(crate) fn min_us(&self, job: &Job, estimate_ms: u32) -> f64 {
        let declared = f64::from(estimate_ms) * 1_000.0;
        self.task_us(job, estimate_ms).min(declared) / 2.0
    }

    /// Returns the speed of a worker, 1 for one of which nothing is known.
    pub(crate) fn speed(&self, worker: &str) -> f64 {
        let learnt = self.speeds.get(worker).filter(|_| self.policy.has(Mechanism::Speeds));
        learnt.map_or(1.0, |mean| mean.ln.exp())
    }

    /// Returns the speed that one worker in five reaches.
    pub(crate) fn fast_speed(&self) -> f64 {
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
        if expected - took > speed.ln + RECOVERED {
            speed.ln = (expected - took).min(0.0);
        }
        speed.learn(expected - took, SPEED_WEIGHT);
        let hints = hints(job, estimate_ms);
        let route =
            self.routes.entry(job.route.clone()).or_insert_with(|| DurationModel::new(hints));
        route.update(hints, took_us * known.exp());
    }

    /// Takes in that a worker does a task this many times slower than expected.
    pub(crate) fn record_slowdown(&mut self, worker: &Name, factor: f64) {
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
        self.anchor();
        self.fast = self.upper_speed();
        for mean in self.speeds.values_mut().filter(|mean| mean.ln < 0.0) {
            mean.ln *= 1.0 - FORGIVEN;
        }
    }

    /// Shifts all speeds so that the usual one is 1, in the geometric mean of the
    /// workers that are not in trouble.
    ///
    /// Speeds and durations are learnt from each other, and nothing else keeps both from
    /// drifting apart together: objectives, which are worked out from durations at
    /// speed 1, would be a sixth too short after some seconds of traffic.
    fn anchor(&mut self) {
        let sound = self.speeds.values().map(|mean| mean.ln).filter(|ln| *ln > SOUND);
        let (sum, count) = sound.fold((0.0, 0.0), |(sum, count), ln| (sum + ln, count + 1.0));
        if count == 0.0 {
            return;
        }
        for mean in self.speeds.values_mut() {
            mean.ln -= sum / count;
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

fn hints(job: &Job, estimate_ms: u32) -> Hints {
    Hints {
        estimate_us: f64::from(estimate_ms.max(1)) * 1_000.0,
        budget_us: job.deadline.since(job.arrived).as_micros() as f64,
    }
}
