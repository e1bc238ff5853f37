//! The world: what happens when, and what callers saw.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::Policy;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{FleetEvent, HOST_KEY_PREFIX, HostEntry, RouteTable, WorkerCall};
use endivestile_kernel::{Need, StoreOp, StoreResult};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::calls::CallLog;
use super::check::Seen;
use super::host::Host;
use super::store::Store;
use super::worker::{Worker, worker_entry};
use crate::event_queue::EventQueue;
use crate::world::net::{Net, STORE};

/// Time for an answer of the store, in microseconds.
const STORE_US: u64 = 4_000;
/// Processor time of a host that says nothing of it, in thousandths of a core.
const HOST_CPU_MILLI: u32 = 250;
/// Distance between zones, in microseconds.
const FAR_US: u64 = 1_400;

/// Something that is going to happen.
#[derive(Debug)]
pub(crate) enum Happening {
    /// An event reaches one incarnation of a host.
    Event { host: Name, birth: u64, event: FleetEvent },
    /// An event has had its turn at a host that is short of processor time.
    Taken { host: Name, birth: u64, event: FleetEvent },
    /// A host wakes.
    Wake { host: Name, birth: u64 },
    /// A host has taken in what came together.
    Flush { host: Name, birth: u64 },
    /// A call reaches a worker.
    Arrive { visit: u64, worker: Name },
    /// A hold has waited long enough.
    Look { visit: u64, worker: Name },
    /// A call's answer reaches its host.
    Return { visit: u64, event: FleetEvent },
    /// A call has got no answer in time.
    Expire { visit: u64 },
    /// Something ends at a worker.
    Work { worker: Name },
    /// An order left unanswered is carried out, unless the worker that held it
    /// back has started anew since.
    Belated { call: WorkerCall, worker: Name, born: u64 },
    /// A change reaches the store.
    Store { host: Name, birth: u64, token: u64, op: StoreOp },
    /// A host registers.
    Register { entry: HostEntry },
    /// A host reads the whole store.
    Read { host: Name, birth: u64 },
    /// A host that has come to own workers reads their list.
    List { host: Name, birth: u64 },
    /// A caller's patience ends.
    Deadline { call: u64 },
    /// A caller that got no answer sends its job again.
    Resend { call: u64 },
    /// A host has drained and ends.
    Drained { host: Name, birth: u64 },
}

/// What a task of a job takes.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// Time near its data on a worker of speed 1, in microseconds.
    pub(crate) us: f64,
    /// Room.
    pub(crate) need: Need,
    /// Label of the workers that are near its data.
    pub(crate) near: Option<Name>,
}

/// A deployment in virtual time.
#[derive(Debug)]
pub struct FleetWorld {
    pub(crate) now: u64,
    pub(crate) hosts: BTreeMap<Name, Host>,
    pub(crate) workers: BTreeMap<Name, Worker>,
    pub(crate) store: Store,
    pub(crate) net: Net,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) calls: BTreeMap<u64, CallLog>,
    pub(crate) works: BTreeMap<Name, Work>,
    pub(crate) visits: u64,
    pub(crate) open_visits: BTreeMap<u64, (Name, u64, WorkerCall)>,
    pub(crate) births: u64,
    pub(crate) policy: Policy,
    /// How many times longer a task takes away from its data, in thousandths.
    pub(crate) remote_milli: u32,
    pub(crate) seen: Seen,
    pub(crate) traced: bool,
    pub(crate) trace: Vec<String>,
    pub(crate) rng: SmallRng,
    pub(crate) waiting: BTreeMap<u64, Name>,
    timeline: EventQueue<Happening>,
}

impl FleetWorld {
    /// Makes a world with so many hosts and workers in each zone, all running.
    pub fn new(zones: &[&str], hosts: u64, workers: u64, cpu: u32, seed: u64) -> Self {
        Self::of_hosts(zones, &vec![HOST_CPU_MILLI; hosts as usize], workers, cpu, seed)
    }

    /// Makes a world whose zones have a host of each of these thousandths of a core.
    pub fn of_hosts(zones: &[&str], hosts: &[u32], workers: u64, cpu: u32, seed: u64) -> Self {
        Self::trial(Policy::default(), zones, hosts, workers, cpu, seed)
    }

