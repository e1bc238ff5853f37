//! Simulated backend servers and workers.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};
use endivestile_kernel::{AttemptEnd, AttemptId, Event, PlaceRequest};
use rand::Rng;

use super::{ScheduledEvent, SimTaskStart, World};

/// Behaviour of a backend server or worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendMode {
    /// Answers after the task's run time.
    Good,
    /// Refuses connections.
    Refuse,
    /// Starts the task and closes the connection without an answer.
    Close,
    /// Fails every task at once with an error status.
    Fail,
    /// Starts the task and never answers.
    Hang,
    /// Rejects tasks because it is leaving.
    Leaving,
}

/// State of a backend server or worker.
#[derive(Debug)]
pub(super) struct Backend {
    address: Name,
    slots: u32,
    running: u32,
    /// Run time of a task, in milliseconds.
    pub(super) task_ms: u64,
    /// Current behaviour.
    pub(super) mode: BackendMode,
    /// Virtual time since which it is leaving, in microseconds.
    pub(super) leaving: Option<u64>,
}

/// Call of a host to a backend server or worker: one attempt to run a task.
#[derive(Debug, Clone)]
pub(super) struct AttemptCall {
    host: Name,
    incarnation: u64,
    attempt: AttemptId,
    server: Name,
    work: Bytes,
}

impl Backend {
    /// Creates all backend servers and workers of the configuration without faults.
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
    /// Sends a task to the backend server or worker at an address.
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
        let remaining = request.deadline.since(sim_host.clock(self.now));
        self.schedule_at(
            self.now + remaining.as_micros() as u64,
            ScheduledEvent::Expire(attempt_call),
        );
    }

    /// Handles a call that reaches a backend server or worker.
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
                // Run times vary by 10% so that tasks do not end at the same time.
                let base = backend.task_ms * 1_000;
                let spread = self.rng.random_range(0..=base / 5);
                let at = self.now + base - base / 10 + spread;
                self.schedule_at(at, ScheduledEvent::Finish(attempt_call));
            }
        }
    }

    /// Ends a task whose run time has passed; its result is lost if the server has a fault or
    /// cannot reach the host.
    pub(super) fn finish_attempt(&mut self, attempt_call: AttemptCall) {
        let Some(backend) = self.backends.get_mut(&attempt_call.server) else { return };
        backend.running -= 1;
        let completed = backend.mode == BackendMode::Good
            && self.net.reaches(&attempt_call.host, &attempt_call.server);
        let end = if completed {
            AttemptEnd::Answered(echo(&attempt_call.work))
        } else {
            AttemptEnd::Lost
        };
        self.end_attempt(&attempt_call, end);
    }

    /// Ends a call whose deadline has passed.
    pub(super) fn expire_attempt(&mut self, attempt_call: AttemptCall) {
        self.end_attempt(&attempt_call, AttemptEnd::Lost);
    }

    /// Ends a call that its host aborts.
    pub(super) fn abort_attempt(&mut self, host: &Name, incarnation: u64, attempt: AttemptId) {
        self.open_attempts.remove(&(host.clone(), incarnation, attempt.0));
        self.deliver_in(
            0,
            host,
            incarnation,
            Event::AttemptEnded { attempt, end: AttemptEnd::Lost },
        );
    }

    /// Reports the end of a call to its host, once.
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
    /// Returns the key in `open_attempts`.
    fn key(&self) -> (Name, u64, u64) {
        (self.host.clone(), self.incarnation, self.attempt.0)
    }
}

/// Returns the result of a task.
pub(super) fn echo(work: &[u8]) -> Bytes {
    let mut answer = b"done ".to_vec();
    answer.extend_from_slice(work);
    Bytes::from(answer)
}
