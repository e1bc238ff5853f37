//! Backend servers and workers.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};
use endivestile_kernel::{AttemptEnd, AttemptId, Event, PlaceRequest};
use rand::Rng;

use super::{ScheduledEvent, SimTaskStart, World};

/// How a back end behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendMode {
    /// Answers after its run time.
    Good,
    /// Refuses connections.
    Refuse,
    /// Takes the task and closes without an answer.
    Close,
    /// Fails every task at once with an error status.
    Fail,
    /// Takes the task and never answers.
    Hang,
    /// Says that it is leaving.
    Leaving,
}

/// One back end.
#[derive(Debug)]
pub(super) struct Backend {
    address: Name,
    slots: u32,
    running: u32,
    /// Run time of a task, in milliseconds.
    pub(super) task_ms: u64,
    /// Behaviour.
    pub(super) mode: BackendMode,
    /// Since when it is leaving, in microseconds.
    pub(super) leaving: Option<u64>,
}

/// A call to a back end.
#[derive(Debug, Clone)]
pub(super) struct AttemptCall {
    host: Name,
    incarnation: u64,
    attempt: AttemptId,
    server: Name,
    work: Bytes,
}

impl Backend {
    /// Makes every back end of the configuration, all good.
    pub(super) fn from_config(config: &Config) -> BTreeMap<Name, Self> {
        let make = |address: &Name, slots: u32| Self {
            address: address.clone(),
            slots,
            running: 0,
            task_ms: 100,
            mode: BackendMode::Good,
            leaving: None,
        };
        let servers = config.servers.iter();
        let servers = servers.map(|(name, it)| (name.clone(), make(&it.address, it.slots)));
        let workers = config.workers.iter();
        let workers = workers.map(|(name, it)| (name.clone(), make(&it.address, u32::MAX)));
        servers.chain(workers).collect()
    }
}

impl World {
    pub(super) fn start_attempt(
        &mut self,
        host: &Name,
        incarnation: u64,
        attempt: AttemptId,
        address: &Name,
        request: PlaceRequest,
    ) {
        let found = self.backends.iter().find(|(_, backend)| backend.address == *address);
        let Some((server, backend)) = found else { return };
        let server = server.clone();
        let delay = self.net.delay_us(host, &server, &mut self.rng);
        let refused = backend.mode == BackendMode::Refuse || !self.net.reaches(host, &server);
        if refused {
            let event = Event::AttemptEnded { attempt, end: AttemptEnd::Unreachable };
            self.deliver_in(2 * delay, host, incarnation, event);
            return;
        }
        let work = request.task.work.clone();
        let attempt_call = AttemptCall { host: host.clone(), incarnation, attempt, server, work };
        self.open_attempts.insert(attempt_call.key());
        self.schedule_at(self.now + delay, ScheduledEvent::Arrive(attempt_call.clone()));
        let Some(sim_host) = self.sim_hosts.get(host) else { return };
        let left = request.deadline.since(sim_host.clock(self.now));
        self.schedule_at(self.now + left.as_micros() as u64, ScheduledEvent::Expire(attempt_call));
    }

    pub(super) fn handle_attempt(&mut self, attempt_call: AttemptCall) {
        let Some(backend) = self.backends.get_mut(&attempt_call.server) else { return };
        match backend.mode {
            BackendMode::Leaving => return self.end_attempt(&attempt_call, AttemptEnd::Leaving),
            _ if backend.running >= backend.slots => {
                return self.end_attempt(&attempt_call, AttemptEnd::Busy);
            }
            _ => {}
        }
        let work = String::from_utf8_lossy(&attempt_call.work).into_owned();
        self.starts.push(SimTaskStart { work, server: attempt_call.server.clone(), at: self.now });
        match backend.mode {
            BackendMode::Close => self.end_attempt(&attempt_call, AttemptEnd::Lost),
            BackendMode::Fail => self.end_attempt(&attempt_call, AttemptEnd::Rejected(500)),
            BackendMode::Hang => {}
            _ => {
                backend.running += 1;
                // A tenth either way, so that ends do not fall together.
                let base = backend.task_ms * 1_000;
                let spread = self.rng.random_range(0..=base / 5);
                let at = self.now + base - base / 10 + spread;
                self.schedule_at(at, ScheduledEvent::Finish(attempt_call));
            }
        }
    }

    pub(super) fn finish_attempt(&mut self, attempt_call: AttemptCall) {
        let Some(backend) = self.backends.get_mut(&attempt_call.server) else { return };
        backend.running -= 1;
        let whole = backend.mode == BackendMode::Good
            && self.net.reaches(&attempt_call.host, &attempt_call.server);
        let end =
            if whole { AttemptEnd::Answered(echo(&attempt_call.work)) } else { AttemptEnd::Lost };
        self.end_attempt(&attempt_call, end);
    }

    pub(super) fn expire_attempt(&mut self, attempt_call: AttemptCall) {
        self.end_attempt(&attempt_call, AttemptEnd::Lost);
    }

    pub(super) fn abort_attempt(&mut self, host: &Name, incarnation: u64, attempt: AttemptId) {
        self.open_attempts.remove(&(host.clone(), incarnation, attempt.0));
        self.deliver_in(
            0,
            host,
            incarnation,
            Event::AttemptEnded { attempt, end: AttemptEnd::Lost },
        );
    }

    fn end_attempt(&mut self, attempt_call: &AttemptCall, end: AttemptEnd) {
        if !self.open_attempts.remove(&attempt_call.key()) {
            return;
        }
        let delay = self.net.delay_us(&attempt_call.host, &attempt_call.server, &mut self.rng);
        let event = Event::AttemptEnded { attempt: attempt_call.attempt, end };
        self.deliver_in(delay, &attempt_call.host, attempt_call.incarnation, event);
    }
}

impl AttemptCall {
    fn key(&self) -> (Name, u64, u64) {
        (self.host.clone(), self.incarnation, self.attempt.0)
    }
}

/// Returns what a back end answers to a piece of work.
pub(super) fn echo(work: &[u8]) -> Bytes {
    let mut answer = b"done ".to_vec();
    answer.extend_from_slice(work);
    Bytes::from(answer)
}
