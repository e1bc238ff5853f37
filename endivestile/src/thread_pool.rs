//! A bounded pool of threads that grows with the work at hand.

use std::collections::VecDeque;
use std::fmt;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;

/// Work that may block its thread.
pub(crate) trait Work: Send + 'static {
    /// What all work of a pool shares.
    type Env: Send + Sync + 'static;

    /// Does the work.
    fn perform(self, env: &Self::Env);
}

/// A pool of threads; each runs one piece of work at a time.
pub(crate) struct Pool<W: Work> {
    /// State shared with the threads.
    shared: Arc<Shared<W>>,
}

/// State shared by a pool and its threads.
struct Shared<W: Work> {
    /// Name of the threads.
    name: &'static str,
    /// Most threads.
    limit: usize,
    /// What all work shares.
    env: W::Env,
    /// What changes.
    state: Mutex<State<W>>,
    /// Signals new work.
    ready: Condvar,
}

/// Queue and threads of a pool.
struct State<W> {
    /// Work that waits for a thread.
    queue: VecDeque<W>,
    /// Threads.
    threads: usize,
    /// Threads that wait for work.
    idle: usize,
}

impl<W: Work> Pool<W> {
    /// Makes a pool of at most `limit` threads; they start as work arrives.
    pub(crate) fn new(name: &'static str, limit: usize, env: W::Env) -> Self {
        let state = State { queue: VecDeque::new(), threads: 0, idle: 0 };
        let shared = Shared { name, limit, env, state: Mutex::new(state), ready: Condvar::new() };
        Self { shared: Arc::new(shared) }
    }

    /// Queues work, and starts a thread for it if none is idle.
    pub(crate) fn push(&self, work: W) {
        let mut state = self.shared.lock();
        state.queue.push_back(work);
        if state.queue.len() > state.idle && state.threads < self.shared.limit {
            self.grow(&mut state);
        }
        drop(state);
        self.shared.ready.notify_one();
    }

    /// Returns how much work waits for a thread.
    pub(crate) fn queued(&self) -> usize {
        self.shared.lock().queue.len()
    }

    /// Returns how much work waits or runs.
    pub(crate) fn pending(&self) -> usize {
        let state = self.shared.lock();
        state.queue.len() + state.threads - state.idle
    }

    /// Starts one more thread; a machine out of threads leaves the work to those there are.
    fn grow(&self, state: &mut State<W>) {
        let shared = Arc::clone(&self.shared);
        let thread = thread::Builder::new().name(shared.name.to_owned());
        if thread.spawn(move || shared.serve()).is_ok() {
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
    /// A library that panics in the middle of a piece of work would end the
    /// thread, unnoticed but for a pool that slowly runs out of threads; so
    /// the panic is caught, and whoever waits is told by the work's own drop.
    fn serve(&self) {
        loop {
            let work = self.take();
            if catch_unwind(AssertUnwindSafe(|| work.perform(&self.env))).is_err() {
                log::error!("event=work_panicked pool={}", self.name);
            }
        }
    }

    /// Waits for work.
    fn take(&self) -> W {
        let mut state = self.lock();
        loop {
            if let Some(work) = state.queue.pop_front() {
                return work;
            }
            state.idle += 1;
            state = self.ready.wait(state).unwrap_or_else(PoisonError::into_inner);
            state.idle -= 1;
        }
    }

    /// Locks the state; no code panics while it is locked.
    fn lock(&self) -> MutexGuard<'_, State<W>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
