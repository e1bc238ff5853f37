//! The actor that holds the kernel.

use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use endivestile_kernel::{Answer, CallId, Effect, Event, Kernel, Setup, Time};
use stakker::{CX, FixedTimerKey, StopCause, after, at};
use tiny_http::Request;

use crate::clock::Clock;
use crate::config_checker::CurrentConfig;
use crate::effects::EffectHandlers;
use crate::error::Exit;
use crate::http::{Call, Demand, Reply, Say, Shape};
use crate::inbox::Input;
use crate::status;

/// Pause after draining in which no caller may have called, in milliseconds.
///
/// The balancer needs a moment to see that the host takes no new work. A
/// process that ended before would cut off the calls that still come in.
const QUIET_MS: u64 = 500;
/// Longest wait for that pause, in milliseconds: callers that never stop
/// calling a stopping host have been refused all that time.
const LINGER_MS: u64 = 5_000;
/// Ticks in a row after which the engine looks at its inputs again.
const TICKS: usize = 64;

/// A caller that waits.
#[derive(Debug)]
struct Open {
    /// The request, which carries the way back.
    request: Request,
    /// Minted ids that the caller wants.
    ids: usize,
    /// How the answer is written.
    shape: Shape,
}

/// What an engine is made of.
#[derive(Debug)]
pub(crate) struct EngineParts {
    /// How the kernel starts.
    pub(crate) setup: Setup,
    /// The ways out.
    pub(crate) handlers: EffectHandlers,
    /// The process's clock.
    pub(crate) clock: Clock,
    /// The configuration in force.
    pub(crate) adopted: CurrentConfig,
    /// Longest graceful shutdown, in seconds.
    pub(crate) stop_limit_s: u64,
    /// Where the way the process ends is left.
    pub(crate) exit: Rc<Cell<Exit>>,
}

/// The kernel with its open calls and timer.
#[derive(Debug)]
pub(crate) struct Engine {
    /// All decisions.
    kernel: Kernel,
    /// The ways out.
    handlers: EffectHandlers,
    /// The process's clock.
    clock: Clock,
    /// The configuration in force.
    adopted: CurrentConfig,
    /// Callers that wait.
    calls: HashMap<CallId, Open>,
    /// Number of the next call.
    serial: u64,
    /// Effects not yet carried out.
    effects: Vec<Effect>,
    /// The kernel's deadline, and the timer set for it.
    timer: Option<(Time, FixedTimerKey)>,
    /// Longest graceful shutdown, in seconds.
    stop_limit_s: u64,
    /// Whether the process was asked to stop.
    stopping: bool,
    /// When the process ends at the latest, once the kernel has drained.
    drained: Option<Time>,
    /// When a caller last called.
    called: Time,
    /// Where the way the process ends is left.
    exit: Rc<Cell<Exit>>,
}

impl Engine {
    /// Starts the kernel.
    pub(crate) fn init(_cx: CX![], parts: EngineParts) -> Option<Self> {
        Some(Self {
            kernel: Kernel::new(parts.setup),
            handlers: parts.handlers,
            clock: parts.clock,
            adopted: parts.adopted,
            calls: HashMap::new(),
            serial: 0,
            effects: Vec::new(),
            timer: None,
            stop_limit_s: parts.stop_limit_s,
            stopping: false,
            drained: None,
            called: Time::ZERO,
            exit: parts.exit,
        })
    }

    /// Takes one input.
    pub(crate) fn handle_input(&mut self, cx: CX![], input: Input) {
        match input {
            Input::Event(event) => self.event(cx, event),
            Input::Call(call) => self.call(cx, *call),
            Input::Stop => self.signal(cx),
        }
    }

    /// Ends a batch of inputs: lets the kernel do what is due, carries out the
    /// effects and sets the timer for the kernel's next deadline.
    pub(crate) fn finish_batch(&mut self, cx: CX![]) {
        let now = self.clock.to_time(cx.now());
        self.kernel.flush(now, &mut self.effects);
        for _ in 0..TICKS {
            if self.kernel.deadline().is_none_or(|deadline| deadline > now) {
                break;
            }
            self.kernel.handle(now, Event::Tick, &mut self.effects);
            self.kernel.flush(now, &mut self.effects);
        }
        self.carry(cx);
        self.arm(cx);
    }

    /// Hands an event to the kernel.
    fn event(&mut self, cx: CX![], event: Event) {
        let now = self.clock.to_time(cx.now());
        if let Event::Config { config, .. } = &event {
            // The kernel adopts by the same rule: only a higher revision.
            self.adopted.update_if_newer(config);
        }
        self.kernel.handle(now, event, &mut self.effects);
    }

