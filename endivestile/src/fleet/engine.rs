//! The actor that runs the kernel's fleet.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::{Duration, Instant};

use endivestile_kernel::Time;
use endivestile_kernel::fleet::{
    Fleet, FleetEffect, FleetEvent, FleetSetup, JobEnd, Limits, Reason,
};
use endivestile_wire::adapter::{Adapter, CallerRequest, CallerResponse};
use stakker::{CX, StopCause, after};
use tokio::sync::{Notify, watch};

use super::inbox::{HttpCall, Inbox, Input};
use super::metrics::Metrics;
use super::open_calls::OpenCalls;
use super::records::{self, Registration};
use super::store_client::StoreClient;
use super::worker_client::WorkerClient;
use super::worker_list::SharedPoolRole;
use crate::clock::Clock;
use crate::error::Exit;
use crate::logs;
use crate::peers::Links;
use crate::run::SettingsReloader;

/// Time without a new job before a stopping host ends, in milliseconds: the load
/// balancer needs two probes to notice that the host accepts no new work.
const QUIET_MS: u64 = 400;
/// Part of the grace period after which a stopping host refuses new jobs, in
/// percent. Connections stay open and carry calls until the end, but a job that
/// arrives later might not be answered before the process is killed.
const REFUSE_AFTER_PERCENT: u64 = 40;
/// Part of the grace period after which a stopping host ends, in percent. Calls
/// that are still open are answered first, since a closed connection would not
/// show callers how their jobs ended.
const END_AFTER_PERCENT: u64 = 92;
/// Time for open connections to close and for the last responses, in milliseconds.
const CLOSE_MS: u64 = 40;

/// Everything needed to start an engine.
pub(crate) struct EngineParts {
    /// Initial state of the fleet.
    pub(crate) setup: FleetSetup,
    /// The platform adapter.
    pub(crate) adapter: &'static Adapter,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The engine's inbox.
    pub(crate) inbox: Inbox,
    /// Links to other entry hosts.
    pub(crate) links: Links,
    /// Calls to workers.
    pub(crate) workers: WorkerClient,
    /// Calls to the store.
    pub(crate) store: StoreClient,
    /// This host's registration.
    pub(crate) registration: watch::Sender<Registration>,
    /// The role of this host, which decides how often it reads the list of workers.
    pub(crate) pool_role: SharedPoolRole,
    /// Requests a read of the operators' keys.
    pub(crate) read_now: Arc<Notify>,
    /// Limits on callers, shared with the HTTP server.
    pub(crate) limits: Arc<RwLock<Limits>>,
    /// Set to `true` to close callers' connections.
    pub(crate) closing: watch::Sender<bool>,
    /// Counters, gauges and latencies.
    pub(crate) metrics: Metrics,
    /// Reloads the settings.
    pub(crate) reloader: SettingsReloader,
    /// Grace period: time from the stop signal until the process is killed, in
    /// milliseconds.
    pub(crate) grace_ms: u64,
    /// How the process ended; set when the engine stops.
    pub(crate) exit: Rc<Cell<Exit>>,
    /// When the event loop has to finish a batch although no input has arrived. It changes with
    /// nearly every batch, for which the actor runtime's timers are too expensive.
    pub(crate) wake_at: Rc<Cell<Option<Instant>>>,
}

/// The fleet with its open calls and timer.
pub(crate) struct Engine {
    fleet: Fleet,
    open_calls: OpenCalls,
    parts: EngineParts,
    effects: Vec<FleetEffect>,
    stopping: bool,
    refusing_jobs: bool,
    drained: bool,
    last_job_at: Time,
}

impl Engine {
    /// Starts the fleet.
    pub(crate) fn init(_cx: CX![], parts: EngineParts) -> Option<Self> {
        Some(Self {
            fleet: Fleet::new(parts.setup.clone()),
            open_calls: OpenCalls::new(parts.adapter),
            parts,
            effects: Vec::new(),
            stopping: false,
            refusing_jobs: false,
            drained: false,
            last_job_at: Time::ZERO,
        })
    }

    /// Handles one input.
    pub(crate) fn handle_input(&mut self, cx: CX![], input: Input) {
        let now = self.parts.clock.to_time(cx.now());
        match input {
            Input::Event(event) => {
                if let FleetEvent::Cancel(call) = &event {
                    self.open_calls.remove(*call);
                }
                self.handle_event(now, event);
            }
            Input::Call(call) => self.handle_call(now, *call),
            Input::Stop => self.handle_stop(cx, now),
            Input::Reload => self.reload_settings(),
        }
    }

    /// Finishes a batch of inputs: carries out the effects and sets the time of the next wake-up.
    pub(crate) fn finish_batch(&mut self, cx: CX![]) {
        let now = self.parts.clock.to_time(cx.now());
        self.fleet.flush(now, &mut self.effects);
        self.run_effects(cx, now);
        self.parts.wake_at.set(self.parts.clock.to_instant(self.fleet.deadline()));
    }

    fn handle_event(&mut self, now: Time, event: FleetEvent) {
        let routes_changed = matches!(event, FleetEvent::Routes(_));
        self.fleet.handle(now, event);
        if routes_changed && let Some(table) = self.fleet.route_table() {
            *self.parts.limits.write().unwrap_or_else(PoisonError::into_inner) = table.limits;
        }
    }

