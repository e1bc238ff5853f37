//! The actor that holds the fleet.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use endivestile_kernel::Time;
use endivestile_kernel::fleet::{
    Fleet, FleetEffect, FleetEvent, FleetSetup, JobEnd, Limits, Reason,
};
use endivestile_wire::adapter::{Adapter, CallerRequest, CallerResponse};
use stakker::{CX, FixedTimerKey, StopCause, after, at};
use tokio::sync::watch;

use super::inbox::{HttpCall, Inbox, Input};
use super::metrics::Metrics;
use super::open_calls::OpenCalls;
use super::records::{self, Registration};
use super::store_client::StoreClient;
use super::worker_client::WorkerClient;
use super::worker_list::SharedListRole;
use crate::clock::Clock;
use crate::error::Exit;
use crate::logs;
use crate::peers::Links;
use crate::run::SettingsReloader;

/// Time without a call that a stopping host waits for, in milliseconds: the
/// balancer needs two probes to see that it takes nothing new.
const QUIET_MS: u64 = 400;
/// Part of the time until it is killed after which a stopping host refuses new
/// calls, in percent. Connections stay open and carry calls until the end; one
/// that came later might not be answered before the process is killed.
const REFUSE_PART: u64 = 40;
/// Part of that time in which it has to end, in percent; what is still open
/// then is told so, since a closed connection tells its caller nothing.
const GRACE_PART: u64 = 92;
/// Time for open connections to close and for last answers, in milliseconds.
const CLOSE_MS: u64 = 40;

/// What an engine is made of.
pub(crate) struct EngineParts {
    /// How the fleet starts.
    pub(crate) setup: FleetSetup,
    /// The translation.
    pub(crate) adapter: &'static Adapter,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The engine's own channel.
    pub(crate) inbox: Inbox,
    /// Links to peers.
    pub(crate) links: Links,
    /// Calls to workers.
    pub(crate) workers: WorkerClient,
    /// Calls to the store.
    pub(crate) store: StoreClient,
    /// This host's registration.
    pub(crate) registration: watch::Sender<Registration>,
    /// How often the list of workers is needed.
    pub(crate) list_role: SharedListRole,
    /// Limits on callers.
    pub(crate) limits: Arc<RwLock<Limits>>,
    /// Set to close callers' connections.
    pub(crate) closing: watch::Sender<bool>,
    /// Counts and latencies.
    pub(crate) metrics: Metrics,
    /// Reads the settings again.
    pub(crate) reloader: SettingsReloader,
    /// Time from the signal to stop until the process is killed, in milliseconds.
    pub(crate) grace_ms: u64,
    /// Where the way the process ends is left.
    pub(crate) exit: Rc<Cell<Exit>>,
}

/// The fleet with its open calls and timer.
pub(crate) struct Engine {
    fleet: Fleet,
    waiting: OpenCalls,
    parts: EngineParts,
    effects: Vec<FleetEffect>,
    timer: Option<(Time, FixedTimerKey)>,
    stopping: bool,
    refusing: bool,
    drained: bool,
    called: Time,
}

impl Engine {
    /// Starts the fleet.
    pub(crate) fn init(_cx: CX![], parts: EngineParts) -> Option<Self> {
        Some(Self {
            fleet: Fleet::new(parts.setup.clone()),
            waiting: OpenCalls::new(parts.adapter),
            parts,
            effects: Vec::new(),
            timer: None,
            stopping: false,
            refusing: false,
            drained: false,
            called: Time::ZERO,
        })
    }

    /// Takes one input.
    pub(crate) fn handle_input(&mut self, cx: CX![], input: Input) {
        let now = self.parts.clock.to_time(cx.now());
        match input {
            Input::Event(event) => {
                if let FleetEvent::Cancel(call) = &event {
                    self.waiting.remove(*call);
                }
                self.event(now, event);
            }
            Input::Call(call) => self.call(now, *call),
            Input::Stop => self.stop(cx, now),
            Input::Reload => self.reload(),
        }
    }

    /// Ends a batch of inputs.
    pub(crate) fn finish_batch(&mut self, cx: CX![]) {
        let now = self.parts.clock.to_time(cx.now());
        self.fleet.flush(now, &mut self.effects);
        self.carry(cx, now);
        self.arm(cx);
    }

    fn event(&mut self, now: Time, event: FleetEvent) {
        let table = matches!(event, FleetEvent::Routes(_));
        self.fleet.handle(now, event);
        if table && let Some(table) = self.fleet.route_table() {
            *self.parts.limits.write().unwrap_or_else(PoisonError::into_inner) = table.limits;
        }
    }

    /// Reads the settings again. What binds sockets or names the host stays as
    /// it is until the next start; settings that are refused change nothing.
    fn reload(&mut self) {
        match self.parts.reloader.reload() {
            Ok(settings) => {
                self.parts.grace_ms = settings.platform.grace_ms;
                let (worker, host) =
                    (settings.platform.worker_lease_ms(), settings.platform.host_lease_ms());
                self.fleet.set_leases(worker, host);
                log::info!("event=reload outcome=applied worker_lease={worker} host_lease={host}");
            }
            Err(e) => log::error!("event=reload outcome=refused {e}"),
        }
    }

