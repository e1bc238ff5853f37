//! Calls of hosts to workers, and what happens there.

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{CallError, FleetEvent, StartResult, WorkerCall};

use super::worker::{Behaviour, Worker, none};
use super::world::{FleetWorld, Happening, Work};

impl FleetWorld {
    pub(crate) fn arrive(&mut self, visit: u64, worker: &Name) {
        let Some((host, _, call)) = self.open_visits.get(&visit).cloned() else { return };
        if let WorkerCall::Start(order) = &call {
            self.check_evacuated(&host, order);
        }
        let Some(state) = self.workers.get_mut(worker) else { return };
        if state.dark {
            return;
        }
        if let (Behaviour::Late(ms), WorkerCall::Start(_) | WorkerCall::Stop(_)) =
            (state.behaviour, &call)
        {
            let (worker, born) = (worker.clone(), state.entry.incarnation);
            self.at(self.now + ms * 1_000, Happening::Belated { call, worker, born });
            return;
        }
        if let WorkerCall::Renew(_, order) = &call {
            self.advance(worker);
            let Some(state) = self.workers.get_mut(worker) else { return };
            if let Ok(false) = state.hold(self.now, order) {
                let wait = u64::from(order.wait_ms) * 1_000;
                self.waiting.insert(visit, worker.clone());
                self.at(self.now + wait, Happening::Look { visit, worker: worker.clone() });
                self.schedule(worker);
                return;
            }
        }
        if let Some(event) = self.carry_out(&call) {
            self.reply(visit, &host, worker, event);
        }
    }

    /// Carries an order out; returns what the worker answers.
    pub(crate) fn carry_out(&mut self, call: &WorkerCall) -> Option<FleetEvent> {
        let now = self.now;
        let worker = match call {
            WorkerCall::Start(order) => &order.worker,
            WorkerCall::Stop(order) => &order.worker,
            WorkerCall::Renew(_, order) => &order.worker,
        };
        self.advance(worker);
        let state = self.workers.get_mut(worker)?;
        let event = match call {
            WorkerCall::Start(order) => {
                let id = order.task.split('.').next().unwrap_or_default();
                let work = self.works.get(id).cloned();
                let work = work.unwrap_or(Work { us: 1.0, need: none(), near: None });
                let far = work.near.is_some_and(|near| !state.entry.labels.contains(&near));
                let times = if far { f64::from(self.remote_milli) / 1_000.0 } else { 1.0 };
                let (work_us, need) = (work.us * times, work.need);
                let new = !state.runs.contains_key(&(order.task.clone(), order.run));
                let end = state.start(now, order, need, work_us);
                if new && matches!(end, StartResult::Started(_)) {
                    self.seen.started(order);
                }
                FleetEvent::StartEnded {
                    worker: order.worker.clone(),
                    task: order.task.clone(),
                    run: order.run,
                    end,
                }
            }
            WorkerCall::Stop(order) => FleetEvent::StopEnded {
                worker: order.worker.clone(),
                task: order.task.clone(),
                run: order.run,
                end: state.stop(now, order),
            },
            WorkerCall::Renew(number, order) => {
                let end = match state.hold(now, order) {
                    Ok(_) => Ok(state.held(now)),
                    Err(fault) => Err(fault),
                };
                FleetEvent::RenewalEnded { worker: order.worker.clone(), number: *number, end }
            }
        };
        let worker = worker.clone();
        self.check_worker(&worker);
        self.schedule(&worker);
        self.tell_ends(&worker);
        Some(event)
    }

    pub(crate) fn belated(&mut self, call: &WorkerCall, worker: &Name, born: u64) {
        if self.workers.get(worker).is_some_and(|state| state.entry.incarnation == born) {
            self.carry_out(call);
        }
    }

    pub(crate) fn reply(&mut self, visit: u64, host: &Name, worker: &Name, event: FleetEvent) {
        if self.net.reaches(worker, host) {
            let delay = self.net.delay_us(worker, host, &mut self.rng);
            self.at(self.now + delay, Happening::Return { visit, event });
        }
    }

    pub(crate) fn look(&mut self, visit: u64, worker: &Name) {
        if self.waiting.remove(&visit).is_none() {
            return;
        }
        let Some((host, _, WorkerCall::Renew(number, _))) = self.open_visits.get(&visit).cloned()
        else {
            return;
        };
        self.advance(worker);
        let Some(state) = self.workers.get(worker).filter(|state| !state.dark) else { return };
        let end = Ok(state.held(self.now));
        let event = FleetEvent::RenewalEnded { worker: worker.clone(), number, end };
        self.reply(visit, &host, worker, event);
    }

    pub(crate) fn expire(&mut self, visit: u64) {
        let Some((host, birth, call)) = self.open_visits.remove(&visit) else { return };
        self.waiting.remove(&visit);
        let event = match call {
            WorkerCall::Start(order) => FleetEvent::StartEnded {
                worker: order.worker,
                task: order.task,
                run: order.run,
                end: StartResult::Failed(CallError::Lost),
            },
            WorkerCall::Stop(order) => FleetEvent::StopEnded {
                worker: order.worker,
                task: order.task,
                run: order.run,
                end: Err(CallError::Lost),
            },
            WorkerCall::Renew(number, order) => {
                FleetEvent::RenewalEnded { worker: order.worker, number, end: Err(CallError::Lost) }
            }
        };
        self.deliver(&host, birth, event);
    }

    /// Brings a worker up to date, and tells those who wait of ends.
    pub(crate) fn advance(&mut self, worker: &Name) {
        let now = self.now;
        if let Some(state) = self.workers.get_mut(worker) {
            state.advance(now);
        }
    }

    pub(crate) fn work(&mut self, worker: &Name) {
        self.advance(worker);
        self.tell_ends(worker);
        self.schedule(worker);
    }

    pub(crate) fn tell_ends(&mut self, worker: &Name) {
        if !self.workers.get(worker).is_some_and(Worker::has_ends) {
            return;
        }
        let visits: Vec<u64> =
            self.waiting.iter().filter(|(_, at)| *at == worker).map(|(visit, _)| *visit).collect();
        for visit in visits {
            self.look(visit, worker);
        }
    }

    pub(crate) fn schedule(&mut self, worker: &Name) {
        let next = self.workers.get(worker).and_then(Worker::next);
        if let Some(at) = next {
            self.at(at.max(self.now + 1), Happening::Work { worker: worker.clone() });
        }
    }
}
