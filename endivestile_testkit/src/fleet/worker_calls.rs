//! Calls of hosts to workers: transport, timeouts and execution.

use endivestile_config::Mechanism;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{CallError, FleetEvent, StartResult, WorkerCall};

use super::worker::{Behaviour, Worker, zero_need};
use super::world::{FleetWorld, ScheduledEvent, Work};

/// Time for which a worker that a task has crashed is down, in microseconds.
const CRASH_US: u64 = 2_000_000;

impl FleetWorld {
    /// Handles a call that reaches a worker. Renewals without ended runs are held open.
    pub(crate) fn handle_worker_call(&mut self, call_id: u64, worker: &Name) {
        let Some((host, _, call)) = self.open_worker_calls.get(&call_id).cloned() else { return };
        if let WorkerCall::Start(request) = &call {
            self.check_evacuated(&host, request);
        }
        let Some(state) = self.workers.get_mut(worker) else { return };
        if state.down {
            return self.fail_call(call_id, CallError::Unreachable);
        }
        if state.unresponsive {
            return;
        }
        if let (Behaviour::Late(ms), WorkerCall::Start(_) | WorkerCall::Stop(_)) =
            (state.behaviour, &call)
        {
            let (worker, worker_incarnation) = (worker.clone(), state.entry.incarnation);
            self.schedule_at(
                self.now + ms * 1_000,
                ScheduledEvent::LateCall { call, worker, worker_incarnation },
            );
            return;
        }
        if let WorkerCall::Renew(_, request) = &call {
            self.advance_worker(worker);
            let Some(state) = self.workers.get_mut(worker) else { return };
            if let Ok(false) = state.renew(self.now, request) {
                let wait = u64::from(request.wait_ms) * 1_000;
                self.open_renewals.insert(call_id, worker.clone());
                self.schedule_at(
                    self.now + wait,
                    ScheduledEvent::AnswerRenewal { call_id, worker: worker.clone() },
                );
                self.schedule_worker(worker);
                return;
            }
        }
        if let Some(event) = self.execute_call(&call) {
            self.send_reply(call_id, &host, worker, event);
        }
    }

    /// Executes a call at its worker and checks the worker; returns the answer.
    pub(crate) fn execute_call(&mut self, call: &WorkerCall) -> Option<FleetEvent> {
        let now = self.now;
        let worker = match call {
            WorkerCall::Start(request) => &request.worker,
            WorkerCall::Stop(request) => &request.worker,
            WorkerCall::Renew(_, request) => &request.worker,
        };
        self.advance_worker(worker);
        self.update_limit(worker);
        let state = self.workers.get_mut(worker).filter(|state| !state.down)?;
        let event = match call {
            WorkerCall::Start(request) => {
                let id = request.task.split('.').next().unwrap_or_default();
                let work = self.job_work.get(id).cloned();
                let none = Work {
                    us: 1.0,
                    need: zero_need(),
                    required: None,
                    max_per_worker: 0,
                    near: None,
                    crash_us: None,
                };
                let work = work.unwrap_or(none);
                let has = |label: &Name| state.entry.labels.contains(label);
                let unsuited = work.required.filter(|label| !has(label));
                let remote = work.near.is_some_and(|near| !has(&near));
                let factor = if remote { f64::from(self.remote_milli) / 1_000.0 } else { 1.0 };
                let (work_us, need) = (work.us * factor, work.need);
                let new = !state.runs.contains_key(&(request.task.clone(), request.run));
                let end = state.start(now, request, need, work_us);
                if new && matches!(end, StartResult::Started(_)) {
                    let run = state.runs.get_mut(&(request.task.clone(), request.run));
                    if let Some(run) = run {
                        run.crashes_at = work.crash_us.map(|us| now + us);
                    }
                    let limited = self.policy.has(Mechanism::CrashLimit);
                    self.observed.record_start(request, limited);
                    if let Some(label) = unsuited {
                        let (now, task) = (self.now / 1_000, &request.task);
                        let breach = format!("{now} ms: {task} starts at {worker} without {label}");
                        self.observed.breaches.push(breach);
                    }
                }
                FleetEvent::StartEnded {
                    worker: request.worker.clone(),
                    task: request.task.clone(),
                    run: request.run,
                    end,
                }
            }
            WorkerCall::Stop(request) => FleetEvent::StopEnded {
                worker: request.worker.clone(),
                task: request.task.clone(),
                run: request.run,
                end: state.stop(now, request),
            },
            WorkerCall::Renew(number, request) => {
                let end = match state.renew(now, request) {
                    Ok(_) => Ok(state.renew_reply(now)),
                    Err(error) => Err(error),
                };
                FleetEvent::RenewalEnded { worker: request.worker.clone(), number: *number, end }
            }
        };
        let worker = worker.clone();
        self.check_worker(&worker);
        self.schedule_worker(&worker);
        self.report_ends(&worker);
        Some(event)
    }

