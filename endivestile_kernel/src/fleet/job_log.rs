//! The log line that an owner writes when a job ends, and the count of jobs that wait.

use std::collections::BTreeMap;

use endivestile_config::model::Name;

use crate::fleet::admission::queue::Queue;
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::job_state::JobState;
use crate::fleet::scheduler::{Scheduler, has_capacity};
use crate::{Level, Time};

/// Counts of what delayed a job, for its log line.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunStats {
    /// When a task was last sent to a worker.
    pub(crate) last_order: Option<Time>,
    /// Estimated speed of that worker; 1 is the usual speed.
    pub(crate) speed: f64,
    /// Runs that were stopped because they made no progress.
    pub(crate) stalled: u32,
    /// Runs that failed.
    pub(crate) failed: u32,
    /// Runs without a result: unanswered start, expired lease or lost worker.
    pub(crate) vanished: u32,
}

impl Scheduler {
    /// Returns the number of jobs with no task started, by route.
    pub(crate) fn pending(&self) -> BTreeMap<Name, u32> {
        let mut pending: BTreeMap<Name, u32> = BTreeMap::new();
        let waiting = |state: &&JobState| {
            state.started.is_none() && state.ending.is_none() && !state.job.forwarded
        };
        for state in self.jobs.values().filter(waiting) {
            *pending.entry(state.job.route.clone()).or_default() += 1;
        }
        pending
    }

    /// Logs the end of a job with the inputs of the decisions about it.
    ///
    /// A job that met its objective gets a short line at debug level, to save the cost of
    /// the full one for the majority of jobs.
    pub(crate) fn log_end(&mut self, now: Time, number: u64, end: JobEnd, started: bool) {
        let Some(state) = self.jobs.get(&number) else { return };
        let in_time = end == JobEnd::Done && now <= state.objective;
        // A task that found no free capacity here continues at the host that forwarded it.
        let returned = state.job.forwarded && matches!(end, JobEnd::NotRun { .. });
        if in_time || returned {
            let ms = now.since(state.received_at).as_millis().to_string();
            let more = [("end", end.label().to_owned()), ("ms", ms)];
            return self.log_job(Level::Debug, "placed_job_ended", number, &more);
        }
        let more = self.full_line(now, state, end, started);
        self.log_job(Level::Info, "placed_job_ended", number, &more);
    }

    /// Returns how many workers have capacity for a task of a job's first step, and how many
    /// more would have it but are unhealthy, slow or unreachable.
    fn workers_for(&self, now: Time, state: &JobState) -> (usize, usize) {
        let Some(step) = state.job.steps.first() else { return (0, 0) };
        let fits = self.drivers.iter().filter(|(_, driver)| {
            driver.entry.service == state.job.service
                && has_capacity(&driver.free_capacity(), &step.need)
        });
        let (free, excluded): (Vec<_>, Vec<_>) =
            fits.partition(|(id, driver)| driver.usable(now) && self.healthy(now, id));
        (free.len(), excluded.len())
    }

    fn full_line(
        &self,
        now: Time,
        state: &JobState,
        end: JobEnd,
        started: bool,
    ) -> Vec<(&'static str, String)> {
        let stats = &state.stats;
        let after = |at: Time| at.since(state.received_at).as_millis().to_string();
        let (free, excluded) = self.workers_for(now, state);
        let waiting = self.queues.get(&state.job.service).map_or(0, Queue::len);
        let usual_us = self.durations.critical_path_us(&state.job);
        vec![
            ("end", end.label().to_owned()),
            ("reason", end.reason().map_or("", Reason::label).to_owned()),
            ("route", state.job.route.to_string()),
            ("forwarded", state.job.forwarded.to_string()),
            ("started", started.to_string()),
            ("starts", state.starts.to_string()),
            ("waited_ms", after(state.started.unwrap_or(now))),
            ("last_order_ms", after(stats.last_order.unwrap_or(now))),
            ("ms", after(now)),
            ("objective_ms", after(state.objective)),
            ("deadline_ms", after(state.job.deadline)),
            ("usual_ms", format!("{:.0}", usual_us / 1_000.0)),
            ("core_ms", format!("{:.0}", core_us(state, usual_us) / 1_000.0)),
            ("speed", format!("{:.2}", stats.speed)),
            ("stalled", stats.stalled.to_string()),
            ("failed", stats.failed.to_string()),
            ("vanished", stats.vanished.to_string()),
            ("free", free.to_string()),
            ("shut", excluded.to_string()),
            ("waiting", waiting.to_string()),
        ]
    }
}

/// Returns the work of a job in microseconds of a core, if each task takes `task_us`.
fn core_us(state: &JobState, task_us: f64) -> f64 {
    let cores = |step: &crate::fleet::job::Step| {
        f64::from(step.need.cpu_milli) / 1_000.0 * f64::from(step.count)
    };
    state.job.steps.iter().map(cores).sum::<f64>() * task_us
}
