//! Simulated worker: it grants leases, refuses lower fencing tokens and starts every requested
//! task, even beyond its capacity.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_kernel::Need;
use endivestile_kernel::fleet::{
    CallError, EndRecord, RenewReply, RenewRequest, RunEnd, RunStatus, StartRequest, StartResult,
    StopRequest, WorkerEntry,
};

/// Longest lease that a worker grants, in milliseconds.
const MAX_LEASE_MS: u64 = 1_000;

/// Time from a stop request to the end of the run, in microseconds.
const STOP_DELAY_US: u64 = 50_000;

/// How a worker behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Behaviour {
    /// Works without faults.
    Good,
    /// Fails every run shortly after its start.
    Errors,
    /// Starts runs, but makes no progress.
    Hangs,
    /// Runs tasks slower by this factor.
    Slow(f64),
    /// Leaves start and stop requests unanswered and executes them this many milliseconds later.
    Late(u64),
}

/// A run at a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    /// Resources that the run uses.
    pub(crate) need: Need,
    /// Remaining work, in microseconds at speed 1.
    remaining_us: f64,
    /// Total work, in microseconds at speed 1.
    total_us: f64,
    /// Virtual time at which `remaining_us` was last updated.
    updated_at: u64,
    /// Virtual time at which the run fails, if it does.
    fails_at: Option<u64>,
    /// Virtual time at which the run crashes the worker, if it does.
    pub(crate) crashes_at: Option<u64>,
    /// Virtual time at which a requested stop takes effect.
    stops_at: Option<u64>,
}

/// State of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// Registration in the store.
    pub(crate) entry: WorkerEntry,
    /// Current behaviour.
    pub(crate) behaviour: Behaviour,
    /// Whether its process has ended: every call is refused.
    pub(crate) down: bool,
    /// Processor time that its runs may use, in thousandths of a core: its capacity, or more while
    /// a host may not have learned of a shrink, or while runs from before it go on.
    pub(crate) limit_cpu: u32,
    /// Whether the worker leaves every call unanswered.
    pub(crate) unresponsive: bool,
    /// Virtual time from which the store lists the worker.
    pub(crate) listed_from: u64,
    /// Speed; a run at speed 2 takes half as long as at speed 1.
    pub(crate) speed: f64,
    /// Active runs by task and run number.
    pub(crate) runs: BTreeMap<(Name, u32), Run>,
    /// Virtual time at which the worker's clock read zero.
    clock_zero: u64,
    /// Highest fencing token seen.
    token: u64,
    /// Expiry of the lease on the worker's clock, in milliseconds.
    lease_until_ms: u64,
    /// Highest run number of each task that was started or stopped.
    highest_run: BTreeMap<Name, u32>,
    /// Ended runs that no renewal has acknowledged yet.
    ends: Vec<EndRecord>,
    /// Number of the last end record.
    last_end: u64,
}

impl Worker {
    /// Creates a worker that starts at `now`.
    pub(crate) fn new(now: u64, entry: WorkerEntry, speed: f64) -> Self {
        Self {
            limit_cpu: entry.capacity.cpu_milli,
            down: false,
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
            last_end: 0,
        }
    }

    /// Restarts the worker as a new incarnation that has lost all state.
    pub(crate) fn restart(&mut self, now: u64) {
        let mut entry = self.entry.clone();
        entry.incarnation += 1;
        *self = Self::new(now, entry, self.speed);
    }

    /// Returns whether a run crashes the worker by now.
    pub(crate) fn crashes(&self, now: u64) -> bool {
        self.runs.values().any(|run| run.crashes_at.is_some_and(|at| at <= now))
    }

    /// Ends the process: its runs end unreported, and calls are refused until a restart.
    pub(crate) fn crash(&mut self) {
        self.runs.clear();
        self.ends.clear();
        self.down = true;
    }

    /// Returns the processor time that its runs use, in thousandths of a core.
    pub(crate) fn used_cpu(&self) -> u32 {
        self.runs.values().map(|run| run.need.cpu_milli).sum()
    }

    fn clock_ms(&self, now: u64) -> u64 {
        (now - self.clock_zero) / 1_000
    }

    /// Returns the work done per microsecond, in microseconds at speed 1.
    fn rate(&self) -> f64 {
        match self.behaviour {
            Behaviour::Hangs => 0.0,
            Behaviour::Slow(factor) => self.speed / factor,
            _ => self.speed,
        }
    }

    /// Returns the virtual time of the next end of a run or of the lease.
    pub(crate) fn next_change(&self) -> Option<u64> {
        let rate = self.rate();
        let ends = self.runs.values().flat_map(|run| {
            let done =
                (rate > 0.0).then(|| run.updated_at + (run.remaining_us / rate).ceil() as u64);
            done.into_iter().chain(run.fails_at).chain(run.crashes_at).chain(run.stops_at)
        });
        let expiry = (!self.runs.is_empty()).then(|| self.clock_zero + self.lease_until_ms * 1_000);
        ends.chain(expiry).min()
    }

