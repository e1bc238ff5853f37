//! What time alone brings about: deadlines, stalled runs, forwarded tasks that wait.

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::job_state::TaskState;
use crate::fleet::metrics::Count;
use crate::fleet::placement::stalls::{Progress, stalled_runs};
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::run::{EndedRun, Run, RunId};
use crate::{Level, Time};

/// Longest wait of a forwarded task for room, in milliseconds: the host that forwarded it
/// may know better by then.
const FORWARD_WAIT_MS: u64 = 15;
/// Age of a run from which on its progress is judged, in milliseconds: one
/// hold's wait, so that the worker has told it at least once.
const JUDGED_MS: u64 = 160;
/// Speed of a worker that is no trouble, at the least: the slowest of the users'
/// workers does 0.6 of the usual.
const SLOWEST: f64 = 0.5;
/// Time before a deadline at which a job is given up, in milliseconds; the
/// answer has to reach its caller in time.
const RESERVE_MS: u64 = 25;

impl Scheduler {
    /// Does what is due.
    pub(crate) fn tick(&mut self, now: Time) {
        self.durations.tick(now);
        self.lag.tick(now);
        self.tick_drivers(now);
        self.pass_deadlines(now);
        self.return_forwarded(now);
        self.judge_runs(now);
        self.resume_deferred(now);
        self.shed(now);
        self.dirty |= self.queues.values().any(|queue| queue.len() > 0);
    }

    fn tick_drivers(&mut self, now: Time) {
        let mut calls: Vec<WorkerCall> = Vec::new();
        let mut past: Vec<(Name, Vec<EndedRun>)> = Vec::new();
        let mut gone: Vec<Name> = Vec::new();
        for (worker, driver) in &mut self.drivers {
            let ended = driver.tick(now, &mut calls);
            if !ended.is_empty() {
                past.push((worker.clone(), ended));
            }
            if (!driver.registered || driver.abandoned) && driver.removable(now) {
                gone.push(worker.clone());
            }
        }
        self.out.extend(calls.into_iter().map(Output::Call));
        for worker in &gone {
            self.drivers.remove(worker);
        }
        for (worker, ended) in past {
            self.handle_ended(now, &worker, ended);
        }
        if !gone.is_empty() {
            let drivers = &self.drivers;
            self.durations.retain(|worker| drivers.contains_key(worker));
            self.health.retain(|worker| drivers.contains_key(worker));
        }
    }

    fn pass_deadlines(&mut self, now: Time) {
        while let Some(&(deadline, number)) = self.deadlines.first() {
            if deadline > now.after_ms(RESERVE_MS) {
                return;
            }
            self.deadlines.pop_first();
            self.abandon_job(now, number);
        }
    }

    /// Gives forwarded tasks back that found no room.
    fn return_forwarded(&mut self, now: Time) {
        let waits = |(number, state): (&u64, &crate::fleet::job_state::JobState)| {
            let long = state.received_at.after_ms(FORWARD_WAIT_MS) <= now;
            let waiting = state.tasks.iter().any(|slot| matches!(slot.state, TaskState::Queued(_)));
            let back = state.job.forwarded && long && waiting && state.ending.is_none();
            back.then_some(*number)
        };
        let back: Vec<u64> = self.jobs.iter().filter_map(waits).collect();
        for number in back {
            self.return_task(now, number);
        }
    }

    /// Stops runs that make so little progress that a new one elsewhere would
    /// end earlier. A worker that hangs looks healthy otherwise.
    fn judge_runs(&mut self, now: Time) {
        if !self.policy.has(Mechanism::Stalls) {
            return;
        }
        let runs = self.told_runs();
        for (run, factor) in stalled_runs(&runs) {
            let (worker, task) = (run.worker.clone(), run.task);
            self.durations.record_slowdown(&worker, factor);
            self.health.record_stall(now, &worker);
            self.out.push(Output::Count(Count::RunsStalled));
            let more = [
                ("worker", worker.to_string()),
                ("task", task.task.to_string()),
                ("slower", format!("{factor:.1}")),
            ];
            self.log_job(Level::Info, "run_stalled", task.job, &more);
            if let Some(state) = self.jobs.get_mut(&task.job) {
                state.stats.stalled += 1;
            }
            if let Some(driver) = self.drivers.get_mut(&worker) {
                driver.stop_run(now, &run.id);
            }
        }
    }

    /// Returns the runs of which their workers have told since they began.
    fn told_runs(&self) -> Vec<Progress> {
        let mut runs = Vec::new();
        for (worker, driver) in &self.drivers {
            let told = driver.runs.iter().filter(|(_, run)| !run.stopping);
            runs.extend(told.filter_map(|(id, run)| self.progress(worker, id, run)));
        }
        runs
    }

    fn progress(&self, worker: &Name, id: &RunId, run: &Run) -> Option<Progress> {
        let age_us = run.seen.since(run.sent).as_micros() as f64;
        if age_us < (JUDGED_MS * 1_000) as f64 {
            return None;
        }
        let task = run.task?;
        let state = self.jobs.get(&task.job)?;
        let estimate = state.step(task.task as usize).estimate_ms;
        Some(Progress {
            worker: worker.clone(),
            id: id.clone(),
            task,
            age_us,
            percent: run.percent,
            // A worker that is known to be slow is still not waited for.
            speed: self.durations.speed(worker).clamp(SLOWEST, 1.0),
            expected_us: self.durations.task_us(&state.job, estimate),
            measured_us: state.work_us,
        })
    }
}
