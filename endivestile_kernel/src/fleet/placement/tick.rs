//! Periodic work of the scheduler: renewals, deadlines, stalled runs, waiting forwarded tasks.

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::job_state::TaskState;
use crate::fleet::metrics::Count;
use crate::fleet::placement::stalls::{AwaitedRun, Progress, Prospect, stalled_runs};
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::call::WorkerCall;
use crate::fleet::workers::run::{EndedRun, Run, RunId, TaskRef};
use crate::{Level, Time};

/// Longest wait of a forwarded task for free capacity, in milliseconds; then it is returned,
/// since its host may have a better place by now.
const FORWARD_WAIT_MS: u64 = 15;
/// Age of a run from which on it may count as stalled, in milliseconds. Longer than the long
/// poll of a renewal, so that the worker has reported the run at least once.
const MIN_AGE_MS: u64 = 160;
/// Lower bound of the speed of a healthy worker; the slowest of the users' workers have 0.6.
const MIN_SPEED: f64 = 0.5;
/// Time before its deadline at which a job is given up, in milliseconds, so that the answer
/// reaches the caller in time.
const ANSWER_MARGIN_MS: u64 = 25;

impl Scheduler {
    /// Runs all periodic work that is due.
    pub(crate) fn tick(&mut self, now: Time) {
        self.durations.tick(now);
        self.lag.tick(now);
        self.tick_drivers(now);
        self.check_capacity(now);
        self.expire_deadlines(now);
        self.return_forwarded(now);
        self.stop_stalled_runs(now);
        self.stop_hopeless_runs(now);
        self.resume_deferred(now);
        self.shed(now);
        self.dirty |= self.queues.values().any(|queue| !queue.is_empty());
    }

    fn tick_drivers(&mut self, now: Time) {
        let mut calls: Vec<WorkerCall> = Vec::new();
        let mut ended_runs: Vec<(Name, Vec<EndedRun>)> = Vec::new();
        let mut removed: Vec<Name> = Vec::new();
        for (worker, driver) in &mut self.drivers {
            if driver.renewal_due(now) {
                let jobs = &self.jobs;
                let hold_end = |task: TaskRef| {
                    jobs.get(&task.job).map(|state| state.hold_end(&self.me, &self.hold_ends))
                };
                if driver.update_hold(now, hold_end) {
                    self.out.push(Output::Count(Count::LeasesShortened));
                }
            }
            let ended = driver.tick(now, &mut calls);
            if !ended.is_empty() {
                ended_runs.push((worker.clone(), ended));
            }
            if (!driver.registered || driver.abandoned) && driver.removable(now) {
                removed.push(worker.clone());
            }
        }
        self.out.extend(calls.into_iter().map(Output::Call));
        for (worker, _) in &ended_runs {
            self.observe_losses(now, worker, false);
        }
        for worker in &removed {
            self.drivers.remove(worker);
        }
        for (worker, ended) in ended_runs {
            self.handle_ended(now, &worker, ended);
        }
        if !removed.is_empty() {
            let drivers = &self.drivers;
            self.durations.retain(|worker| drivers.contains_key(worker));
            self.health.retain(|worker| drivers.contains_key(worker));
        }
    }

    fn expire_deadlines(&mut self, now: Time) {
        while let Some(&(deadline, number)) = self.deadlines.first() {
            if deadline > now.after_ms(ANSWER_MARGIN_MS) {
                return;
            }
            self.deadlines.pop_first();
            self.abandon_job(now, number);
        }
    }

    /// Sends forwarded tasks that found no free capacity back to their hosts.
    fn return_forwarded(&mut self, now: Time) {
        let returnable = |(number, state): (&u64, &crate::fleet::job_state::JobState)| {
            let waited = state.received_at.after_ms(FORWARD_WAIT_MS) <= now;
            let returned = state.job.forwarded
                && waited
                && state.ending.is_none()
                && state.tasks.iter().any(|slot| matches!(slot.state, TaskState::Queued(_)));
            returned.then_some(*number)
        };
        let numbers: Vec<u64> = self.jobs.iter().filter_map(returnable).collect();
        for number in numbers {
            self.return_task(now, number);
        }
    }

