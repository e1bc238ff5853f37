//! Open calls to back ends.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use endivestile_config::BackendSettings;
use endivestile_config::model::Name;
use endivestile_kernel::{AttemptEnd, AttemptId, Event, Peer};

use super::clients::Clients;
use super::stop_call::StopCall;
use super::task_call::TaskCall;
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
pub(crate) struct CallContext {
    /// The clients.
    pub(crate) clients: Clients,
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

impl CallContext {
    /// Returns the key by which a back end knows the task.
    pub(crate) fn task_key(&self, attempt: AttemptId) -> String {
        format!("{}.{:x}", self.me, attempt.0)
    }

    /// Returns whether somebody still wants the call.
    pub(crate) fn is_open(&self, attempt: AttemptId) -> bool {
        self.open().contains_key(&attempt)
    }

    /// Ends a call; one that was aborted has ended already.
    pub(crate) fn finish(&self, attempt: AttemptId, end: AttemptEnd) {
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
    runs: Pool<TaskCall>,
    /// Tells workers to stop.
    stops: Pool<StopCall>,
    /// What all calls share.
    context: Arc<CallContext>,
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
        let context = Arc::new(CallContext {
            clients: Clients::new(settings),
            clock,
            me: format!("{}.{:x}", me.host, me.birth),
            answer_limit: settings.answer_limit as u64,
            inbox,
            counters,
            open: Mutex::new(HashMap::new()),
        });
        let runs = Pool::new("backend", settings.threads, Arc::clone(&context));
        let stops = Pool::new("stop", STOPPERS, Arc::clone(&context));
        Self { runs, stops, context }
    }

    /// Starts a call.
    pub(crate) fn start_call(&self, run: TaskCall) {
        let worker = run.is_worker().then(|| Name::clone(&run.address));
        self.context.open().insert(run.attempt, worker);
        self.runs.push(run);
    }

    /// Ends a call that nobody wants any more.
    ///
    /// Its thread waits for the back end and cannot be woken. Were the kernel
    /// to wait for it, a cancelled task would hold its submission until the
    /// deadline; so the call ends at once, as lost: it may well run on. What
    /// comes back later finds the call closed. A worker is told to stop.
    pub(crate) fn abort(&self, attempt: AttemptId) {
        let worker = self.context.open().get(&attempt).cloned();
        self.context.finish(attempt, AttemptEnd::Lost);
        if let Some(Some(address)) = worker
            && self.stops.queued() < MAX_STOPS
        {
            self.stops.push(StopCall { attempt, address });
        }
    }

    /// Returns how many calls are open.
    pub(crate) fn open_calls(&self) -> usize {
        self.context.open().len()
    }
}
