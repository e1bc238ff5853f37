//! A kernel without processes and sockets, whose calls to backends end on demand.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use endivestile_config::model::Config;
use endivestile_kernel::{
    AttemptEnd, AttemptId, CallId, Effect, Event, Frame, FrameExtension, Kernel, Need, Peer,
    Registration, Setup, Submission, SubmissionId, Target, TargetLoad, Task, Time,
};

use crate::inventory;

/// Wall-clock time at which kernels start, in seconds since 1970.
pub(crate) const WALL_S: u64 = 1_800_000_000;
/// Resources that a task needs; a worker can run 32 such tasks.
const NEED: Need = Need { cpu_milli: 1_000, memory_mb: 1_000, accelerators: 0 };
/// Work of each task, and its result.
const WORK: [u8; 64] = [b'w'; 64];

/// A kernel and its open calls to backends.
pub(crate) struct KernelHarness {
    /// The kernel.
    pub(crate) kernel: Kernel,
    /// Current time of its clock.
    pub(crate) now: Time,
    /// Time spent in the kernel.
    pub(crate) kernel_time: Duration,
    /// Part of it in which the kernel builds frames and computes its next deadline.
    pub(crate) flush_time: Duration,
    /// Number of answers to callers.
    pub(crate) answers: u64,
    /// Number of frames sent.
    pub(crate) frames: u64,
    /// Effects that concern neither callers nor backends, such as frames and store calls.
    pub(crate) outgoing: Vec<Effect>,
    /// Open calls to backends, oldest first.
    attempts: VecDeque<AttemptId>,
    /// Number of submissions so far.
    submissions: u64,
    /// Buffer for the effects of an event.
    effects: Vec<Effect>,
}

impl KernelHarness {
    /// Starts the kernel of host number `at`.
    pub(crate) fn new(at: usize, zones: usize) -> Self {
        let setup = Setup {
            me: peer(at),
            zone: inventory::zone_name(at % zones),
            address: "127.0.0.1:7070".into(),
            wall_s: WALL_S,
            seed: 1,
            seed_hosts: Vec::new(),
        };
        Self {
            kernel: Kernel::new(setup),
            now: Time::ZERO,
            kernel_time: Duration::ZERO,
            flush_time: Duration::ZERO,
            answers: 0,
            frames: 0,
            outgoing: Vec::new(),
            attempts: VecDeque::new(),
            submissions: 0,
            effects: Vec::new(),
        }
    }

    /// Passes an event to the kernel, measures its time and sorts its effects.
    pub(crate) fn handle_event(&mut self, event: Event) {
        let started = Instant::now();
        self.kernel.handle(self.now, event, &mut self.effects);
        let handled = Instant::now();
        self.kernel.flush(self.now, &mut self.effects);
        // The daemon calls this after each batch of events, to set its timer.
        std::hint::black_box(self.kernel.deadline());
        self.flush_time += handled.elapsed();
        self.kernel_time += started.elapsed();
        for effect in self.effects.drain(..) {
            match effect {
                Effect::Start { attempt, .. } => self.attempts.push_back(attempt),
                Effect::Answer { .. } => self.answers += 1,
                Effect::Log(_) | Effect::Count(..) => {}
                other => {
                    self.frames += u64::from(matches!(other, Effect::Send { .. }));
                    self.outgoing.push(other);
                }
            }
        }
    }

    /// Delivers a configuration to the kernel.
    pub(crate) fn configure(&mut self, config: &Config) {
        self.handle_event(Event::Config { config: Arc::new(config.clone()), text: Bytes::new() });
    }

    /// Delivers the registration of host number `at` to the kernel.
    pub(crate) fn register(&mut self, at: usize, zones: usize, leaving: bool) {
        let registration = Registration {
            peer: peer(at),
            zone: inventory::zone_name(at % zones),
            address: format!("127.1.{}.{}:7070", at / 200, at % 200 + 1).into(),
            leaving,
        };
        let host = inventory::host_name(at);
        self.handle_event(Event::HostRegistration { host, registration: Some(registration) });
    }

    /// Delivers a frame in which host number `at` reports a load without free slots.
    pub(crate) fn receive_load(&mut self, at: usize, me: usize) {
        let target = Target::Need(Need { cpu_milli: 0, memory_mb: 0, accelerators: 0 });
        let target_load = TargetLoad {
            target,
            slots: 600,
            free: 0,
            waiting: 100,
            service_us: 200_000,
            wait_us: 400_000,
        };
        self.handle_event(Event::Frame(Frame {
            from: peer(at),
            to: peer(me),
            seq: 0,
            ack: 0,
            sent: self.now,
            revision: 1,
            leaving: false,
            load: Some(Arc::from([target_load])),
            echo: Time::ZERO,
            report: None,
            msgs: Vec::new(),
            extension: FrameExtension::default(),
        }));
    }

    /// Submits a request, or a job when `tasks` is more than one.
    pub(crate) fn submit(&mut self, id: Option<SubmissionId>, tasks: usize) {
        self.submissions += 1;
        let work = Bytes::copy_from_slice(&WORK);
        let task =
            || Arc::new(Task { target: Target::Need(NEED), work: work.clone(), declared_ms: 0 });
        let submission = Submission {
            idempotent: id.is_none(),
            id,
            team: inventory::team_name(self.submissions as usize),
            deadline: self.now.after_ms(1_000_000),
            tasks: (0..tasks).map(|_| task()).collect(),
        };
        self.handle_event(Event::Submitted { call: CallId(self.submissions), submission });
    }

    /// Answers the oldest open call to a backend; returns false when none is open.
    pub(crate) fn finish_attempt(&mut self) -> bool {
        let Some(attempt) = self.attempts.pop_front() else { return false };
        let end = AttemptEnd::Answered(Bytes::copy_from_slice(&WORK));
        self.handle_event(Event::AttemptEnded { attempt, end });
        true
    }

    /// Returns the number of open calls to backends.
    pub(crate) fn open_attempts(&self) -> usize {
        self.attempts.len()
    }
}

/// Returns the network identity of host number `at`.
pub(crate) fn peer(at: usize) -> Peer {
    Peer::new(inventory::host_name(at), 1 + at as u64)
}
