//! Handling of the end of runs and of forwarded tasks: success, retry or failure.

use std::collections::BTreeSet;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::job_state::TaskState;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::msg::{JobCrashes, JobMsg};
use crate::fleet::scheduler::{Output, Scheduler};
use crate::fleet::workers::crash_evidence::{LostWorker, TaskKey};
use crate::fleet::workers::protocol::{CallError, RenewReply, RunEnd, StartResult};
use crate::fleet::workers::run::{EndedRun, Phase, RunId, RunOutcome, TaskRef};
use crate::{Level, Note, Peer, Time};

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
        let replied = end.is_ok();
        let ended = driver.handle_renewal(now, number, end);
        let changed = usable != driver.usable(now);
        self.observe_capacity(now, worker);
        self.observe_losses(now, worker, replied);
        if changed || !ended.is_empty() {
            self.dirty = true;
        }
        self.handle_ended(now, worker, ended);
    }

    /// Records the runs that were lost with a worker, and what its reply shows about those lost
    /// before.
    pub(crate) fn observe_losses(&mut self, now: Time, worker: &Name, replied: bool) {
        if !self.policy.has(Mechanism::CrashLimit) {
            return;
        }
        let Some(driver) = self.drivers.get_mut(worker) else { return };
        let (incarnation, lost) = (driver.incarnation(), driver.lost.take());
        let mut crashed = BTreeSet::new();
        if let Some(lost) = lost {
            let key = |(task, alone): &(TaskRef, bool)| {
                let state = self.jobs.get(&task.job)?;
                Some((state.task_key(task.task as usize), *alone))
            };
            let lost = LostWorker {
                worker: worker.clone(),
                incarnation: lost.incarnation,
                at: lost.at,
                crashed: lost.crashed,
                tasks: lost.tasks.iter().filter_map(key).collect(),
            };
            self.crashes.record(now, &lost);
            if !lost.crashed {
                let jobs = lost.tasks.iter().map(|(key, _)| key.job.clone()).collect();
                self.send_evidence(now, &jobs);
            } else {
                crashed.extend(lost.tasks.into_iter().map(|(key, _)| key));
            }
        }
        if replied && self.crashes.is_unclear(worker) {
            crashed.extend(self.crashes.observe(worker, incarnation));
            self.dirty = true;
        }
        self.report_crash(now, worker, &crashed);
    }

    /// Reports a worker that crashed under these tasks, also to the hosts that may get their
    /// jobs next.
    pub(crate) fn report_crash(&mut self, now: Time, worker: &Name, tasks: &BTreeSet<TaskKey>) {
        if tasks.is_empty() {
            return;
        }
        self.dirty = true;
        self.out.push(Output::Count(Count::WorkersCrashed));
        let driver = self.drivers.get(worker);
        let age_ms = driver.map_or(0, |it| now.since(it.lost_at).as_millis());
        for key in tasks {
            let (losses, crashes) = self.crashes.counts(key);
            let pairs = vec![
                ("worker", worker.to_string()),
                ("incarnation", driver.map_or(0, |it| it.incarnation()).to_string()),
                ("step", key.step.to_string()),
                ("task", key.task.to_string()),
                ("lost_ms", age_ms.to_string()),
                ("losses", losses.to_string()),
                ("crashes", crashes.to_string()),
            ];
            let (level, event) = (Level::Info, "worker_crashed");
            self.out.push(Output::Log(Note { level, event, id: Some(key.job.clone()), pairs }));
        }
        let jobs = tasks.iter().map(|key| key.job.clone()).collect();
        self.send_evidence(now, &jobs);
    }

    /// Sends the evidence about jobs to their senders; that about suspected tasks also to the
    /// owners that report to this host.
    fn send_evidence(&mut self, now: Time, jobs: &BTreeSet<Name>) {
        let suspected = self.crashes.suspected_jobs(now);
        for job in jobs {
            let Some(report) = self.crashes.report(job) else { continue };
            let owners = self.peer_capacity.keys().filter(|_| suspected.contains(job));
            let mut peers: BTreeSet<Peer> = owners.cloned().collect();
            let own = self.jobs.values().filter(|state| state.job.id == *job);
            peers.extend(own.map(|state| state.sender.clone()));
            peers.remove(&self.me);
            let send = |peer| Output::Message(peer, JobMsg::Crashes(report.clone()));
            self.out.extend(peers.into_iter().map(send));
        }
    }

    /// Sends the evidence about all suspected tasks to an owner that did not report before.
    pub(crate) fn send_all_evidence(&mut self, now: Time, to: &Peer) {
        for job in self.crashes.suspected_jobs(now) {
            if let Some(report) = self.crashes.report(&job) {
                self.out.push(Output::Message(to.clone(), JobMsg::Crashes(report)));
            }
        }
    }

    /// Adds what another host reports about crashes, and passes it on to the fronts of the job.
    pub(crate) fn merge_crashes(&mut self, now: Time, from: &Peer, report: JobCrashes) {
        if !self.policy.has(Mechanism::CrashLimit) || !self.crashes.merge(now, &report) {
            return;
        }
        self.dirty = true;
        let own = self.jobs.values().filter(|it| !it.job.forwarded && it.job.id == report.job);
        let fronts: BTreeSet<Peer> = own.map(|state| state.sender.clone()).collect();
        let others = fronts.into_iter().filter(|front| front != from && *front != self.me);
        let send = |front| Output::Message(front, JobMsg::Crashes(report.clone()));
        self.out.extend(others.map(send));
    }

    /// Gives up the job of a queued task that crashed too many workers.
    pub(crate) fn give_up(&mut self, now: Time, task: TaskRef, key: &TaskKey) {
        let (losses, crashes) = self.crashes.counts(key);
        let more = [
            ("step", key.step.to_string()),
            ("task", key.task.to_string()),
            ("losses", losses.to_string()),
            ("crashes", crashes.to_string()),
        ];
        self.log_job(Level::Info, "job_crashing", task.job, &more);
        self.out.push(Output::Count(Count::JobsCrashing));
        self.close(now, task.job, JobEnd::Failed(Reason::Crashes), true);
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
                let unconfirmed =
                    ended.outcome == RunOutcome::Vanished && ended.run.phase == Phase::Unconfirmed;
                let crashed = self
                    .drivers
                    .get(worker)
                    .is_some_and(|it| it.records_losses && ended.run.sent < it.lost_at);
                if unconfirmed && !crashed {
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
        if !self.crashes.is_empty() {
            self.crashes.forget(&state.task_key(index));
        }
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
            self.fail_job(now, task, Reason::Attempts);
        } else {
            self.requeue(now, task);
        }
    }

    fn fail_job(&mut self, now: Time, task: TaskRef, reason: Reason) {
        if let Some(state) = self.jobs.get_mut(&task.job) {
            state.tasks[task.task as usize].state = TaskState::Blocked;
        }
        self.close(now, task.job, JobEnd::Failed(reason), true);
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
            JobEnd::Failed(reason) => self.fail_job(now, task, reason),
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