    /// Serves a caller.
    fn call(&mut self, now: Time, call: HttpCall) {
        let table = self.fleet.route_table().map(AsRef::as_ref);
        let demand = (self.parts.adapter.decode_call)(&call.head, &call.body, table, now);
        let say = match demand {
            CallerRequest::Submit(_) if self.refusing => {
                let reason = Reason::NoPlacer;
                log::info!("event=call_refused path={} reason=stopping", call.head.uri.path());
                CallerResponse::Ended(JobEnd::NotRun { reason, retry: now }, now)
            }
            CallerRequest::Submit(job) => {
                self.called = now;
                self.waiting.insert(call.call, call.reply);
                self.fleet.handle(now, FleetEvent::Call { call: call.call, job: *job });
                return;
            }
            CallerRequest::Pending(route) => {
                CallerResponse::Pending(self.fleet.pending(now, &route))
            }
            CallerRequest::State(id) => CallerResponse::Running(self.fleet.find(&id).is_some()),
            CallerRequest::Cancel(id) => CallerResponse::Cancelled(self.cancel(now, &id)),
            CallerRequest::Ready => CallerResponse::Ready(self.ready()),
            CallerRequest::Refuse(refused) => {
                log::info!(
                    "event=call_refused path={} status={} reason={:?}",
                    call.head.uri.path(),
                    refused.status.as_u16(),
                    refused.reason
                );
                CallerResponse::Refused(refused)
            }
        };
        self.waiting.respond(call.reply, &say);
    }

    fn cancel(&mut self, now: Time, id: &str) -> bool {
        let Some(call) = self.fleet.find(id) else { return false };
        self.fleet.handle(now, FleetEvent::Cancel(call));
        self.waiting.answer(call, &CallerResponse::Ended(JobEnd::Lost(Reason::Cancelled), now));
        true
    }

    fn ready(&self) -> bool {
        !self.stopping && self.fleet.route_table().is_some()
    }

    /// Carries out all effects.
    fn carry(&mut self, cx: CX![], now: Time) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                FleetEffect::Answer { call, end } => {
                    self.waiting.answer(call, &CallerResponse::Ended(end, now));
                }
                FleetEffect::Send { address, frame } => self.parts.links.send(address, frame),
                FleetEffect::Reconnect(address) => self.parts.links.redial(address),
                FleetEffect::WorkerCall(call) => self.parts.workers.call(call),
                FleetEffect::StoreCall { op_id: token, op } => {
                    records::spawn_store_call(&self.parts.store, &self.parts.inbox, token, op);
                }
                FleetEffect::RegisterLeaving => {
                    self.parts.registration.send_modify(|registration| {
                        registration.entry.leaving = true;
                        registration.stored =
                            registration.stored.map(|(revision, _)| (revision, false));
                    })
                }
                FleetEffect::Log(note) => logs::log_note(&note),
                FleetEffect::Count(count) => self.parts.metrics.count(count),
                FleetEffect::Time(span, took) => self.parts.metrics.record_span(span, took),
                FleetEffect::Gauge(gauge, value) => self.parts.metrics.set_gauge(gauge, value),
                FleetEffect::Drained => {
                    self.drained = true;
                    self.linger(cx);
                }
            }
        }
        self.effects = effects;
        self.parts.list_role.set(self.fleet.pool_role());
    }

    /// Sets the timer for the fleet's next deadline.
    fn arm(&mut self, cx: CX![]) {
        let deadline = self.fleet.deadline();
        if self.timer.as_ref().is_some_and(|(time, _)| *time == deadline) {
            return;
        }
        if let Some((_, key)) = self.timer.take() {
            cx.timer_del(key);
        }
        if let Some(instant) = self.parts.clock.to_instant(deadline) {
            self.timer = Some((deadline, at!(instant, [cx], tick())));
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.timer = None;
        self.finish_batch(cx);
    }

    /// Stops gracefully at the first signal, at once at the second.
    fn stop(&mut self, cx: CX![], now: Time) {
        if self.stopping {
            self.end(cx, Exit::WorkLeft, "second_signal");
            return;
        }
        self.stopping = true;
        self.waiting.close_connections();
        let part = |percent: u64| Duration::from_millis(self.parts.grace_ms * percent / 100);
        after!(part(REFUSE_PART), [cx], refuse());
        after!(part(GRACE_PART), [cx], limit());
        self.event(now, FleetEvent::Shutdown);
    }

    fn refuse(&mut self, _cx: CX![]) {
        self.refusing = true;
    }

    /// The time to stop is nearly over: tells everybody who still waits.
    fn limit(&mut self, cx: CX![]) {
        let now = self.parts.clock.to_time(cx.now());
        let open = self.waiting.len();
        for call in self.waiting.ids() {
            self.fleet.handle(now, FleetEvent::Cancel(call));
            self.waiting.answer(call, &CallerResponse::Ended(JobEnd::Lost(Reason::Deadline), now));
        }
        self.finish_batch(cx);
        log::info!("event=stop_limit open_calls={open}");
        self.close(cx);
    }

    /// Closes up once no caller has called for a while.
    fn linger(&mut self, cx: CX![]) {
        let now = self.parts.clock.to_time(cx.now());
        if self.drained && self.waiting.len() == 0 && self.called.after_ms(QUIET_MS) <= now {
            self.close(cx);
        } else {
            after!(Duration::from_millis(QUIET_MS / 8), [cx], linger());
        }
    }

    /// Closes the connections that nobody uses, and ends shortly after.
    fn close(&mut self, cx: CX![]) {
        self.refusing = true;
        self.parts.closing.send_replace(true);
        after!(Duration::from_millis(CLOSE_MS), [cx], finish());
    }

    fn finish(&mut self, cx: CX![]) {
        let exit = if self.waiting.len() == 0 { Exit::Drained } else { Exit::WorkLeft };
        self.end(cx, exit, "drained");
    }

    fn end(&mut self, cx: CX![], exit: Exit, cause: &str) {
        log::info!("event=stopped cause={cause} open_calls={}", self.waiting.len());
        self.parts.exit.set(exit);
        cx.shutdown(StopCause::Stopped);
    }
}
