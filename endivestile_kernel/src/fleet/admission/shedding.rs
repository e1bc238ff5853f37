//! What is given up when more comes than the workers can do.
//!
//! The load that this answers: callers bring up to twice the work that the
//! workers can do, for seconds. Jobs that are already late then wait behind all
//! that are not, most of them until their callers' deadlines, and those callers
//! learn nothing meanwhile. A job whose turn cannot come in time is refused as
//! soon as that shows, with the time at which it is worth coming back.

use std::collections::BTreeMap;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::admission::queue::QueueKey;
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::scheduler::Scheduler;

/// Time between two looks at the late jobs, in milliseconds.
const LOOK_MS: u64 = 50;
/// Weight of one look in the rate of starts: about a second counts.
const RATE_WEIGHT: f64 = 0.05;
/// How many times longer than the rate of late starts says a late job is taken to wait:
/// the rate falls as a burst goes on. Callers hear 60 to 140 ms sooner that they are
/// refused, and as many are served well.
const WAITS: f64 = 2.0;
/// Shortest time to come back after, in milliseconds.
const RETRY_MIN_MS: u64 = 1_000;
/// Longest time to come back after, in milliseconds.
const RETRY_MAX_MS: u64 = 10_000;

/// Starts, and how many there are in a second.
#[derive(Debug, Default)]
struct Rate {
    starts: u32,
    per_s: f64,
}

impl Rate {
    fn look(&mut self, seconds: f64) {
        let seen = f64::from(std::mem::take(&mut self.starts)) / seconds;
        self.per_s += RATE_WEIGHT * (seen - self.per_s);
    }
}

/// Starts of one service's tasks.
#[derive(Debug, Default)]
pub(crate) struct ServiceRates {
    /// Starts of late tasks, by the priority of their routes: those of a lower
    /// priority wait for as long as higher ones come, however few are before them.
    late: BTreeMap<u32, Rate>,
}

/// Rates of starts, by service.
#[derive(Debug, Default)]
pub(crate) struct StartRates {
    services: BTreeMap<Name, ServiceRates>,
    looked: Time,
}

impl StartRates {
    /// Counts a start.
    pub(crate) fn record_start(&mut self, service: &Name, key: &QueueKey) {
        let flow = self.services.entry(service.clone()).or_default();
        if key.late {
            flow.late.entry(key.rank.0).or_default().starts += 1;
        }
    }

    /// Works the rates out anew; returns whether it was time for that.
    fn look(&mut self, now: Time) -> bool {
        let span = now.since(self.looked);
        if span.as_millis() < u128::from(LOOK_MS) {
            return false;
        }
        self.looked = now;
        let seconds = span.as_secs_f64();
        for flow in self.services.values_mut() {
            flow.late.values_mut().for_each(|rate| rate.look(seconds));
        }
        true
    }

    /// Returns how many late tasks of a priority are started in a second, one at least.
    fn late_rate(&self, service: &Name, priority: u32) -> f64 {
        let flow = self.services.get(service);
        let late = flow.and_then(|flow| flow.late.get(&priority));
        late.map_or(0.0, |rate| rate.per_s).max(1.0)
    }
}

impl Scheduler {
    /// Refuses late jobs whose turn cannot come in time, from the end of the queue on.
    pub(crate) fn shed(&mut self, now: Time) {
        if !self.start_rates.look(now) || !self.policy.has(Mechanism::Shedding) {
            return;
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.shed_service(now, &service);
        }
    }

    fn shed_service(&mut self, now: Time, service: &Name) {
        let Some(queue) = self.queues.get(service) else { return };
        let mut hopeless: Vec<(u64, f64)> = Vec::new();
        let mut last = None;
        let mut before: BTreeMap<u32, u32> = BTreeMap::new();
        for (key, task) in queue.late_tasks() {
            let before = before.entry(key.rank.0).or_default();
            let ahead = std::mem::replace(before, *before + 1);
            if last == Some(task.job) {
                continue;
            }
            last = Some(task.job);
            let Some(state) = self.jobs.get(&task.job).filter(|state| !state.may_have_run()) else {
                continue;
            };
            let wait_s = WAITS * f64::from(ahead) / self.start_rates.late_rate(service, key.rank.0);
            let step = state.step(task.task as usize);
            let run_us = self.durations.min_us(&state.job, step.estimate_ms);
            let end = now.after_us((wait_s * 1e6 + run_us) as u64);
            if end > state.job.deadline {
                hopeless.push((task.job, wait_s));
            }
        }
        for (number, wait_s) in hopeless {
            let wait_ms = (wait_s * 1_000.0) as u64;
            let retry = now.after_ms(wait_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS));
            let end = JobEnd::NotRun { reason: Reason::Overload, retry };
            self.close(now, number, end, true);
        }
    }
}