    /// Stops runs that make so little progress that a new run elsewhere would end earlier.
    /// Nothing else reveals a worker that hangs.
    fn stop_stalled_runs(&mut self, now: Time) {
        if !self.policy.has(Mechanism::Stalls) {
            return;
        }
        let runs = self.reported_runs();
        for (run, factor) in stalled_runs(&runs) {
            let (worker, task) = (run.worker.clone(), run.task);
            self.durations.record_slowdown(&worker, factor);
            self.health.record_stall(now, &worker);
            self.out.push(Output::Count(Count::RunsStalled));
            let fields = [
                ("worker", worker.to_string()),
                ("task", task.task.to_string()),
                ("slower", format!("{factor:.1}")),
            ];
            self.log_job(Level::Info, "run_stalled", task.job, &fields);
            if let Some(state) = self.jobs.get_mut(&task.job) {
                state.stats.stalled += 1;
            }
            if let Some(driver) = self.drivers.get_mut(&worker) {
                driver.stop_run(now, &run.id);
            }
        }
    }

    /// Stops runs that cannot end before their callers' deadlines, and gives up their jobs
    /// unless a new run can. Their capacity is free once the workers list the ends.
    fn stop_hopeless_runs(&mut self, now: Time) {
        if !self.policy.has(Mechanism::Backfill) {
            return;
        }
        let mut stopped: Vec<(Name, RunId, TaskRef, AwaitedRun)> = Vec::new();
        for (worker, driver) in &self.drivers {
            let active = driver.runs.iter().filter(|(_, run)| !run.stopping);
            stopped.extend(active.filter_map(|(id, run)| {
                let (task, awaited) = self.awaited_run(run)?;
                let hopeless = awaited.prospect(now) != Prospect::InTime;
                hopeless.then(|| (worker.clone(), id.clone(), task, awaited))
            }));
        }
        for (worker, id, task, run) in stopped {
            if self.jobs.get(&task.job).is_none_or(|state| state.ending.is_some()) {
                continue;
            }
            let prospect = run.prospect(now);
            let us = |later: Time, earlier: Time| later.since(earlier).as_micros().to_string();
            let fields = [
                ("worker", worker.to_string()),
                ("task", task.task.to_string()),
                ("percent", run.percent.to_string()),
                ("age_us", us(now, run.seen)),
                ("run_us", us(run.seen, run.sent)),
                ("left_us", us(run.deadline, now)),
                ("restart", (prospect == Prospect::Restart).to_string()),
            ];
            self.log_job(Level::Info, "run_hopeless", task.job, &fields);
            self.out.push(Output::Count(Count::RunsStalled));
            if prospect == Prospect::Hopeless {
                self.abandon_job(now, task.job);
            } else if let Some(driver) = self.drivers.get_mut(&worker) {
                driver.stop_run(now, &id);
            }
        }
    }

    /// Returns a run's task and progress, if it is old enough and would miss the deadline.
    fn awaited_run(&self, run: &Run) -> Option<(TaskRef, AwaitedRun)> {
        let task = run.task.filter(|_| run.sent.after_ms(MIN_AGE_MS) <= run.seen)?;
        let state = self.jobs.get(&task.job).filter(|state| state.ending.is_none())?;
        let Run { sent, seen, percent, .. } = *run;
        let deadline = state.job.deadline;
        let awaited = AwaitedRun { sent, seen, percent, deadline, new_run_us: 0 };
        if awaited.earliest_end() <= deadline {
            return None;
        }
        let estimate = state.step(task.task as usize).estimate_ms;
        let expected = self.durations.task_us(&state.job, estimate);
        let us = state.work_us.unwrap_or(expected) / self.durations.fast_speed();
        Some((task, AwaitedRun { new_run_us: us as u64, ..awaited }))
    }

    /// Returns the progress of all runs that are old enough and not being stopped.
    fn reported_runs(&self) -> Vec<Progress> {
        let mut runs = Vec::new();
        for (worker, driver) in &self.drivers {
            let active = driver.runs.iter().filter(|(_, run)| !run.stopping);
            runs.extend(active.filter_map(|(id, run)| self.progress(worker, id, run)));
        }
        runs
    }

    fn progress(&self, worker: &Name, id: &RunId, run: &Run) -> Option<Progress> {
        let age_us = run.seen.since(run.sent).as_micros() as f64;
        if age_us < (MIN_AGE_MS * 1_000) as f64 {
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
            // Bounded, so that a run on a worker that is known to be slow still counts as stalled.
            speed: self.durations.speed(worker).clamp(MIN_SPEED, 1.0),
            expected_us: self.durations.task_us(&state.job, estimate),
            measured_us: state.work_us,
        })
    }
}
