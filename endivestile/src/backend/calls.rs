//! Open calls to backends.

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

/// Most threads that make stop calls to workers.
const STOP_THREADS: usize = 8;
/// Most queued stop calls; further tasks run until their leases expire.
const MAX_QUEUED_STOPS: usize = 4_096;

/// State shared by all calls.
#[derive(Debug)]
pub(crate) struct CallContext {
    /// HTTP clients of the backends.
    pub(crate) clients: Clients,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// Prefix of task keys, which identifies this incarnation of the host.
    key_prefix: String,
    /// Longest answer, in bytes.
    pub(crate) answer_limit: u64,
    /// Input channel of the engine.
    inbox: Inbox,
    /// Counters of the process.
    counters: Counters,
    /// Open calls with the worker's address, or `None` for a backend server.
    open: Mutex<HashMap<AttemptId, Option<Name>>>,
}

impl CallContext {
    /// Returns the key that identifies the task at the backend.
    pub(crate) fn task_key(&self, attempt: AttemptId) -> String {
        format!("{}.{:x}", self.key_prefix, attempt.0)
    }

    /// Returns whether the call is still open.
    pub(crate) fn is_open(&self, attempt: AttemptId) -> bool {
        self.lock_open().contains_key(&attempt)
    }

    /// Ends a call and reports its outcome, unless it has been aborted.
    pub(crate) fn finish(&self, attempt: AttemptId, end: AttemptEnd) {
        if self.lock_open().remove(&attempt).is_none() {
            return;
        }
        match end {
            AttemptEnd::Lost => self.counters.count_io(IoMetric::BackendCallsLost, 1),
            AttemptEnd::Unreachable => self.counters.count_io(IoMetric::BackendCallsUnreachable, 1),
            _ => {}
        }
        self.inbox.post_event(Event::AttemptEnded { attempt, end });
    }

    fn lock_open(&self) -> MutexGuard<'_, HashMap<AttemptId, Option<Name>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts and aborts calls to backends.
#[derive(Debug)]
pub(crate) struct Backends {
    /// Threads that send tasks.
    task_calls: Pool<TaskCall>,
    /// Threads that stop tasks at workers.
    stop_calls: Pool<StopCall>,
    /// State shared by all calls.
    context: Arc<CallContext>,
}

impl Backends {
    /// Creates the thread pools.
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
            key_prefix: format!("{}.{:x}", me.host, me.birth),
            answer_limit: settings.answer_limit as u64,
            inbox,
            counters,
            open: Mutex::new(HashMap::new()),
        });
        let task_calls = Pool::new("backend", settings.threads, Arc::clone(&context));
        let stop_calls = Pool::new("stop", STOP_THREADS, Arc::clone(&context));
        Self { task_calls, stop_calls, context }
    }

    /// Starts a call.
    pub(crate) fn start_call(&self, call: TaskCall) {
        let worker = call.is_worker().then(|| Name::clone(&call.address));
        self.context.lock_open().insert(call.attempt, worker);
        self.task_calls.push(call);
    }

    /// Ends a call whose answer is no longer needed.
    ///
    /// Its thread waits for the backend and cannot be interrupted. If the kernel
    /// waited for it, a cancelled task would keep its submission open until the
    /// deadline. The call therefore ends at once as lost, since the task may run
    /// on, and a later answer is ignored. At a worker the task is also stopped.
    pub(crate) fn abort(&self, attempt: AttemptId) {
        let worker = self.context.lock_open().get(&attempt).cloned();
        self.context.finish(attempt, AttemptEnd::Lost);
        if let Some(Some(address)) = worker
            && self.stop_calls.queued() < MAX_QUEUED_STOPS
        {
            self.stop_calls.push(StopCall { attempt, address });
        }
    }

    /// Returns the number of open calls.
    pub(crate) fn open_calls(&self) -> usize {
        self.context.lock_open().len()
    }
}
