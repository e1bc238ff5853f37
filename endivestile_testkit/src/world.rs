//! Simulation of a whole deployment's kernels in virtual time, with fakes at their interfaces.
//!
//! The fakes delay, lose and repeat messages, and let hosts run, pause and end; they model
//! nothing else of the environment.

mod backend;
mod call;
mod check;
mod effect;
mod faults;
mod host;
pub(crate) mod net;
mod platform;
mod story;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use endivestile_config::model::{Config, Name};
use endivestile_kernel::Event;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::backend::BackendMode;
pub use self::call::{CallLog, SubmitCall};
pub use self::story::run_story;

use self::backend::Backend;
use self::host::SimHost;
use self::net::Network;
use self::platform::Platform;
use crate::event_queue::EventQueue;

/// Wall-clock time at the start of every world, in seconds since 1970.
pub const WALL_S: u64 = 1_764_720_000;

/// Event on the timeline.
#[derive(Debug)]
enum ScheduledEvent {
    /// An event reaches one incarnation of a host.
    Event { host: Name, incarnation: u64, event: Event },
    /// A timer of a host's kernel is due.
    Wake { host: Name, incarnation: u64 },
    /// A host has collected the events of its flush delay.
    Flush { host: Name, incarnation: u64 },
    /// A call reaches a backend server or worker.
    Arrive(backend::AttemptCall),
    /// A backend server or worker finishes a call.
    Finish(backend::AttemptCall),
    /// The deadline of a call to a backend server or worker passes.
    Expire(backend::AttemptCall),
    /// A call reaches the store.
    Store { host: Name, incarnation: u64, op_id: u64, op: endivestile_kernel::StoreOp },
    /// The store checks its leases.
    CheckLeases,
}

/// Start of a task as a backend server or worker saw it.
#[derive(Debug, Clone)]
pub struct SimTaskStart {
    /// Work of the task, `<name>/<index>`.
    pub work: String,
    /// Name of the backend server or worker.
    pub server: Name,
    /// Virtual time of the start, in microseconds.
    pub at: u64,
}

/// Simulated deployment in virtual time.
#[derive(Debug)]
pub struct World {
    now: u64,
    timeline: EventQueue<ScheduledEvent>,
    configs: BTreeMap<u64, Arc<Config>>,
    sim_hosts: BTreeMap<Name, SimHost>,
    backends: BTreeMap<Name, Backend>,
    /// Open calls to backend servers and workers, by host, incarnation and attempt.
    open_attempts: BTreeSet<(Name, u64, u64)>,
    platform: Platform,
    net: Network,
    calls: BTreeMap<u64, CallLog>,
    starts: Vec<SimTaskStart>,
    breaches: Vec<String>,
    /// Whether a cut, frame loss or an outage of the store may delay configurations.
    faulty: bool,
    seeded: bool,
    /// Number of process starts so far.
    incarnations: u64,
    rng: SmallRng,
}

impl World {
    /// Creates a world in which every host of the configuration runs; `seeded` says whether
    /// their settings name each other.
    pub fn new(config: Config, seed: u64, seeded: bool) -> Self {
        let config = Arc::new(config);
        let backends = Backend::from_config(&config);
        let mut world = Self {
            now: 0,
            timeline: EventQueue::new(),
            configs: BTreeMap::from([(config.revision, config.clone())]),
            sim_hosts: BTreeMap::new(),
            backends,
            open_attempts: BTreeSet::new(),
            platform: Platform::new(config.revision),
            net: Network::new(&config),
            calls: BTreeMap::new(),
            starts: Vec::new(),
            breaches: Vec::new(),
            faulty: false,
            seeded,
            incarnations: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for name in config.hosts.keys() {
            world.start(name);
        }
        world.schedule_at(0, ScheduledEvent::CheckLeases);
        world
    }

    /// Returns the virtual time in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns every start of a task so far.
    pub fn starts(&self) -> &[SimTaskStart] {
        &self.starts
    }

    /// Returns every call so far, by number.
    pub fn calls(&self) -> &BTreeMap<u64, CallLog> {
        &self.calls
    }

    /// Advances the virtual time by `millis` milliseconds.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some((at, scheduled)) = self.timeline.pop_until(end) {
            self.now = at;
            self.dispatch(scheduled);
        }
        self.now = end;
    }

    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Event { host, incarnation, event } => {
                self.deliver(&host, incarnation, event)
            }
            ScheduledEvent::Wake { host, incarnation } => self.wake(&host, incarnation),
            ScheduledEvent::Flush { host, incarnation } => self.flush(&host, incarnation),
            ScheduledEvent::Arrive(attempt_call) => self.handle_attempt(attempt_call),
            ScheduledEvent::Finish(attempt_call) => self.finish_attempt(attempt_call),
            ScheduledEvent::Expire(attempt_call) => self.expire_attempt(attempt_call),
            ScheduledEvent::Store { host, incarnation, op_id, op } => {
                self.store(host, incarnation, op_id, op)
            }
            ScheduledEvent::CheckLeases => self.check_leases(),
        }
    }

    /// Schedules an event, not before the current time.
    fn schedule_at(&mut self, at: u64, scheduled: ScheduledEvent) {
        self.timeline.push(at.max(self.now), scheduled);
    }

    /// Delivers an event to a host after `micros` microseconds.
    fn deliver_in(&mut self, micros: u64, host: &Name, incarnation: u64, event: Event) {
        let scheduled = ScheduledEvent::Event { host: host.clone(), incarnation, event };
        self.schedule_at(self.now + micros, scheduled);
    }

    /// Returns the newest accepted configuration.
    fn config(&self) -> Arc<Config> {
        let newest = self.configs.last_key_value().map(|(_, config)| config.clone());
        newest.expect("a world starts with a configuration")
    }
}
