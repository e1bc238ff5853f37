//! The actor that runs the kernel.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use endivestile_kernel::{Answer, CallId, Effect, Event, Kernel, Setup, Time};
use stakker::{CX, FixedTimerKey, StopCause, after, at};
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::config_checker::CurrentConfig;
use crate::effects::EffectHandlers;
use crate::error::Exit;
use crate::http::{Call, Operation, Reply, ReplyFormat};
use crate::inbox::Input;
use crate::status;

/// Time without a call after draining before the process ends, in milliseconds.
///
/// The load balancer needs a moment to notice that the host accepts no new
/// work; ending earlier would cut off calls that still arrive.
const QUIET_MS: u64 = 500;
/// Longest wait for such a quiet period, in milliseconds. Callers that keep
/// calling a stopping host have been refused all that time.
const MAX_QUIET_WAIT_MS: u64 = 5_000;
/// Consecutive kernel ticks before the engine returns to its inputs.
const MAX_TICKS: usize = 64;

/// A call that waits for its answer.
#[derive(Debug)]
struct OpenCall {
    /// Sends the reply.
    reply: oneshot::Sender<Reply>,
    /// Number of fresh ids to return with the reply.
    ids: usize,
    /// Format of the answer.
    reply_format: ReplyFormat,
}

/// Everything needed to start an engine.
#[derive(Debug)]
pub(crate) struct EngineParts {
    /// Initial state of the kernel.
    pub(crate) setup: Setup,
    /// I/O modules that carry out effects.
    pub(crate) handlers: EffectHandlers,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The current configuration.
    pub(crate) current_config: CurrentConfig,
    /// Longest graceful shutdown, in seconds.
    pub(crate) stop_limit_s: u64,
    /// How the process ended; set when the engine stops.
    pub(crate) exit: Rc<Cell<Exit>>,
}

/// The kernel with its open calls and timer.
#[derive(Debug)]
pub(crate) struct Engine {
    /// The kernel, which makes all decisions.
    kernel: Kernel,
    /// I/O modules that carry out effects.
    handlers: EffectHandlers,
    /// The process's clock.
    clock: Clock,
    /// The current configuration.
    current_config: CurrentConfig,
    /// Calls that wait for their answer.
    calls: HashMap<CallId, OpenCall>,
    /// Id of the next call.
    next_call: u64,
    /// Effects not yet carried out.
    effects: Vec<Effect>,
    /// The kernel's next deadline, and the timer set for it.
    timer: Option<(Time, FixedTimerKey)>,
    /// Longest graceful shutdown, in seconds.
    stop_limit_s: u64,
    /// Whether the process was asked to stop.
    stopping: bool,
    /// Latest end of the wait for a quiet period, once the kernel has drained.
    quiet_limit: Option<Time>,
    /// Arrival time of the last submission or query.
    last_call_at: Time,
    /// How the process ended; set when the engine stops.
    exit: Rc<Cell<Exit>>,
}

impl Engine {
    /// Starts the kernel.
    pub(crate) fn init(_cx: CX![], parts: EngineParts) -> Option<Self> {
        Some(Self {
            kernel: Kernel::new(parts.setup),
            handlers: parts.handlers,
            clock: parts.clock,
            current_config: parts.current_config,
            calls: HashMap::new(),
            next_call: 0,
            effects: Vec::new(),
            timer: None,
            stop_limit_s: parts.stop_limit_s,
            stopping: false,
            quiet_limit: None,
            last_call_at: Time::ZERO,
            exit: parts.exit,
        })
    }

