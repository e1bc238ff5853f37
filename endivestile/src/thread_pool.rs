//! A bounded thread pool that grows with its queue.

use std::collections::VecDeque;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Work that may block its thread.
pub(crate) trait Work: Send + 'static {
    /// State shared by all work of a pool.
    type Env: Send + Sync + 'static;

    /// Does the work; it may block.
    fn perform(self, env: &Self::Env);
}

/// A thread pool; each thread runs one piece of work at a time.
pub(crate) struct Pool<W: Work> {
    /// State shared with the threads.
    shared: Arc<Shared<W>>,
}

/// State shared by a pool and its threads.
struct Shared<W: Work> {
    /// Name of the threads, for logs and debuggers.
    name: &'static str,
    /// Largest number of threads.
    limit: usize,
    /// State shared by all work.
    env: W::Env,
    /// Queue and thread counts.
    state: Mutex<State<W>>,
    /// Signalled when work is queued.
    work_queued: Condvar,
}

/// Queue and thread counts of a pool.
struct State<W> {
    /// Work that waits for a thread.
    queue: VecDeque<W>,
    /// Number of threads.
    threads: usize,
    /// Number of threads that wait for work.
    idle: usize,
}

impl<W: Work> Pool<W> {
    /// Creates a pool of at most `limit` threads, which are started on demand.
    pub(crate) fn new(name: &'static str, limit: usize, env: W::Env) -> Self {
        let state = State { queue: VecDeque::new(), threads: 0, idle: 0 };
        let shared =
            Shared { name, limit, env, state: Mutex::new(state), work_queued: Condvar::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Queues work, and starts a thread if too few are idle.
    pub(crate) fn push(&self, work: W) {
        let mut state = self.shared.lock();
        state.queue.push_back(work);
        if state.queue.len() > state.idle && state.threads < self.shared.limit {
            self.add_thread(&mut state);
        }
        drop(state);
        self.shared.work_queued.notify_one();
    }

    /// Returns the amount of queued work.
    pub(crate) fn queued(&self) -> usize {
        self.shared.lock().queue.len()
    }

    /// Starts one more thread. If that fails, the work waits for an existing thread.
    fn add_thread(&self, state: &mut State<W>) {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new().name(shared.name.to_owned());
        if thread.spawn(move || shared.run_thread()).is_ok() {
            state.threads += 1;
        }
    }
}

impl<W: Work> Clone for Pool<W> {
    fn clone(&self) -> Self {
        Self { shared: Arc::clone(&self.shared) }
    }
}

impl<W: Work> fmt::Debug for Pool<W> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Pool").field("name", &self.shared.name).finish_non_exhaustive()
    }
}

impl<W: Work> Shared<W> {
    /// Runs work until the process ends.
    ///
    /// Panics of the work are caught: otherwise each would end a thread, and the
    /// pool would silently run out of threads. The work's own `Drop` notifies
    /// whoever waits for its result.
    fn run_thread(&self) {
        loop {
            let work = self.next_work();
            if catch_unwind(AssertUnwindSafe(|| work.perform(&self.env))).is_err() {
                log::error!("event=work_panicked pool={}", self.name);
            }
        }
    }

    /// Waits for the next piece of work.
    fn next_work(&self) -> W {
        let mut state = self.lock();
        loop {
            if let Some(work) = state.queue.pop_front() {
                return work;
            }
            state.idle += 1;
            state = self.work_queued.wait(state).unwrap_or_else(PoisonError::into_inner);
            state.idle -= 1;
        }
    }

    /// Locks the state. A poisoned lock is used as is: no code panics while holding it.
    fn lock(&self) -> MutexGuard<'_, State<W>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