    /// Makes such a world under other policies.
    pub fn trial(
        policy: Policy,
        zones: &[&str],
        hosts: &[u32],
        workers: u64,
        cpu: u32,
        seed: u64,
    ) -> Self {
        let mut places: BTreeMap<Name, Name> = BTreeMap::new();
        let mut world = Self {
            now: 0,
            hosts: BTreeMap::new(),
            workers: BTreeMap::new(),
            store: Store { delay_us: STORE_US, ..Store::default() },
            net: Net::zoned(BTreeMap::new(), FAR_US),
            table: Arc::new(RouteTable { version: 1, ..RouteTable::default() }),
            calls: BTreeMap::new(),
            works: BTreeMap::new(),
            visits: 0,
            open_visits: BTreeMap::new(),
            births: 0,
            policy,
            remote_milli: 2_000,
            seen: Seen::default(),
            traced: false,
            trace: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            waiting: BTreeMap::new(),
            timeline: EventQueue::new(),
        };
        for zone in zones {
            for (index, cpu_milli) in (1..).zip(hosts) {
                let name = Name::from(format!("{zone}{index}"));
                places.insert(name.clone(), Name::from(*zone));
                world.hosts.insert(name, Host::in_zone(zone, *cpu_milli));
            }
            for index in 1..=workers {
                let entry = worker_entry(zone, index, cpu);
                places.insert(entry.id.clone(), Name::from(*zone));
                world.workers.insert(entry.id.clone(), Worker::new(0, entry, 1.0));
            }
        }
        world.net = Net::zoned(places, FAR_US);
        let names: Vec<Name> = world.hosts.keys().cloned().collect();
        for name in names {
            world.start(&name);
        }
        world
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

    /// Gives every host a link of this bandwidth and starts them anew.
    pub(crate) fn links(&mut self, link_kbps: u32) {
        self.restart_all(|host| host.link_kbps = link_kbps);
    }

    /// Lets tasks away from their data take so many thousandths of the time, and starts the
    /// hosts anew with that setting.
    pub(crate) fn remote(&mut self, remote_milli: u32) {
        self.remote_milli = remote_milli;
        self.restart_all(|_| {});
    }

    fn restart_all(&mut self, change: impl Fn(&mut Host)) {
        let names: Vec<Name> = self.hosts.keys().cloned().collect();
        for name in names {
            self.kill(&name);
            if let Some(host) = self.hosts.get_mut(&name) {
                change(host);
            }
            self.start(&name);
        }
    }

    /// Lets the workers register one after the other, over `millis` milliseconds.
    pub(crate) fn register_over(&mut self, millis: u64) {
        let count = self.workers.len().max(1) as u64;
        for (at, worker) in (0..).zip(self.workers.values_mut()) {
            worker.listed_from = self.now + millis * 1_000 * at / count;
        }
    }

    /// Cuts two hosts, zones, workers or one of them and the store from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.net.cut(a, b);
    }

    pub(crate) fn at(&mut self, at: u64, happening: Happening) {
        self.timeline.push(at.max(self.now), happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event { host, birth, event } => self.deliver(&host, birth, event),
            Happening::Taken { host, birth, event } => self.take(&host, birth, event),
            Happening::Wake { host, birth } => self.wake(&host, birth),
            Happening::Flush { host, birth } => self.flush(&host, birth),
            Happening::Arrive { visit, worker } => self.arrive(visit, &worker),
            Happening::Look { visit, worker } => self.look(visit, &worker),
            Happening::Return { visit, event } => {
                if let Some((host, birth, _)) = self.open_visits.remove(&visit) {
                    self.deliver(&host, birth, event);
                }
            }
            Happening::Expire { visit } => self.expire(visit),
            Happening::Work { worker } => self.work(&worker),
            Happening::Belated { call, worker, born } => self.belated(&call, &worker, born),
            Happening::Store { host, birth, token, op } => self.swap(host, birth, token, &op),
            Happening::Register { entry } => self.register(&entry),
            Happening::Read { host, birth } => self.read_all(&host, birth),
            Happening::List { host, birth } => self.read_list(&host, birth),
            Happening::Deadline { call } => self.hang_up(call),
            Happening::Resend { call } => self.resend(call),
            Happening::Drained { host, birth } => {
                if self.hosts.get(&host).is_some_and(|it| it.birth == birth) {
                    self.kill(&host);
                }
            }
        }
    }

    fn swap(&mut self, host: Name, birth: u64, token: u64, op: &StoreOp) {
        let at = self.now + self.store.delay_us / 2;
        let mut stored = StoreResult::Lost;
        if !self.store.down && self.net.reaches(&host, STORE) {
            let (outcome, key) = self.store.swap(op);
            stored = outcome;
            if let Some(key) = key {
                self.publish(&key);
            }
            if self.store.losing > 0 {
                self.store.losing -= 1;
                stored = StoreResult::Lost;
            }
        }
        let at = if stored == StoreResult::Lost { at + 700_000 } else { at };
        self.at(
            at,
            Happening::Event {
                host,
                birth,
                event: FleetEvent::StoreCallEnded { op_id: token, result: stored },
            },
        );
    }

    fn register(&mut self, entry: &HostEntry) {
        let host = &entry.peer.host;
        if self.store.down || !self.net.reaches(host, STORE) {
            let again = Happening::Register { entry: entry.clone() };
            self.at(self.now + 300_000, again);
            return;
        }
        let key = Name::from(format!("{HOST_KEY_PREFIX}{host}"));
        let value = Bytes::from(serde_json::to_vec(entry).expect("an entry is plain data"));
        self.store.put(&key, value);
        self.publish(&key);
    }
}

impl Host {
    fn in_zone(zone: &str, cpu_milli: u32) -> Self {
        Self {
            zone: Name::from(zone),
            cpu_milli,
            link_kbps: 0,
            fleet: None,
            birth: 0,
            zero: 0,
            paused: None,
            flushing: false,
            wake: 0,
            cost_us: 0,
            free_at: 0,
            evacuations: BTreeMap::new(),
            owns: false,
            reads: false,
        }
    }
}

impl Worker {
    /// Returns whether the store lists it at `now`.
    pub(crate) fn listed(&self, now: u64) -> bool {
        !self.entry.address.is_empty() && self.listed_from <= now
    }
}
