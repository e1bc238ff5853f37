//! Handling of the end of runs and of forwarded tasks: success, retry or failure.

use endivestile_config::model::Name;

use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::job_state::TaskState;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::protocol::{CallError, RenewReply, RunEnd, StartResult};
use crate::fleet::workers::run::{EndedRun, Phase, RunId, RunOutcome, TaskRef};
use crate::{Level, Peer, Time};

/// Run numbers reserved for the runs that another owner made of a task it returned.
const FORWARD_RUNS: u32 = 8;
/// Step to the next run number after a worker refused a run as superseded.
const REFUSED_RUN_STEP: u32 = 64;

impl Scheduler {
    /// Handles the outcome of a start call.
    pub(crate) fn handle_start(&mut self, now: Time, worker: &Name, id: &RunId, end: StartResult) {
        if let StartResult::Failed(error) = end {
            self.log_start_error(worker, id, error.label());
        }
        if let StartResult::Started(_) = end {
            self.time_start(now, worker, id);
        }
        let ended =
            self.drivers.get_mut(worker).and_then(|driver| driver.handle_start(now, id, end));
        self.handle_ended(now, worker, ended.into_iter().collect());
    }

    fn time_start(&mut self, now: Time, worker: &Name, id: &RunId) {
        let run = self.drivers.get(worker).and_then(|driver| driver.runs.get(id));
        let Some(run) = run.filter(|run| run.phase == Phase::Sent) else { return };
        let took_us = now.since(run.sent).as_micros() as u64;
        self.lag.record(took_us);
        self.out.push(Output::Time(Span::OrderAnswer, took_us));
    }

    /// Handles the outcome of a stop call.
    pub(crate) fn handle_stop(
        &mut self,
        now: Time,
        worker: &Name,
        id: &RunId,
        end: Result<u64, CallError>,
    ) {
        if let Some(driver) = self.drivers.get_mut(worker) {
            driver.handle_stop(now, id, end);
        }
    }

    /// Handles the outcome of a lease renewal.
    pub(crate) fn handle_renewal(
        &mut self,
        now: Time,
        worker: &Name,
        number: u64,
        end: Result<RenewReply, CallError>,
    ) {
        let Some(driver) = self.drivers.get_mut(worker) else { return };
        let usable = driver.usable(now);
        let ended = driver.handle_renewal(now, number, end);
        let changed = usable != driver.usable(now);
        if changed || !ended.is_empty() {
            self.dirty = true;
        }
        self.handle_ended(now, worker, ended);
    }

    /// Handles runs that have ended.
    pub(crate) fn handle_ended(&mut self, now: Time, worker: &Name, ended_runs: Vec<EndedRun>) {
        for ended in ended_runs {
            self.dirty = true;
            let Some(task) = ended.run.task else { continue };
            if self.is_current_run(task, &ended.id) {
                self.handle_run_end(now, worker, task, &ended);
            }
        }
    }

    fn is_current_run(&self, task: TaskRef, id: &RunId) -> bool {
        let slot = self.jobs.get(&task.job).and_then(|job| job.tasks.get(task.task as usize));
        slot.is_some_and(
            |slot| matches!(&slot.state, TaskState::Running { id: current, .. } if current == id),
        )
    }

    fn handle_run_end(&mut self, now: Time, worker: &Name, task: TaskRef, ended: &EndedRun) {
        match ended.outcome {
            RunOutcome::Ended(RunEnd::Done) => self.task_done(now, worker, task, ended),
            RunOutcome::Ended(RunEnd::Failed) => self.task_failed(now, worker, task),
            RunOutcome::NotStarted(StartResult::Superseded) => {
                if let Some(state) = self.jobs.get_mut(&task.job) {
                    state.tasks[task.task as usize].next_run += REFUSED_RUN_STEP;
                }
                self.requeue(now, task);
            }
            RunOutcome::NotStarted(StartResult::Failed(
                CallError::Unhealthy | CallError::Refused,
            )) => {
                self.health.record_failure(now, worker);
                self.requeue(now, task);
            }
            _ => {
                if let Some(state) = self.jobs.get_mut(&task.job) {
                    state.stats.vanished += u32::from(!ended.run.stopping);
                }
                // A worker that neither answers nor carries out start calls stays free,
                // and would be given the same task again and again.
                if ended.outcome == RunOutcome::Vanished && ended.run.phase == Phase::Unconfirmed {
                    self.health.record_failure(now, worker);
                } else {
                    self.health.record_inconclusive(worker);
                }
                self.requeue(now, task);
            }
        }
    }