    /// Advances the runs to `now`; returns those that ended, also by expiry of the lease.
    pub(crate) fn advance(&mut self, now: u64) -> Vec<(Name, u32, RunEnd)> {
        let rate = self.rate();
        let expired = self.clock_zero + self.lease_until_ms * 1_000 <= now;
        let mut finished = Vec::new();
        for ((task, number), run) in &mut self.runs {
            run.remaining_us -= (now - run.updated_at) as f64 * rate;
            run.updated_at = now;
            if run.remaining_us < 1.0 {
                finished.push((task.clone(), *number, RunEnd::Done));
            } else if run.stops_at.is_some_and(|at| at <= now) {
                finished.push((task.clone(), *number, RunEnd::Stopped));
            } else if run.fails_at.is_some_and(|at| at <= now) {
                finished.push((task.clone(), *number, RunEnd::Failed));
            } else if expired {
                finished.push((task.clone(), *number, RunEnd::Expired));
            }
        }
        for (task, number, end) in &finished {
            self.end(task, *number, *end);
        }
        finished
    }

    /// Removes a run and records its end.
    fn end(&mut self, task: &Name, run: u32, end: RunEnd) {
        self.runs.remove(&(task.clone(), run));
        self.raise_run(task, run);
        self.last_end += 1;
        self.ends.push(EndRecord { number: self.last_end, task: task.clone(), run, end });
    }

    /// Raises the highest run number of a task.
    fn raise_run(&mut self, task: &Name, run: u32) {
        let highest_run = self.highest_run.entry(task.clone()).or_default();
        *highest_run = (*highest_run).max(run);
    }

    /// Records a fencing token; returns whether it is outdated.
    fn check_fence(&mut self, token: u64) -> bool {
        let outdated = token < self.token;
        self.token = self.token.max(token);
        outdated
    }

    /// Extends the lease, at most by the longest lease that is granted.
    fn extend_lease(&mut self, now: u64, lease_until_ms: u64) {
        let longest = self.clock_ms(now) + MAX_LEASE_MS;
        self.lease_until_ms = self.lease_until_ms.max(lease_until_ms.min(longest));
    }

    /// Executes a request to start a task with this need and work.
    pub(crate) fn start(
        &mut self,
        now: u64,
        request: &StartRequest,
        need: Need,
        work_us: f64,
    ) -> StartResult {
        let id = (request.task.clone(), request.run);
        if self.check_fence(request.token) {
            return StartResult::Failed(CallError::Fenced);
        }
        if self.runs.contains_key(&id) {
            return StartResult::Started(self.clock_ms(now));
        }
        if self
            .highest_run
            .get(&request.task)
            .is_some_and(|highest_run| *highest_run >= request.run)
        {
            return StartResult::Superseded;
        }
        if request.lease_until <= self.clock_ms(now) {
            return StartResult::Expired;
        }
        self.extend_lease(now, request.lease_until);
        let fails_at = (self.behaviour == Behaviour::Errors).then_some(now + 5_000);
        let run = Run {
            need,
            remaining_us: work_us,
            total_us: work_us,
            updated_at: now,
            fails_at,
            crashes_at: None,
            stops_at: None,
        };
        self.runs.insert(id, run);
        StartResult::Started(self.clock_ms(now))
    }

    /// Executes a request to stop a run; returns the worker's clock in milliseconds.
    pub(crate) fn stop(&mut self, now: u64, request: &StopRequest) -> Result<u64, CallError> {
        if self.check_fence(request.token) {
            return Err(CallError::Fenced);
        }
        if let Some(run) = self.runs.get_mut(&(request.task.clone(), request.run)) {
            run.stops_at.get_or_insert(now + STOP_DELAY_US);
        }
        self.raise_run(&request.task.clone(), request.run);
        Ok(self.clock_ms(now))
    }

    /// Handles a lease renewal; returns whether it is to be answered at once.
    pub(crate) fn renew(&mut self, now: u64, request: &RenewRequest) -> Result<bool, CallError> {
        if self.check_fence(request.token) {
            return Err(CallError::Fenced);
        }
        if let Some(until) = request.lease_until {
            self.extend_lease(now, until);
        }
        self.ends.retain(|end| end.number > request.observed);
        Ok(!self.ends.is_empty() || request.wait_ms == 0)
    }

    /// Returns the answer to a lease renewal.
    pub(crate) fn renew_reply(&self, now: u64) -> RenewReply {
        let running = self.runs.iter().map(|((task, run), state)| RunStatus {
            task: task.clone(),
            run: *run,
            percent: (100.0 * (1.0 - state.remaining_us / state.total_us)) as u8,
        });
        RenewReply {
            clock: self.clock_ms(now),
            incarnation: self.entry.incarnation,
            running: running.collect(),
            ended: self.ends.clone(),
        }
    }

    /// Returns whether there are ends that no renewal has acknowledged.
    pub(crate) fn has_ends(&self) -> bool {
        !self.ends.is_empty()
    }
}

/// Returns a need of no resources.
pub(crate) fn zero_need() -> Need {
    Need { cpu_milli: 0, memory_mb: 0, accelerators: 0 }
}

/// Returns the registration of a worker of a zone.
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