    /// Reloads the settings. Those that bind sockets or name the host apply at the
    /// next start; invalid settings change nothing.
    fn reload_settings(&mut self) {
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

    /// Handles a call.
    fn handle_call(&mut self, now: Time, call: HttpCall) {
        let table = self.fleet.route_table().map(AsRef::as_ref);
        let request = (self.parts.adapter.decode_call)(&call.head, &call.body, table, now);
        let answer = match request {
            CallerRequest::Submit(_) if self.refusing_jobs => {
                let reason = Reason::NoPlacer;
                log::info!("event=call_refused path={} reason=stopping", call.head.uri.path());
                CallerResponse::Ended(JobEnd::NotRun { reason, retry: now }, now)
            }
            CallerRequest::Submit(job) => {
                self.last_job_at = now;
                self.open_calls.insert(call.call, call.reply);
                self.fleet.handle(now, FleetEvent::Call { call: call.call, job: *job });
                return;
            }
            CallerRequest::Pending(route) => {
                CallerResponse::Pending(self.fleet.pending(now, &route))
            }
            CallerRequest::State(id) => CallerResponse::Running(self.fleet.find(&id).is_some()),
            CallerRequest::Cancel(id) => CallerResponse::Cancelled(self.cancel_job(now, &id)),
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
        self.open_calls.respond(call.reply, &answer);
    }

    fn cancel_job(&mut self, now: Time, id: &str) -> bool {
        let Some(call) = self.fleet.find(id) else { return false };
        self.fleet.handle(now, FleetEvent::Cancel(call));
        self.open_calls.answer(call, &CallerResponse::Ended(JobEnd::Lost(Reason::Cancelled), now));
        true
    }

    fn ready(&self) -> bool {
        !self.stopping && self.fleet.route_table().is_some()
    }

    /// Carries out all effects.
    fn run_effects(&mut self, cx: CX![], now: Time) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match effect {
                FleetEffect::Answer { call, end } => {
                    self.open_calls.answer(call, &CallerResponse::Ended(end, now));
                }
                FleetEffect::Send { address, frame } => self.parts.links.send(address, frame),
                FleetEffect::Reconnect(address) => self.parts.links.reconnect(address),
                FleetEffect::WorkerCall(call) => self.parts.workers.call(call),
                FleetEffect::StoreCall { op_id, op } => {
                    records::spawn_store_call(&self.parts.store, &self.parts.inbox, op_id, op);
                }
                FleetEffect::ReadOperatorKeys => self.parts.read_now.notify_one(),
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
                    self.close_when_quiet(cx);
                }
            }
        }
        self.effects = effects;
        self.parts.pool_role.set(self.fleet.pool_role());
    }

    /// Starts a graceful shutdown at the first signal; the second one ends the process.
    fn handle_stop(&mut self, cx: CX![], now: Time) {
        if self.stopping {
            self.end(cx, Exit::WorkLeft, "second_signal");
            return;
        }
        self.stopping = true;
        self.open_calls.close_connections();
        let share = |percent: u64| Duration::from_millis(self.parts.grace_ms * percent / 100);
        after!(share(REFUSE_AFTER_PERCENT), [cx], refuse_jobs());
        after!(share(END_AFTER_PERCENT), [cx], handle_stop_limit());
        self.handle_event(now, FleetEvent::Shutdown);
    }

    fn refuse_jobs(&mut self, _cx: CX![]) {
        self.refusing_jobs = true;
    }

    /// Answers all open calls shortly before the end of the grace period, and ends.
    fn handle_stop_limit(&mut self, cx: CX![]) {
        let now = self.parts.clock.to_time(cx.now());
        let open = self.open_calls.len();
        for call in self.open_calls.ids() {
            self.fleet.handle(now, FleetEvent::Cancel(call));
            self.open_calls
                .answer(call, &CallerResponse::Ended(JobEnd::Lost(Reason::Deadline), now));
        }
        self.finish_batch(cx);
        log::info!("event=stop_limit open_calls={open}");
        self.close_and_end(cx);
    }

    /// Ends once the fleet has drained, no call is open and no job has arrived for [`QUIET_MS`].
    fn close_when_quiet(&mut self, cx: CX![]) {
        let now = self.parts.clock.to_time(cx.now());
        if self.drained && self.open_calls.len() == 0 && self.last_job_at.after_ms(QUIET_MS) <= now
        {
            self.close_and_end(cx);
        } else {
            after!(Duration::from_millis(QUIET_MS / 8), [cx], close_when_quiet());
        }
    }

    /// Closes idle connections, and ends after [`CLOSE_MS`].
    fn close_and_end(&mut self, cx: CX![]) {
        self.refusing_jobs = true;
        self.parts.closing.send_replace(true);
        after!(Duration::from_millis(CLOSE_MS), [cx], finish());
    }

    fn finish(&mut self, cx: CX![]) {
        let exit = if self.open_calls.len() == 0 { Exit::Drained } else { Exit::WorkLeft };
        self.end(cx, exit, "drained");
    }

    fn end(&mut self, cx: CX![], exit: Exit, cause: &str) {
        log::info!("event=stopped cause={cause} open_calls={}", self.open_calls.len());
        self.parts.exit.set(exit);
        cx.shutdown(StopCause::Stopped);
    }
}