    fn task_done(&mut self, now: Time, worker: &Name, task: TaskRef, ended: &EndedRun) {
        self.health.record_success(worker);
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        let index = task.task as usize;
        let estimate = state.step(index).estimate_ms;
        let took = now.since(ended.run.sent).as_micros() as f64;
        self.out.push(Output::Time(Span::TaskRun, took as u64));
        state.work_us.get_or_insert(took * self.durations.speed(worker));
        let work = || self.durations.task_work(&state.job, state.step(index));
        self.loads.record_end(&state.job.service, work);
        self.durations.learn(&state.job, estimate, worker, took);
        self.end_task(now, task);
    }

    /// Marks a task as succeeded, and continues with or ends its job.
    fn end_task(&mut self, now: Time, task: TaskRef) {
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        let index = task.task as usize;
        let step = state.tasks[index].step;
        state.tasks[index].state = TaskState::Done;
        state.remaining[step] -= 1;
        if state.ending.is_some() {
            self.finish(now, task.job);
        } else if state.done() {
            self.close(now, task.job, JobEnd::Done, true);
        } else if state.remaining[step] == 0 {
            self.unblock(now, task.job);
        }
    }

    /// Counts a failed run against the task and its worker; the job fails when the task has
    /// used up its attempts.
    fn task_failed(&mut self, now: Time, worker: &Name, task: TaskRef) {
        let excluded = self.health.record_failure(now, worker);
        self.out.push(Output::Count(Count::TasksFailed));
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        state.stats.failed += 1;
        let slot = &mut state.tasks[task.task as usize];
        slot.failures += 1;
        let (failures, attempts) = (slot.failures, state.job.max_attempts.max(1));
        let more = [
            ("worker", worker.to_string()),
            ("task", task.task.to_string()),
            ("fails", failures.to_string()),
            ("worker_out", excluded.to_string()),
        ];
        self.log_job(Level::Info, "task_failed", task.job, &more);
        if failures >= attempts {
            self.fail_job(now, task);
        } else {
            self.requeue(now, task);
        }
    }

    fn fail_job(&mut self, now: Time, task: TaskRef) {
        if let Some(state) = self.jobs.get_mut(&task.job) {
            state.tasks[task.task as usize].state = TaskState::Blocked;
        }
        self.close(now, task.job, JobEnd::Failed(Reason::Attempts), true);
    }

    /// Queues a task again whose run is no longer in progress, unless its job is closed.
    pub(crate) fn requeue(&mut self, now: Time, task: TaskRef) {
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        state.tasks[task.task as usize].state = TaskState::Blocked;
        if state.ending.is_some() {
            self.finish(now, task.job);
        } else {
            self.enqueue(now, task);
        }
    }

    /// Handles the end of a forwarded task.
    pub(crate) fn handle_forward_end(&mut self, now: Time, from: &Peer, serial: u64, end: JobEnd) {
        let Some((_, task)) = self.forwards.remove(&serial) else { return };
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        let slot = &mut state.tasks[task.task as usize];
        if slot.state != TaskState::Forwarded(serial) {
            return;
        }
        slot.next_run += FORWARD_RUNS + slot.failures;
        if !matches!(end, JobEnd::NotRun { .. }) {
            state.started.get_or_insert(now);
        }
        let service = state.job.service.clone();
        match end {
            JobEnd::Done => self.end_task(now, task),
            JobEnd::Failed(_) => self.fail_job(now, task),
            JobEnd::NotRun { .. } | JobEnd::Lost(_) => {
                self.out.push(Output::Count(Count::ForwardsReturned));
                // The peer has no free capacity after all: nothing more is forwarded
                // there before its next report.
                if let Some(free) =
                    self.peer_capacity.get_mut(from).and_then(|r| r.get_mut(&service))
                {
                    *free = 0;
                }
                self.requeue(now, task);
            }
        }
    }

    /// Requeues all tasks that were forwarded to a lost host. Called only once every lease
    /// under which they could run there has expired.
    pub(crate) fn reclaim_forwards(&mut self, now: Time, peer: &Peer) {
        self.peer_capacity.remove(peer);
        let sent_there =
            |(serial, (at, _)): (&u64, &(Peer, TaskRef))| (at == peer).then_some(*serial);
        let serials: Vec<u64> = self.forwards.iter().filter_map(sent_there).collect();
        for serial in serials {
            self.handle_forward_end(now, peer, serial, JobEnd::Lost(Reason::PlacerLost));
        }
    }

    fn log_start_error(&mut self, worker: &Name, id: &RunId, error: &str) {
        let note = crate::Note {
            level: Level::Info,
            event: "start_failed",
            id: Some(id.task.clone()),
            pairs: vec![
                ("run", id.run.to_string()),
                ("worker", worker.to_string()),
                ("fault", error.to_owned()),
            ],
        };
        self.out.push(Output::Count(Count::StartFaults));
        self.out.push(Output::Log(note));
    }
}