    /// Executes a delayed call, unless the worker has restarted since.
    pub(crate) fn execute_late_call(
        &mut self,
        call: &WorkerCall,
        worker: &Name,
        worker_incarnation: u64,
    ) {
        if self
            .workers
            .get(worker)
            .is_some_and(|state| state.entry.incarnation == worker_incarnation)
        {
            self.execute_call(call);
        }
    }

    /// Sends an answer to a host, if the network lets it pass.
    pub(crate) fn send_reply(
        &mut self,
        call_id: u64,
        host: &Name,
        worker: &Name,
        event: FleetEvent,
    ) {
        if self.net.reaches(worker, host) {
            let delay = self.net.delay_us(worker, host, &mut self.rng);
            self.schedule_at(self.now + delay, ScheduledEvent::Reply { call_id, event });
        }
    }

    /// Answers an open renewal with the worker's current state.
    pub(crate) fn answer_renewal(&mut self, call_id: u64, worker: &Name) {
        if self.open_renewals.remove(&call_id).is_none() {
            return;
        }
        let Some((host, _, WorkerCall::Renew(number, _))) =
            self.open_worker_calls.get(&call_id).cloned()
        else {
            return;
        };
        self.advance_worker(worker);
        let Some(state) = self.workers.get(worker).filter(|state| !state.unresponsive) else {
            return;
        };
        let end = Ok(state.renew_reply(self.now));
        let event = FleetEvent::RenewalEnded { worker: worker.clone(), number, end };
        self.send_reply(call_id, &host, worker, event);
    }

    /// Ends a worker's process; it restarts after `down_us` microseconds, with another capacity
    /// if one is given, in thousandths of a core.
    pub(crate) fn crash_worker(&mut self, worker: &Name, down_us: u64, cpu_milli: Option<u32>) {
        let Some(state) = self.workers.get_mut(worker).filter(|state| !state.down) else { return };
        self.observed.record_crash(state);
        state.crash();
        let open = self.open_renewals.iter().filter(|(_, at)| *at == worker);
        let open: Vec<u64> = open.map(|(call_id, _)| *call_id).collect();
        for call_id in open {
            self.fail_call(call_id, CallError::Lost);
        }
        let restart = ScheduledEvent::Restart { worker: worker.clone(), cpu_milli };
        self.schedule_at(self.now + down_us, restart);
    }

    /// Reports a call to its host as failed.
    pub(crate) fn fail_call(&mut self, call_id: u64, error: CallError) {
        let Some((host, host_incarnation, call)) = self.open_worker_calls.remove(&call_id) else {
            return;
        };
        self.open_renewals.remove(&call_id);
        let event = match call {
            WorkerCall::Start(request) => FleetEvent::StartEnded {
                worker: request.worker,
                task: request.task,
                run: request.run,
                end: StartResult::Failed(error),
            },
            WorkerCall::Stop(request) => FleetEvent::StopEnded {
                worker: request.worker,
                task: request.task,
                run: request.run,
                end: Err(error),
            },
            WorkerCall::Renew(number, request) => {
                FleetEvent::RenewalEnded { worker: request.worker, number, end: Err(error) }
            }
        };
        self.deliver(&host, host_incarnation, event);
    }

    /// Advances a worker's runs to the current time.
    pub(crate) fn advance_worker(&mut self, worker: &Name) {
        let now = self.now;
        if let Some(state) = self.workers.get_mut(worker) {
            state.advance(now);
        }
    }

    /// Handles an end of a run or of the lease at a worker.
    pub(crate) fn handle_worker_wake(&mut self, worker: &Name) {
        if self.workers.get(worker).is_some_and(|state| state.crashes(self.now)) {
            return self.crash_worker(worker, CRASH_US, None);
        }
        self.advance_worker(worker);
        self.report_ends(worker);
        self.schedule_worker(worker);
    }

    /// Answers the open renewals of a worker that has ended runs.
    pub(crate) fn report_ends(&mut self, worker: &Name) {
        if !self.workers.get(worker).is_some_and(Worker::has_ends) {
            return;
        }
        let call_ids: Vec<u64> = self
            .open_renewals
            .iter()
            .filter(|(_, at)| *at == worker)
            .map(|(call_id, _)| *call_id)
            .collect();
        for call_id in call_ids {
            self.answer_renewal(call_id, worker);
        }
    }

    /// Schedules the next change at a worker.
    pub(crate) fn schedule_worker(&mut self, worker: &Name) {
        let next = self.workers.get(worker).and_then(Worker::next_change);
        if let Some(at) = next {
            self.schedule_at(
                at.max(self.now + 1),
                ScheduledEvent::WorkerWake { worker: worker.clone() },
            );
        }
    }
}
