//! A worker that keeps leases, refuses lower fencing tokens and starts what it
//! is told to start, whether it has room or not.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_kernel::Need;
use endivestile_kernel::fleet::{
    CallError, EndRecord, RenewReply, RenewRequest, RunEnd, RunStatus, StartRequest, StartResult,
    StopRequest, WorkerEntry,
};

/// Longest lease that it grants, in milliseconds.
const MAX_LEASE_MS: u64 = 1_000;

/// Time that a stop takes, in microseconds.
const STOP_US: u64 = 50_000;

/// How a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    /// As it should.
    Good,
    /// Fails all that it starts.
    Errors,
    /// Makes no progress.
    Hangs,
    /// Takes so many times longer.
    Slow(f64),
    /// Leaves orders unanswered and carries them out so many milliseconds later.
    Late(u64),
}

/// A run at a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// What it takes.
    pub(crate) need: Need,
    /// Work left, in microseconds at speed 1.
    left_us: f64,
    /// Work in all.
    total_us: f64,
    /// When the work was last brought up to date.
    at: u64,
    /// When it fails, if it does.
    fails_at: Option<u64>,
    /// When a stop has been carried out, if it was told to stop.
    stops_at: Option<u64>,
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Its registration.
    pub(crate) entry: WorkerEntry,
    /// How it behaves.
    pub(crate) behaviour: Behaviour,
    /// Whether it answers at all.
    pub(crate) unresponsive: bool,
    /// Virtual time from which on the store lists it.
    pub(crate) listed_from: u64,
    /// Its speed.
    pub(crate) speed: f64,
    /// What runs.
    pub(crate) runs: BTreeMap<(Name, u32), Run>,
    /// Virtual time at which its clock read zero.
    clock_zero: u64,
    token: u64,
    lease_until_ms: u64,
    highest_run: BTreeMap<Name, u32>,
    ends: Vec<EndRecord>,
    number: u64,
}

impl Worker {
    /// Starts a worker at `now`.
    pub(crate) fn new(now: u64, entry: WorkerEntry, speed: f64) -> Self {
        Self {
            entry,
            behaviour: Behaviour::Good,
            unresponsive: false,
            listed_from: now,
            speed,
            runs: BTreeMap::new(),
            clock_zero: now,
            token: 0,
            lease_until_ms: 0,
            highest_run: BTreeMap::new(),
            ends: Vec::new(),
            number: 0,
        }
    }

    /// Crashes and starts again, knowing nothing.
    pub(crate) fn restart(&mut self, now: u64) {
        let mut entry = self.entry.clone();
        entry.incarnation += 1;
        *self = Self::new(now, entry, self.speed);
    }

    fn clock_ms(&self, now: u64) -> u64 {
        (now - self.clock_zero) / 1_000
    }

    fn rate(&self) -> f64 {
        match self.behaviour {
            Behaviour::Hangs => 0.0,
            Behaviour::Slow(times) => self.speed / times,
            _ => self.speed,
        }
    }

    /// Returns when something happens here by itself.
    pub(crate) fn next_change(&self) -> Option<u64> {
        let rate = self.rate();
        let ends = self.runs.values().flat_map(|run| {
            let done = (rate > 0.0).then(|| run.at + (run.left_us / rate).ceil() as u64);
            done.into_iter().chain(run.fails_at).chain(run.stops_at)
        });
        let expiry = (!self.runs.is_empty()).then(|| self.clock_zero + self.lease_until_ms * 1_000);
        ends.chain(expiry).min()
    }

