//! Shares a listener's limits between its connections.

use std::collections::HashMap;
use std::fmt::Write;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};

use endivestile_kernel::Time;
use endivestile_kernel::intake::{ConnId, Intake, IntakeLimits, Verdict};

use super::paced_log::PacedLog;
use crate::clock::Clock;
use crate::counters::{Counters, IoMetric};

/// Connections beyond the limit that may be open for the last bytes of a refusal.
const MAX_REFUSALS: usize = 16;

/// The limits of a listener and its connections.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    /// Name of the listener, for logs and metrics.
    listener: &'static str,
    clock: Clock,
    counters: Counters,
    state: Mutex<State>,
    /// Connections whose answers have not been written yet.
    unanswered: AtomicUsize,
    refusals: AtomicUsize,
}

#[derive(Debug)]
struct State {
    intake: Intake,
    signals: HashMap<ConnId, Arc<CloseSignal>>,
    log: PacedLog,
}

impl Gate {
    /// Creates the gate of a listener.
    pub(crate) fn new(
        listener: &'static str,
        limits: IntakeLimits,
        clock: Clock,
        counters: Counters,
    ) -> Self {
        let IntakeLimits { connections, pool_bytes } = limits;
        log::info!(
            "event=intake_limits listener={listener} connections={connections} \
             pool_bytes={pool_bytes}"
        );
        let state = State {
            intake: Intake::new(limits),
            signals: HashMap::new(),
            log: PacedLog::default(),
        };
        let shared = Shared {
            listener,
            clock,
            counters,
            state: Mutex::new(state),
            unanswered: AtomicUsize::new(0),
            refusals: AtomicUsize::new(0),
        };
        Self { shared: Arc::new(shared) }
    }

    /// Admits a new connection, or returns `None` if all others are owed an answer.
    pub(crate) fn open(&self) -> Option<Slot> {
        let now = self.now();
        let mut state = self.lock();
        let opened = state.intake.open(now);
        self.close_others(&mut state, now, "connections");
        let Some(id) = opened else {
            self.count(&mut state, IoMetric::ConnectionsRefused, now, "connections");
            return None;
        };
        let signal = Arc::new(CloseSignal::default());
        state.signals.insert(id, Arc::clone(&signal));
        drop(state);
        Some(Slot { gate: self.clone(), id, signal, answering: AtomicBool::new(false) })
    }

    /// Admits the refusal of a connection, or returns `None` if too many are in progress.
    pub(crate) fn begin_refusal(&self) -> Option<Refusal> {
        let refusal = Refusal { gate: self.clone() };
        let before = self.shared.refusals.fetch_add(1, Ordering::Relaxed);
        (before < MAX_REFUSALS).then_some(refusal)
    }

    /// Counts a request that was not received in time.
    pub(crate) fn count_late(&self, step: &'static str) {
        let now = self.now();
        self.count(&mut self.lock(), IoMetric::RequestsLate, now, step);
    }

    /// Counts a connection that could not be accepted.
    pub(crate) fn count_accept_failure(&self, error: &io::Error) {
        self.shared.counters.count_io(IoMetric::AcceptsFailed, 1);
        let due = self.lock().log.admit(IoMetric::AcceptsFailed, "accept", self.now());
        if let Some(count) = due {
            let (listener, error) = (self.shared.listener, error.to_string());
            log::warn!(
                "event=accept_failed listener={listener} step=accept count={count} error={error:?}"
            );
        }
    }

    /// Returns the number of connections whose answers have not been written yet.
    pub(crate) fn unanswered(&self) -> usize {
        self.shared.unanswered.load(Ordering::Relaxed)
    }

    /// Writes what the connections hold, one value per line.
    pub(crate) fn write_page(&self, text: &mut String) {
        let listener = self.shared.listener;
        let state = self.lock();
        let (open, used) = (state.intake.connections(), state.intake.pool_used());
        let _ = writeln!(text, "endivestile_intake_connections{{listener=\"{listener}\"}} {open}");
        let _ = writeln!(text, "endivestile_intake_pool_bytes{{listener=\"{listener}\"}} {used}");
    }

    /// Returns the number of connections and the bytes that they take from the pool.
    pub(crate) fn held(&self) -> (usize, usize) {
        let state = self.lock();
        (state.intake.connections(), state.intake.pool_used())
    }

