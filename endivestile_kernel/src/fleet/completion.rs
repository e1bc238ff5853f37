//! What follows when a run or a forwarded task ends.

use endivestile_config::model::Name;

use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::job_state::TaskState;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::protocol::{CallError, RenewReply, RunEnd, StartResult};
use crate::fleet::workers::run::{EndedRun, Phase, RunId, RunOutcome, TaskRef};
use crate::{Level, Peer, Time};

/// Runs that another placer may have used up on a task it gave back.
const FORWARD_RUNS: u32 = 8;
/// How far the next run is numbered above one that a worker refused as outrun.
const RUN_JUMP: u32 = 64;

impl Scheduler {
    /// Takes in how a start ended.
    pub(crate) fn handle_start(&mut self, now: Time, worker: &Name, id: &RunId, end: StartResult) {
        if let StartResult::Failed(fault) = end {
            self.note_order(worker, id, fault.label());
        }
        if let StartResult::Started(_) = end {
            self.time_order(now, worker, id);
        }
        let past =
            self.drivers.get_mut(worker).and_then(|driver| driver.handle_start(now, id, end));
        self.handle_ended(now, worker, past.into_iter().collect());
    }

    fn time_order(&mut self, now: Time, worker: &Name, id: &RunId) {
        let run = self.drivers.get(worker).and_then(|driver| driver.runs.get(id));
        let Some(run) = run.filter(|run| run.phase == Phase::Sent) else { return };
        let took_us = now.since(run.sent).as_micros() as u64;
        self.lag.record(took_us);
        self.out.push(Output::Time(Span::OrderAnswer, took_us));
    }

    /// Takes in how a stop ended.
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

    /// Takes in the answer to a hold.
    pub(crate) fn handle_renewal(
        &mut self,
        now: Time,
        worker: &Name,
        number: u64,
        end: Result<RenewReply, CallError>,
    ) {
        let Some(driver) = self.drivers.get_mut(worker) else { return };
        let usable = driver.usable(now);
        let past = driver.handle_renewal(now, number, end);
        let changed = usable != driver.usable(now);
        if changed || !past.is_empty() {
            self.dirty = true;
        }
        self.handle_ended(now, worker, past);
    }

    /// Handles runs that are over.
    pub(crate) fn handle_ended(&mut self, now: Time, worker: &Name, past: Vec<EndedRun>) {
        for past in past {
            self.dirty = true;
            let Some(task) = past.run.task else { continue };
            if self.runs_as(task, &past.id) {
                self.run_over(now, worker, task, &past);
            }
        }
    }

    fn runs_as(&self, task: TaskRef, id: &RunId) -> bool {
        let slot = self.jobs.get(&task.job).and_then(|job| job.tasks.get(task.task as usize));
        slot.is_some_and(
            |slot| matches!(&slot.state, TaskState::Running { id: own, .. } if own == id),
        )
    }

    fn run_over(&mut self, now: Time, worker: &Name, task: TaskRef, past: &EndedRun) {
        match past.outcome {
            RunOutcome::Ended(RunEnd::Done) => self.task_done(now, worker, task, past),
            RunOutcome::Ended(RunEnd::Failed) => self.task_failed(now, worker, task),
            RunOutcome::NotStarted(StartResult::Superseded) => {
                if let Some(state) = self.jobs.get_mut(&task.job) {
                    state.tasks[task.task as usize].next_run += RUN_JUMP;
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
                    state.stats.vanished += u32::from(!past.run.stopping);
                }
                // A worker that leaves orders unanswered and does not carry them out
                // would be the free one that is given the task again and again.
                if past.outcome == RunOutcome::Vanished && past.run.phase == Phase::Unconfirmed {
                    self.health.record_failure(now, worker);
                } else {
                    self.health.record_inconclusive(worker);
                }
                self.requeue(now, task);
            }
        }
    }

    fn task_done(&mut self, now: Time, worker: &Name, task: TaskRef, past: &EndedRun) {
        self.health.record_success(worker);
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        let index = task.task as usize;
        let estimate = state.step(index).estimate_ms;
        let took = now.since(past.run.sent).as_micros() as f64;
        self.out.push(Output::Time(Span::TaskRun, took as u64));
        state.work_us.get_or_insert(took * self.durations.speed(worker));
        self.durations.learn(&state.job, estimate, worker, took);
        self.end_task(now, task);
    }

    /// Notes that a task has ended well.
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

    /// Counts a failure against the task, unless its worker fails everything.
    fn task_failed(&mut self, now: Time, worker: &Name, task: TaskRef) {
        let blamed = self.health.record_failure(now, worker);
        self.out.push(Output::Count(Count::TasksFailed));
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        state.stats.failed += 1;
        let slot = &mut state.tasks[task.task as usize];
        slot.failures += 1;
        let (fails, attempts) = (slot.failures, state.job.max_attempts.max(1));
        let more = [
            ("worker", worker.to_string()),
            ("task", task.task.to_string()),
            ("fails", fails.to_string()),
            ("worker_out", blamed.to_string()),
        ];
        self.log_job(Level::Info, "task_failed", task.job, &more);
        if fails >= attempts {
            self.fail(now, task);
        } else {
            self.requeue(now, task);
        }
    }

    fn fail(&mut self, now: Time, task: TaskRef) {
        if let Some(state) = self.jobs.get_mut(&task.job) {
            state.tasks[task.task as usize].state = TaskState::Blocked;
        }
        self.close(now, task.job, JobEnd::Failed(Reason::Attempts), true);
    }

    /// Queues a task again of which nothing runs any more, unless its job is closed.
    pub(crate) fn requeue(&mut self, now: Time, task: TaskRef) {
        let Some(state) = self.jobs.get_mut(&task.job) else { return };
        state.tasks[task.task as usize].state = TaskState::Blocked;
        if state.ending.is_some() {
            self.finish(now, task.job);
        } else {
            self.enqueue(now, task);
        }
    }

    /// Takes in how a forwarded task ended.
    pub(crate) fn forward_ended(&mut self, now: Time, from: &Peer, serial: u64, end: JobEnd) {
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
            JobEnd::Failed(_) => self.fail(now, task),
            JobEnd::NotRun { .. } | JobEnd::Lost(_) => {
                self.out.push(Output::Count(Count::ForwardsReturned));
                // It has no room after all: until its next report nothing more
                // is sent there.
                if let Some(free) =
                    self.peer_capacity.get_mut(from).and_then(|r| r.get_mut(&service))
                {
                    *free = 0;
                }
                self.requeue(now, task);
            }
        }
    }

    /// Takes back what was forwarded to a host that has surely stopped it by now.
    pub(crate) fn reclaim_forwards(&mut self, now: Time, peer: &Peer) {
        self.peer_capacity.remove(peer);
        let of = |(serial, (at, _)): (&u64, &(Peer, TaskRef))| (at == peer).then_some(*serial);
        let serials: Vec<u64> = self.forwards.iter().filter_map(of).collect();
        for serial in serials {
            self.forward_ended(now, peer, serial, JobEnd::Lost(Reason::PlacerLost));
        }
    }

    fn note_order(&mut self, worker: &Name, id: &RunId, fault: &str) {
        let note = crate::Note {
            level: Level::Info,
            event: "start_failed",
            id: Some(id.task.clone()),
            pairs: vec![
                ("run", id.run.to_string()),
                ("worker", worker.to_string()),
                ("fault", fault.to_owned()),
            ],
        };
        self.out.push(Output::Count(Count::StartFaults));
        self.out.push(Output::Log(note));
    }
}
