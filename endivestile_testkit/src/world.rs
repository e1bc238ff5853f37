//! Kernels of a whole deployment in virtual time, over fakes at their interfaces.
//!
//! The fakes know messages kept, delayed, lost and repeated, and hosts up,
//! paused and gone; they model no more of the outside than that.

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

/// Seconds since 1970 at the start of every world.
pub const WALL_S: u64 = 1_764_720_000;

/// Something that is going to happen.
#[derive(Debug)]
enum ScheduledEvent {
    /// An event reaches one incarnation of a host.
    Event { host: Name, incarnation: u64, event: Event },
    /// A host's kernel asked to be woken.
    Wake { host: Name, incarnation: u64 },
    /// A host has taken in what came at about the same time.
    Flush { host: Name, incarnation: u64 },
    /// A call reaches a back end.
    Arrive(backend::AttemptCall),
    /// A back end is done with a call.
    Finish(backend::AttemptCall),
    /// A call to a back end has outlived its deadline.
    Expire(backend::AttemptCall),
    /// A call reaches the store.
    Store { host: Name, incarnation: u64, op_id: u64, op: endivestile_kernel::StoreOp },
    /// The store looks at its leases.
    CheckLeases,
}

/// A start of a task as a back end saw it.
#[derive(Debug, Clone)]
pub struct SimTaskStart {
    /// The work, `<id>/<index>`.
    pub work: String,
    /// Back end.
    pub server: Name,
    /// Virtual time, in microseconds.
    pub at: u64,
}

/// A deployment in virtual time.
#[derive(Debug)]
pub struct World {
    now: u64,
    timeline: EventQueue<ScheduledEvent>,
    configs: BTreeMap<u64, Arc<Config>>,
    sim_hosts: BTreeMap<Name, SimHost>,
    backends: BTreeMap<Name, Backend>,
    open_attempts: BTreeSet<(Name, u64, u64)>,
    platform: Platform,
    net: Network,
    calls: BTreeMap<u64, CallLog>,
    starts: Vec<SimTaskStart>,
    breaches: Vec<String>,
    faulty: bool,
    seeded: bool,
    incarnations: u64,
    rng: SmallRng,
}

impl World {
    /// Makes a world in which every host of the configuration runs; `seeded`
    /// says whether their settings name each other.
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

    /// Lets `millis` milliseconds pass.
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

    fn schedule_at(&mut self, at: u64, scheduled: ScheduledEvent) {
        self.timeline.push(at.max(self.now), scheduled);
    }

    fn deliver_in(&mut self, micros: u64, host: &Name, incarnation: u64, event: Event) {
        let scheduled = ScheduledEvent::Event { host: host.clone(), incarnation, event };
        self.schedule_at(self.now + micros, scheduled);
    }

    fn config(&self) -> Arc<Config> {
        let newest = self.configs.last_key_value().map(|(_, config)| config.clone());
        newest.expect("a world starts with a configuration")
    }
}