    /// Signals the connections that the intake has closed.
    fn close_others(&self, state: &mut State, now: Time, reason: &'static str) {
        for id in state.intake.take_closed() {
            if let Some(signal) = state.signals.remove(&id) {
                signal.close();
            }
            self.count(state, IoMetric::ConnectionsClosed, now, reason);
        }
    }

    /// Counts an event and logs it, unless a line with the same reason was logged just before.
    fn count(&self, state: &mut State, metric: IoMetric, now: Time, reason: &'static str) {
        self.shared.counters.count_io(metric, 1);
        if let Some(count) = state.log.admit(metric, reason, now) {
            let (open, used) = (state.intake.connections(), state.intake.pool_used());
            log::warn!(
                "event={} listener={} reason={reason} count={count} connections={open} \
                 pool_bytes={used}",
                event_name(metric),
                self.shared.listener
            );
        }
    }

    fn now(&self) -> Time {
        self.shared.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn event_name(metric: IoMetric) -> &'static str {
    match metric {
        IoMetric::ConnectionsClosed => "connections_closed",
        IoMetric::ConnectionsRefused => "connections_refused",
        IoMetric::BodiesRefused => "bodies_refused",
        _ => "requests_late",
    }
}

/// A refusal in progress.
#[derive(Debug)]
pub(crate) struct Refusal {
    gate: Gate,
}

impl Drop for Refusal {
    fn drop(&mut self) {
        self.gate.shared.refusals.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The place of one connection. Dropping it frees the place.
#[derive(Debug)]
pub(crate) struct Slot {
    gate: Gate,
    id: ConnId,
    signal: Arc<CloseSignal>,
    /// Whether an answer is owed or has not been written yet.
    answering: AtomicBool,
}

impl Slot {
    /// Records that the client has sent something.
    pub(crate) fn touch(&self) {
        let now = self.gate.now();
        self.gate.lock().intake.touch(self.id, now);
    }

    /// Records that the client has sent something, and that an incomplete request now holds
    /// `held` bytes.
    pub(crate) fn receive(&self, held: usize) -> Verdict {
        let now = self.gate.now();
        let mut state = self.gate.lock();
        let verdict = state.intake.receive(self.id, held, now);
        self.gate.close_others(&mut state, now, "memory");
        if verdict == Verdict::Refuse {
            self.gate.count(&mut state, IoMetric::BodiesRefused, now, "memory");
        }
        verdict
    }

    /// Records that the request is complete. Returns `false` if the connection has been closed,
    /// in which case the request must not be served.
    pub(crate) fn complete(&self) -> bool {
        let admitted = self.gate.lock().intake.complete(self.id) == Verdict::Admit;
        if admitted && !self.answering.swap(true, Ordering::Relaxed) {
            self.gate.shared.unanswered.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// Records that an answer of `held` bytes waits for its client.
    pub(crate) fn answer(&self, held: usize) {
        let now = self.gate.now();
        self.gate.lock().intake.answer(self.id, held, now);
    }

    /// Records that the answer has been written.
    pub(crate) fn finish_answer(&self) {
        if self.answering.swap(false, Ordering::Relaxed) {
            self.gate.shared.unanswered.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Waits until the connection has to close in favour of others.
    pub(crate) async fn closed(&self) {
        std::future::poll_fn(|cx| self.signal.poll(cx)).await
    }

    /// Polls whether the connection has to close in favour of others.
    pub(crate) fn poll_closed(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.signal.poll(cx)
    }

    /// Returns the gate of the listener.
    pub(crate) fn gate(&self) -> &Gate {
        &self.gate
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.finish_answer();
        let mut state = self.gate.lock();
        state.intake.end(self.id);
        state.signals.remove(&self.id);
    }
}

/// Tells a connection's task to close the connection.
#[derive(Debug, Default)]
struct CloseSignal {
    closed: AtomicBool,
    waker: Mutex<Option<Waker>>,
}

impl CloseSignal {
    fn close(&self) {
        self.closed.store(true, Ordering::Release);
        let waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn poll(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut waker = self.waker.lock().unwrap_or_else(PoisonError::into_inner);
        if self.closed.load(Ordering::Acquire) {
            return Poll::Ready(());
        }
        *waker = Some(cx.waker().clone());
        Poll::Pending
    }
}
