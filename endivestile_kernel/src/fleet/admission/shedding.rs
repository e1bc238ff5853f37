//! Load shedding: refuses late jobs that cannot be done before their deadline.
//!
//! In a burst of up to twice the work that the workers can do, late jobs wait behind all
//! others, most of them until their deadline. Instead of letting their callers wait for
//! nothing, a job is refused as soon as the start rate shows that its turn comes too late,
//! with the time at which a retry is worthwhile.

use std::collections::BTreeMap;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::admission::queue::QueueKey;
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::scheduler::Scheduler;

/// Interval between two checks of the late jobs, in milliseconds.
const INTERVAL_MS: u64 = 50;
/// Weight of one interval in the moving average of the start rate; averages over about a second.
const RATE_WEIGHT: f64 = 0.05;
/// Factor on the wait that the current start rate of late tasks predicts, since the rate
/// falls as a burst goes on. Refuses 60 to 140 ms sooner than 1.0 would, while as many jobs
/// meet their objective.
const WAIT_FACTOR: f64 = 2.0;
/// Shortest retry delay in a refusal, in milliseconds.
const RETRY_MIN_MS: u64 = 1_000;
/// Longest retry delay in a refusal, in milliseconds.
const RETRY_MAX_MS: u64 = 10_000;

/// Moving average of starts per second.
#[derive(Debug, Default)]
struct Rate {
    starts: u32,
    per_s: f64,
}

impl Rate {
    fn update(&mut self, seconds: f64) {
        let current = f64::from(std::mem::take(&mut self.starts)) / seconds;
        self.per_s += RATE_WEIGHT * (current - self.per_s);
    }
}

/// Start rates of one service's tasks.
#[derive(Debug, Default)]
pub(crate) struct ServiceRates {
    /// Rates of late tasks by the priority of their route: low priorities wait for as long
    /// as higher ones arrive, however few tasks are ahead of them.
    late: BTreeMap<u32, Rate>,
}

/// Start rates by service.
#[derive(Debug, Default)]
pub(crate) struct StartRates {
    services: BTreeMap<Name, ServiceRates>,
    updated: Time,
}

impl StartRates {
    /// Counts a start of the task at a queue position.
    pub(crate) fn record_start(&mut self, service: &Name, key: &QueueKey) {
        let rates = self.services.entry(service.clone()).or_default();
        if key.late {
            rates.late.entry(key.rank.0).or_default().starts += 1;
        }
    }

    /// Updates the rates once per interval; returns whether it did.
    fn update(&mut self, now: Time) -> bool {
        let span = now.since(self.updated);
        if span.as_millis() < u128::from(INTERVAL_MS) {
            return false;
        }
        self.updated = now;
        let seconds = span.as_secs_f64();
        for rates in self.services.values_mut() {
            rates.late.values_mut().for_each(|rate| rate.update(seconds));
        }
        true
    }

    /// Returns the starts per second of late tasks of a priority, at least one.
    fn late_rate(&self, service: &Name, priority: u32) -> f64 {
        let rates = self.services.get(service);
        let late = rates.and_then(|rates| rates.late.get(&priority));
        late.map_or(0.0, |rate| rate.per_s).max(1.0)
    }
}

impl Scheduler {
    /// Refuses late jobs with no started task whose turn is predicted to come too late.
    pub(crate) fn shed(&mut self, now: Time) {
        if !self.start_rates.update(now) || !self.policy.has(Mechanism::Shedding) {
            return;
        }
        let services: Vec<Name> = self.queues.keys().cloned().collect();
        for service in services {
            self.shed_service(now, &service);
        }
    }

    fn shed_service(&mut self, now: Time, service: &Name) {
        let Some(queue) = self.queues.get(service) else { return };
        let mut refused: Vec<(u64, f64)> = Vec::new();
        let mut last_job = None;
        let mut queued: BTreeMap<u32, u32> = BTreeMap::new();
        for (key, task) in queue.late_tasks() {
            let queued = queued.entry(key.rank.0).or_default();
            let ahead = std::mem::replace(queued, *queued + 1);
            if last_job == Some(task.job) {
                continue;
            }
            last_job = Some(task.job);
            let Some(state) = self.jobs.get(&task.job).filter(|state| !state.may_have_run()) else {
                continue;
            };
            let wait_s =
                WAIT_FACTOR * f64::from(ahead) / self.start_rates.late_rate(service, key.rank.0);
            let step = state.step(task.task as usize);
            let run_us = self.durations.min_us(&state.job, step.estimate_ms);
            let end = now.after_us((wait_s * 1e6 + run_us) as u64);
            if end > state.job.deadline {
                refused.push((task.job, wait_s));
            }
        }
        for (number, wait_s) in refused {
            let wait_ms = (wait_s * 1_000.0) as u64;
            let retry = now.after_ms(wait_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS));
            let end = JobEnd::NotRun { reason: Reason::Overload, retry };
            self.close(now, number, end, true);
        }
    }
}