    /// Handles one input.
    pub(crate) fn handle_input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Event(event) => self.handle_event(cx, event),
            Input::Call(call) => self.handle_call(cx, *call),
            Input::Stop => self.handle_stop(cx),
        }
    }

    /// Finishes a batch of inputs: ticks the kernel while its deadline has passed,
    /// carries out the effects and sets the timer for the next deadline.
    pub(crate) fn finish_batch(&mut self, cx: CX![]) {
        let now = self.clock.to_time(cx.now());
        self.kernel.flush(now, &mut self.effects);
        for _ in 0..MAX_TICKS {
            if self.kernel.deadline().is_none_or(|deadline| deadline > now) {
                break;
            }
            self.kernel.handle(now, Event::Tick, &mut self.effects);
            self.kernel.flush(now, &mut self.effects);
        }
        self.run_effects(cx);
        self.set_timer(cx);
    }

    /// Passes an event to the kernel.
    fn handle_event(&mut self, cx: CX![], event: Event) {
        let now = self.clock.to_time(cx.now());
        if let Event::Config { config, .. } = &event {
            // The kernel applies the same rule: only a higher revision is adopted.
            self.current_config.update_if_newer(config);
        }
        self.kernel.handle(now, event, &mut self.effects);
    }

    /// Handles a call.
    fn handle_call(&mut self, cx: CX![], call: Call) {
        let Call { reply, ids, operation } = call;
        match operation {
            Operation::Submit(submission, reply_format) => {
                let call = self.open_call(cx, OpenCall { reply, ids, reply_format });
                self.handle_event(cx, Event::Submitted { call, submission });
            }
            Operation::Ask(id, ask) => {
                let cancel = ask == endivestile_kernel::Ask::Cancel;
                let reply_format = if cancel { ReplyFormat::Cancel } else { ReplyFormat::Json };
                let call = self.open_call(cx, OpenCall { reply, ids, reply_format });
                self.handle_event(cx, Event::Ask { call, id, ask });
            }
            Operation::MintIds(count) => {
                let minted = self.kernel.mint(self.clock.to_time(cx.now()), count);
                let texts: Vec<&str> = minted.iter().map(|id| id.text().as_ref()).collect();
                let body = serde_json::json!({ "ids": texts }).to_string();
                self.send_reply(reply, ids, Reply::json(200, body));
            }
            Operation::Ready => {
                let ready = self.kernel.ready() && !self.stopping;
                let text = if ready { (200, "ready\n") } else { (503, "not ready\n") };
                self.send_reply(reply, ids, Reply::plain_text(text.0, text.1));
            }
            Operation::Status => {
                let counters = &self.handlers.counters;
                let page = status::status_json(
                    &self.kernel,
                    self.clock,
                    counters,
                    &self.handlers.callers,
                    self.calls.len(),
                );
                self.send_reply(reply, ids, Reply::json(200, page));
            }
            Operation::ReplyWithIds(text) => self.send_reply(reply, ids, text),
        }
    }

    /// Registers a call that waits for its answer.
    fn open_call(&mut self, cx: CX![], open: OpenCall) -> CallId {
        self.last_call_at = self.clock.to_time(cx.now());
        let call = CallId(self.next_call);
        self.next_call += 1;
        self.calls.insert(call, open);
        call
    }

    /// Sends a reply, with fresh ids if the caller asked for them.
    fn send_reply(&mut self, reply: oneshot::Sender<Reply>, ids: usize, text: Reply) {
        let now = self.clock.now();
        let text = if ids == 0 { text } else { text.with_ids(&self.kernel.mint(now, ids)) };
        // Fails if the caller has disconnected. It can still fetch the answer later.
        let _ = reply.send(text);
    }

    /// Carries out all effects.
    fn run_effects(&mut self, cx: CX![]) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match self.handlers.execute(effect) {
                Some(Effect::Answer { call, answer }) => self.answer_call(cx, call, &answer),
                Some(Effect::Drained) => self.handle_drained(cx),
                _ => {}
            }
        }
        self.effects = effects;
    }

    /// Answers an open call. A second answer to the same call is dropped.
    fn answer_call(&mut self, cx: CX![], call: CallId, answer: &Answer) {
        let Some(open) = self.calls.remove(&call) else { return };
        let reply = Reply::from_answer(answer, open.reply_format, self.clock.to_time(cx.now()));
        self.send_reply(open.reply, open.ids, reply);
    }

    /// Sets the timer for the kernel's next deadline.
    fn set_timer(&mut self, cx: CX![]) {
        let deadline = self.kernel.deadline();
        if self.timer.as_ref().map(|(time, _)| *time) == deadline {
            return;
        }
        if let Some((_, key)) = self.timer.take() {
            cx.timer_del(key);
        }
        let instant = deadline.and_then(|time| self.clock.to_instant(time));
        if let (Some(time), Some(instant)) = (deadline, instant) {
            self.timer = Some((time, at!(instant, [cx], handle_timer(time))));
        }
    }

    /// Handles the kernel's timer.
    ///
    /// A batch of inputs in the same run of the event loop may already have set the next timer.
    /// Dropping that one here would leave it set in addition to its replacement, and duplicates
    /// would add up for as long as the process lives.
    fn handle_timer(&mut self, cx: CX![], due: Time) {
        if self.timer.as_ref().is_some_and(|(time, _)| *time != due) {
            return;
        }
        self.timer = None;
        self.finish_batch(cx);
    }

    /// Starts a graceful shutdown at the first signal; the second one ends the process.
    fn handle_stop(&mut self, cx: CX![]) {
        if self.stopping {
            self.end_with_work_left(cx, "second_signal");
            return;
        }
        self.stopping = true;
        log::info!("event=signal open_calls={}", self.calls.len());
        after!(Duration::from_secs(self.stop_limit_s), [cx], handle_stop_limit());
        self.handle_event(cx, Event::Shutdown);
    }

    /// Ends a graceful shutdown that took too long; one that only waits for a quiet
    /// period counts as drained.
    fn handle_stop_limit(&mut self, cx: CX![]) {
        if self.quiet_limit.is_some() && self.calls.is_empty() {
            log::info!("event=drained");
            self.end(cx, Exit::Drained);
        } else {
            self.end_with_work_left(cx, "stop_limit");
        }
    }

    /// Ends with work left, and logs how much.
    fn end_with_work_left(&mut self, cx: CX![], cause: &str) {
        let open = self.calls.len();
        let running = self.handlers.backends.open_calls();
        log::warn!("event=left cause={cause} open_calls={open} backend_calls={running}");
        self.end(cx, Exit::WorkLeft);
    }

    /// Starts the wait for a quiet period once the kernel has drained.
    fn handle_drained(&mut self, cx: CX![]) {
        if self.quiet_limit.is_none() {
            self.quiet_limit = Some(self.clock.to_time(cx.now()).after_ms(MAX_QUIET_WAIT_MS));
            self.end_when_quiet(cx);
        }
    }

    /// Ends once there was no call for [`QUIET_MS`] and all replies are written.
    fn end_when_quiet(&mut self, cx: CX![]) {
        let now = self.clock.to_time(cx.now());
        let limit = self.quiet_limit.unwrap_or(now);
        let quiet_at = self.last_call_at.after_ms(QUIET_MS).min(limit);
        // A caller that does not read its answer must not hold up the end for longer.
        let written = self.handlers.callers.unanswered() == 0 || limit <= now;
        if quiet_at <= now && self.calls.is_empty() && written {
            log::info!("event=drained");
            self.end(cx, Exit::Drained);
        } else {
            after!(Duration::from_millis(QUIET_MS / 10), [cx], end_when_quiet());
        }
    }

    /// Ends the event loop.
    fn end(&mut self, cx: CX![], exit: Exit) {
        self.exit.set(exit);
        cx.shutdown(StopCause::Stopped);
    }
}
