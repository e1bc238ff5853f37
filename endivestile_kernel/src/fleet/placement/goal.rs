//! Until when a task has to end to be worth its place.
//!
//! The load that this answers: while some workers are many times slower than the
//! others, their places are the ones that stay free. A job that is begun there is
//! bound to be late, where a place on another worker is due a few milliseconds on.

use endivestile_config::{Mechanism, Policy};

use crate::Time;

/// Reserve over a task's expected duration within which it has to meet its objective at
/// first: the longest of a job's tasks, and what is not known of its worker's speed, need
/// it. It shrinks with what a job can still wait: a place that may do is better than none.
/// Served well in a burst, in virtual time: 73.0% of all jobs without it, 76.0 with it.
const MARGIN: f64 = 0.25;

/// What decides whether a place is worth taking.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskTiming {
    /// When the job came.
    pub(crate) arrived: Time,
    /// Until when its caller is served well.
    pub(crate) objective: Time,
    /// Until when its caller waits.
    pub(crate) deadline: Time,
    /// What the task is expected to take at speed 1, in microseconds.
    pub(crate) run_us: f64,
    /// Speed that one worker in five reaches.
    pub(crate) fast: f64,
}

/// The instant by which a task has to end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Goal {
    by: Time,
    /// How many times its expected duration has to fit in.
    times: f64,
    /// Whether the objective is out of reach and the deadline counts.
    pub(crate) late: bool,
}

impl Goal {
    /// Returns the objective while a fast worker could still meet that, else the deadline.
    pub(crate) fn new(now: Time, timing: &TaskTiming, policy: Policy) -> Self {
        if !policy.has(Mechanism::Fitting) {
            return Self { by: Time::from_micros(u64::MAX), times: 1.0, late: false };
        }
        let least_us = timing.run_us / timing.fast;
        if now.after_us(least_us as u64) > timing.objective {
            return Self { by: timing.deadline, times: 1.0, late: true };
        }
        let reserve = if policy.has(Mechanism::Reserve) { timing.reserve(now) } else { 0.0 };
        Self { by: timing.objective, times: 1.0 + reserve, late: false }
    }

    /// Returns whether a run that is expected to take so many microseconds is worth its place.
    pub(crate) fn allows(&self, now: Time, run_us: f64) -> bool {
        now.after_us((run_us * self.times) as u64) <= self.by
    }
}

impl TaskTiming {
    fn reserve(&self, now: Time) -> f64 {
        let left = self.slack_s(now) / self.slack_s(self.arrived).max(1e-3);
        MARGIN * left.min(1.0)
    }

    /// Returns how long it could wait from an instant on, in seconds.
    fn slack_s(&self, from: Time) -> f64 {
        self.objective.since(from.after_us(self.run_us as u64)).as_secs_f64()
    }
}
