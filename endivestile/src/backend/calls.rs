//! Open calls to back ends.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use endivestile_config::BackendSettings;
use endivestile_config::model::Name;
use endivestile_kernel::{AttemptEnd, AttemptId, Event, Peer};

use super::agent::Agents;
use super::run::Run;
use super::stop::Stop;
use crate::clock::Clock;
use crate::counters::{Counters, IoMetric};
use crate::inbox::Inbox;
use crate::thread_pool::Pool;

/// Threads that tell workers to stop tasks.
const STOPPERS: usize = 8;
/// Stops that may wait; a wave of cancellations beyond is left to the leases.
const MAX_STOPS: usize = 4_096;

/// What all calls share.
#[derive(Debug)]
pub(crate) struct Env {
    /// The clients.
    pub(crate) agents: Agents,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// This incarnation, as the keys of tasks name it.
    me: String,
    /// Largest answer, in bytes.
    pub(crate) answer_limit: u64,
    /// The engine.
    inbox: Inbox,
    /// Counts.
    counters: Counters,
    /// Open calls with the address of the worker, or none for a backend server.
    open: Mutex<HashMap<AttemptId, Option<Name>>>,
}

impl Env {
    /// Returns the key by which a back end knows the task.
    pub(crate) fn key(&self, attempt: AttemptId) -> String {
        format!("{}.{:x}", self.me, attempt.0)
    }

    /// Returns whether somebody still wants the call.
    pub(crate) fn wants(&self, attempt: AttemptId) -> bool {
        self.open().contains_key(&attempt)
    }

    /// Ends a call; one that was aborted has ended already.
    pub(crate) fn end(&self, attempt: AttemptId, end: AttemptEnd) {
        if self.open().remove(&attempt).is_none() {
            return;
        }
        match end {
            AttemptEnd::Lost => self.counters.count_io(IoMetric::BackendCallsLost, 1),
            AttemptEnd::Unreachable => self.counters.count_io(IoMetric::BackendCallsUnreachable, 1),
            _ => {}
        }
        self.inbox.post_event(Event::AttemptEnded { attempt, end });
    }

    fn open(&self) -> MutexGuard<'_, HashMap<AttemptId, Option<Name>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts and aborts calls.
#[derive(Debug)]
pub(crate) struct Backends {
    /// Carries the calls.
    runs: Pool<Run>,
    /// Tells workers to stop.
    stops: Pool<Stop>,
    /// What all calls share.
    env: Arc<Env>,
}

impl Backends {
    /// Makes the pools.
    pub(crate) fn start(
        settings: &BackendSettings,
        clock: Clock,
        me: &Peer,
        inbox: Inbox,
        counters: Counters,
    ) -> Self {
        let env = Arc::new(Env {
            agents: Agents::new(settings),
            clock,
            me: format!("{}.{:x}", me.host, me.birth),
            answer_limit: settings.answer_limit as u64,
            inbox,
            counters,
            open: Mutex::new(HashMap::new()),
        });
        let runs = Pool::new("backend", settings.threads, Arc::clone(&env));
        let stops = Pool::new("stop", STOPPERS, Arc::clone(&env));
        Self { runs, stops, env }
    }

    /// Starts a call.
    pub(crate) fn run(&self, run: Run) {
        let worker = run.is_worker().then(|| Name::clone(&run.address));
        self.env.open().insert(run.attempt, worker);
        self.runs.push(run);
    }

    /// Ends a call that nobody wants any more.
    ///
    /// Its thread waits for the back end and cannot be woken. Were the kernel
    /// to wait for it, a cancelled task would hold its submission until the
    /// deadline; so the call ends at once, as lost: it may well run on. What
    /// comes back later finds the call closed. A worker is told to stop.
    pub(crate) fn abort(&self, attempt: AttemptId) {
        let worker = self.env.open().get(&attempt).cloned();
        self.env.end(attempt, AttemptEnd::Lost);
        if let Some(Some(address)) = worker
            && self.stops.queued() < MAX_STOPS
        {
            self.stops.push(Stop { attempt, address });
        }
    }

    /// Returns how many calls are open.
    pub(crate) fn open(&self) -> usize {
        self.env.open().len()
    }
}
