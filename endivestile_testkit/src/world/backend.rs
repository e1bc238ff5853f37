//! Backend servers and workers.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};
use endivestile_kernel::{AttemptEnd, AttemptId, Event, PlaceRequest};
use rand::Rng;

use super::{Happening, Started, World};

/// How a back end behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
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
    pub(super) service_ms: u64,
    /// Behaviour.
    pub(super) mode: Mode,
    /// Since when it is leaving, in microseconds.
    pub(super) leaving: Option<u64>,
}

/// A call to a back end.
#[derive(Debug, Clone)]
pub(super) struct Visit {
    host: Name,
    birth: u64,
    attempt: AttemptId,
    server: Name,
    work: Bytes,
}

impl Backend {
    /// Makes every back end of the configuration, all good.
    pub(super) fn all(config: &Config) -> BTreeMap<Name, Self> {
        let make = |address: &Name, slots: u32| Self {
            address: address.clone(),
            slots,
            running: 0,
            service_ms: 100,
            mode: Mode::Good,
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
    pub(super) fn visit(
        &mut self,
        host: &Name,
        birth: u64,
        attempt: AttemptId,
        address: &Name,
        request: PlaceRequest,
    ) {
        let found = self.backends.iter().find(|(_, backend)| backend.address == *address);
        let Some((server, backend)) = found else { return };
        let server = server.clone();
        let delay = self.net.delay_us(host, &server, &mut self.rng);
        let refused = backend.mode == Mode::Refuse || !self.net.reaches(host, &server);
        if refused {
            let event = Event::AttemptEnded { attempt, end: AttemptEnd::Unreachable };
            self.event_in(2 * delay, host, birth, event);
            return;
        }
        let work = request.task.work.clone();
        let visit = Visit { host: host.clone(), birth, attempt, server, work };
        self.visits.insert(visit.key());
        self.at(self.now + delay, Happening::Arrive(visit.clone()));
        let Some(machine) = self.machines.get(host) else { return };
        let left = request.deadline.since(machine.clock(self.now));
        self.at(self.now + left.as_micros() as u64, Happening::Expire(visit));
    }

    pub(super) fn arrive(&mut self, visit: Visit) {
        let Some(backend) = self.backends.get_mut(&visit.server) else { return };
        match backend.mode {
            Mode::Leaving => return self.end(&visit, AttemptEnd::Leaving),
            _ if backend.running >= backend.slots => return self.end(&visit, AttemptEnd::Busy),
            _ => {}
        }
        let work = String::from_utf8_lossy(&visit.work).into_owned();
        self.starts.push(Started { work, server: visit.server.clone(), at: self.now });
        match backend.mode {
            Mode::Close => self.end(&visit, AttemptEnd::Lost),
            Mode::Fail => self.end(&visit, AttemptEnd::Rejected(500)),
            Mode::Hang => {}
            _ => {
                backend.running += 1;
                // A tenth either way, so that ends do not fall together.
                let base = backend.service_ms * 1_000;
                let spread = self.rng.random_range(0..=base / 5);
                let at = self.now + base - base / 10 + spread;
                self.at(at, Happening::Depart(visit));
            }
        }
    }

    pub(super) fn depart(&mut self, visit: Visit) {
        let Some(backend) = self.backends.get_mut(&visit.server) else { return };
        backend.running -= 1;
        let whole = backend.mode == Mode::Good && self.net.reaches(&visit.host, &visit.server);
        let end = if whole { AttemptEnd::Answered(echo(&visit.work)) } else { AttemptEnd::Lost };
        self.end(&visit, end);
    }

    pub(super) fn expire(&mut self, visit: Visit) {
        self.end(&visit, AttemptEnd::Lost);
    }

    pub(super) fn abort(&mut self, host: &Name, birth: u64, attempt: AttemptId) {
        self.visits.remove(&(host.clone(), birth, attempt.0));
        self.event_in(0, host, birth, Event::AttemptEnded { attempt, end: AttemptEnd::Lost });
    }

    fn end(&mut self, visit: &Visit, end: AttemptEnd) {
        if !self.visits.remove(&visit.key()) {
            return;
        }
        let delay = self.net.delay_us(&visit.host, &visit.server, &mut self.rng);
        let event = Event::AttemptEnded { attempt: visit.attempt, end };
        self.event_in(delay, &visit.host, visit.birth, event);
    }
}

impl Visit {
    fn key(&self) -> (Name, u64, u64) {
        (self.host.clone(), self.birth, self.attempt.0)
    }
}

/// Returns what a back end answers to a piece of work.
pub(super) fn echo(work: &[u8]) -> Bytes {
    let mut answer = b"done ".to_vec();
    answer.extend_from_slice(work);
    Bytes::from(answer)
}
