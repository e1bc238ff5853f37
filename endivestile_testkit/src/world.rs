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

pub use self::backend::Mode;
pub use self::call::{CallLog, Submit};
pub use self::story::tell;

use self::backend::Backend;
use self::host::Machine;
use self::net::Net;
use self::platform::Platform;
use crate::event_queue::EventQueue;

/// Seconds since 1970 at the start of every world.
pub const WALL_S: u64 = 1_764_720_000;

/// Something that is going to happen.
#[derive(Debug)]
enum Happening {
    /// An event reaches one incarnation of a host.
    Event { host: Name, birth: u64, event: Event },
    /// A host's kernel asked to be woken.
    Wake { host: Name, birth: u64 },
    /// A host has taken in what came at about the same time.
    Flush { host: Name, birth: u64 },
    /// A call reaches a back end.
    Arrive(backend::Visit),
    /// A back end is done with a call.
    Depart(backend::Visit),
    /// A call to a back end has outlived its deadline.
    Expire(backend::Visit),
    /// A call reaches the store.
    Store { host: Name, birth: u64, op_id: u64, op: endivestile_kernel::StoreOp },
    /// The store looks at its leases.
    Leases,
}

/// A start of a task as a back end saw it.
#[derive(Debug, Clone)]
pub struct Started {
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
    timeline: EventQueue<Happening>,
    configs: BTreeMap<u64, Arc<Config>>,
    machines: BTreeMap<Name, Machine>,
    backends: BTreeMap<Name, Backend>,
    visits: BTreeSet<(Name, u64, u64)>,
    platform: Platform,
    net: Net,
    calls: BTreeMap<u64, CallLog>,
    starts: Vec<Started>,
    breaches: Vec<String>,
    faulty: bool,
    seeded: bool,
    births: u64,
    rng: SmallRng,
}

impl World {
    /// Makes a world in which every host of the configuration runs; `seeded`
    /// says whether their settings name each other.
    pub fn new(config: Config, seed: u64, seeded: bool) -> Self {
        let config = Arc::new(config);
        let backends = Backend::all(&config);
        let mut world = Self {
            now: 0,
            timeline: EventQueue::new(),
            configs: BTreeMap::from([(config.revision, config.clone())]),
            machines: BTreeMap::new(),
            backends,
            visits: BTreeSet::new(),
            platform: Platform::new(config.revision),
            net: Net::new(&config),
            calls: BTreeMap::new(),
            starts: Vec::new(),
            breaches: Vec::new(),
            faulty: false,
            seeded,
            births: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        for name in config.hosts.keys() {
            world.start(name);
        }
        world.at(0, Happening::Leases);
        world
    }

    /// Returns the virtual time in microseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns every start of a task so far.
    pub fn starts(&self) -> &[Started] {
        &self.starts
    }

    /// Returns every call so far, by number.
    pub fn calls(&self) -> &BTreeMap<u64, CallLog> {
        &self.calls
    }

    /// Lets `millis` milliseconds pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis * 1_000;
        while let Some((at, happening)) = self.timeline.pop_until(end) {
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event { host, birth, event } => self.deliver(&host, birth, event),
            Happening::Wake { host, birth } => self.wake(&host, birth),
            Happening::Flush { host, birth } => self.flush(&host, birth),
            Happening::Arrive(visit) => self.arrive(visit),
            Happening::Depart(visit) => self.depart(visit),
            Happening::Expire(visit) => self.expire(visit),
            Happening::Store { host, birth, op_id, op } => self.store(host, birth, op_id, op),
            Happening::Leases => self.leases(),
        }
    }

    fn at(&mut self, at: u64, happening: Happening) {
        self.timeline.push(at.max(self.now), happening);
    }

    fn event_in(&mut self, micros: u64, host: &Name, birth: u64, event: Event) {
        let happening = Happening::Event { host: host.clone(), birth, event };
        self.at(self.now + micros, happening);
    }

    fn config(&self) -> Arc<Config> {
        let newest = self.configs.last_key_value().map(|(_, config)| config.clone());
        newest.expect("a world starts with a configuration")
    }
}