    /// Serves a caller.
    fn call(&mut self, cx: CX![], call: Call) {
        let Call { request, ids, demand } = call;
        match demand {
            Demand::Submit(submission, shape) => {
                let call = self.open(cx, Open { request, ids, shape });
                self.event(cx, Event::Submitted { call, submission });
            }
            Demand::Ask(id, ask) => {
                let cancel = ask == endivestile_kernel::Ask::Cancel;
                let shape = if cancel { Shape::Cancel } else { Shape::Json };
                let call = self.open(cx, Open { request, ids, shape });
                self.event(cx, Event::Ask { call, id, ask });
            }
            Demand::Mint(count) => {
                let minted = self.kernel.mint(self.clock.to_time(cx.now()), count);
                let texts: Vec<&str> = minted.iter().map(|id| id.text().as_ref()).collect();
                let body = serde_json::json!({ "ids": texts }).to_string();
                self.say(request, ids, Reply::json(200, body));
            }
            Demand::Ready => {
                let ready = self.kernel.ready() && !self.stopping;
                let reply = if ready { (200, "ready\n") } else { (503, "not ready\n") };
                self.say(request, ids, Reply::probe(reply.0, reply.1));
            }
            Demand::Status => {
                let counters = &self.handlers.counters;
                let page =
                    status::status_json(&self.kernel, self.clock, counters, self.calls.len());
                self.say(request, ids, Reply::json(200, page));
            }
            Demand::Reply(reply) => self.say(request, ids, reply),
        }
    }

    /// Remembers a caller until its answer comes.
    fn open(&mut self, cx: CX![], open: Open) -> CallId {
        self.called = self.clock.to_time(cx.now());
        let call = CallId(self.serial);
        self.serial += 1;
        self.calls.insert(call, open);
        call
    }

    /// Answers a caller.
    fn say(&mut self, request: Request, ids: usize, reply: Reply) {
        let now = self.clock.now();
        let reply = if ids == 0 { reply } else { reply.with_ids(&self.kernel.mint(now, ids)) };
        self.handlers.replies.push(Say { request, reply });
    }

    /// Carries out all effects.
    fn carry(&mut self, cx: CX![]) {
        let mut effects = std::mem::take(&mut self.effects);
        for effect in effects.drain(..) {
            match self.handlers.execute(effect) {
                Some(Effect::Answer { call, answer }) => self.answer(cx, call, &answer),
                Some(Effect::Drained) => self.drained(cx),
                _ => {}
            }
        }
        self.effects = effects;
    }

    /// Answers the caller of a call; a second answer to one call finds nobody.
    fn answer(&mut self, cx: CX![], call: CallId, answer: &Answer) {
        let Some(open) = self.calls.remove(&call) else { return };
        let reply = Reply::answer(answer, open.shape, self.clock.to_time(cx.now()));
        self.say(open.request, open.ids, reply);
    }

    /// Sets the timer for the kernel's next deadline.
    fn arm(&mut self, cx: CX![]) {
        let deadline = self.kernel.deadline();
        if self.timer.as_ref().map(|(time, _)| *time) == deadline {
            return;
        }
        if let Some((_, key)) = self.timer.take() {
            cx.timer_del(key);
        }
        let instant = deadline.and_then(|time| self.clock.to_instant(time));
        if let (Some(time), Some(instant)) = (deadline, instant) {
            self.timer = Some((time, at!(instant, [cx], tick())));
        }
    }

    /// The timer ran out.
    fn tick(&mut self, cx: CX![]) {
        self.timer = None;
        self.finish_batch(cx);
    }

    /// Stops gracefully at the first signal, at once at the second.
    fn signal(&mut self, cx: CX![]) {
        if self.stopping {
            self.leave(cx, "second_signal");
            return;
        }
        self.stopping = true;
        log::info!("event=signal open_calls={}", self.calls.len());
        after!(Duration::from_secs(self.stop_limit_s), [cx], limit());
        self.event(cx, Event::Shutdown);
    }

    /// The graceful shutdown took too long, unless it only waited for quiet.
    fn limit(&mut self, cx: CX![]) {
        if self.drained.is_some() && self.calls.is_empty() {
            log::info!("event=drained");
            self.end(cx, Exit::Drained);
        } else {
            self.leave(cx, "stop_limit");
        }
    }

    /// Ends with work left, and says how much.
    fn leave(&mut self, cx: CX![], cause: &str) {
        let open = self.calls.len();
        let running = self.handlers.backends.open();
        log::warn!("event=left cause={cause} open_calls={open} backend_calls={running}");
        self.end(cx, Exit::WorkLeft);
    }

    /// The kernel has nothing left to do.
    fn drained(&mut self, cx: CX![]) {
        if self.drained.is_none() {
            self.drained = Some(self.clock.to_time(cx.now()).after_ms(LINGER_MS));
            self.linger(cx);
        }
    }

    /// Ends once no caller has called for a while.
    fn linger(&mut self, cx: CX![]) {
        let now = self.clock.to_time(cx.now());
        let latest = self.drained.unwrap_or(now);
        let quiet = self.called.after_ms(QUIET_MS).min(latest);
        if quiet <= now && self.calls.is_empty() && self.handlers.replies.pending() == 0 {
            log::info!("event=drained");
            self.end(cx, Exit::Drained);
        } else {
            after!(Duration::from_millis(QUIET_MS / 10), [cx], linger());
        }
    }

    /// Ends the loop.
    fn end(&mut self, cx: CX![], exit: Exit) {
        self.exit.set(exit);
        cx.shutdown(StopCause::Stopped);
    }
}