    /// Brings runs up to date: some end, or lapse with the lease.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<(Name, u32, RunEnd)> {
        let rate = self.rate();
        let expired = self.clock_zero + self.lease_until_ms * 1_000 <= now;
        let mut over = Vec::new();
        for ((task, number), run) in &mut self.runs {
            run.left_us -= (now - run.at) as f64 * rate;
            run.at = now;
            if run.left_us < 1.0 {
                over.push((task.clone(), *number, RunEnd::Done));
            } else if run.stops_at.is_some_and(|at| at <= now) {
                over.push((task.clone(), *number, RunEnd::Stopped));
            } else if run.fails_at.is_some_and(|at| at <= now) {
                over.push((task.clone(), *number, RunEnd::Failed));
            } else if expired {
                over.push((task.clone(), *number, RunEnd::Expired));
            }
        }
        for (task, number, end) in &over {
            self.end(task, *number, *end);
        }
        over
    }

    fn end(&mut self, task: &Name, run: u32, end: RunEnd) {
        self.runs.remove(&(task.clone(), run));
        self.raise_run(task, run);
        self.number += 1;
        self.ends.push(EndRecord { number: self.number, task: task.clone(), run, end });
    }

    fn raise_run(&mut self, task: &Name, run: u32) {
        let highest_run = self.highest_run.entry(task.clone()).or_default();
        *highest_run = (*highest_run).max(run);
    }

    fn check_fence(&mut self, token: u64) -> bool {
        let fenced = token < self.token;
        self.token = self.token.max(token);
        fenced
    }

    fn extend_lease(&mut self, now: u64, lease_until_ms: u64) {
        let longest = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.min(longest));
    }

    /// Carries out an order to start a task of this work.
    pub(crate) fn start(
        &mut self,
        now: u64,
        order: &StartRequest,
        need: Need,
        work_us: f64,
    ) -> StartResult {
        let id = (order.task.clone(), order.run);
        if self.check_fence(order.token) {
            return StartResult::Failed(CallError::Fenced);
        }
        if self.runs.contains_key(&id) {
            return StartResult::Started(self.clock_ms(now));
        }
        if self.highest_run.get(&order.task).is_some_and(|highest_run| *highest_run >= order.run) {
            return StartResult::Superseded;
        }
        if order.lease_until <= self.clock_ms(now) {
            return StartResult::Expired;
        }
        self.extend_lease(now, order.lease_until);
        let fails_at = (self.behaviour == Behaviour::Errors).then_some(now + 5_000);
        let run =
            Run { need, left_us: work_us, total_us: work_us, at: now, fails_at, stops_at: None };
        self.runs.insert(id, run);
        StartResult::Started(self.clock_ms(now))
    }

    /// Carries out an order to stop.
    pub(crate) fn stop(&mut self, now: u64, order: &StopRequest) -> Result<u64, CallError> {
        if self.check_fence(order.token) {
            return Err(CallError::Fenced);
        }
        if let Some(run) = self.runs.get_mut(&(order.task.clone(), order.run)) {
            run.stops_at.get_or_insert(now + STOP_US);
        }
        self.raise_run(&order.task.clone(), order.run);
        Ok(self.clock_ms(now))
    }

    /// Takes a hold; returns whether there is something to tell at once.
    pub(crate) fn renew(&mut self, now: u64, order: &RenewRequest) -> Result<bool, CallError> {
        if self.check_fence(order.token) {
            return Err(CallError::Fenced);
        }
        if let Some(until) = order.lease_until {
            self.extend_lease(now, until);
        }
        self.ends.retain(|end| end.number > order.observed);
        Ok(!self.ends.is_empty() || order.wait_ms == 0)
    }

    /// Returns what a hold is answered.
    pub(crate) fn renew_reply(&self, now: u64) -> RenewReply {
        let running = self.runs.iter().map(|((task, run), state)| RunStatus {
            task: task.clone(),
            run: *run,
            percent: (100.0 * (1.0 - state.left_us / state.total_us)) as u8,
        });
        RenewReply {
            clock: self.clock_ms(now),
            incarnation: self.entry.incarnation,
            running: running.collect(),
            ended: self.ends.clone(),
        }
    }

    /// Returns whether there are ends to tell.
    pub(crate) fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }
}

/// Nothing taken.
pub(crate) fn no_need() -> Need {
    Need { cpu_milli: 0, memory_mb: 0, accelerators: 0 }
}

/// The registration of a worker of a zone.
pub(crate) fn worker_entry(zone: &str, index: u64, cpu: u32) -> WorkerEntry {
    let id = Name::from(format!("{zone}-w{index}"));
    WorkerEntry {
        id: id.clone(),
        service: Name::from("service"),
        address: id,
        zone: Name::from(zone),
        labels: vec![Name::from(format!("{zone}-r{}", index / 2))],
        capacity: Need { cpu_milli: cpu, memory_mb: 65_536, accelerators: 0 },
        leaving: false,
        incarnation: 1,
    }
}
