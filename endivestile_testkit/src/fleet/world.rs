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
use super::check::Observed;
use super::host::Host;
use super::store::Store;
use super::worker::{Worker, worker_entry};
use crate::event_queue::EventQueue;
use crate::world::net::{Network, STORE};

/// Time for an answer of the store, in microseconds.
const STORE_DELAY_US: u64 = 4_000;
/// Processor time of a host that says nothing of it, in thousandths of a core.
const HOST_CPU_MILLI: u32 = 250;
/// Distance between zones, in microseconds.
const CROSS_ZONE_US: u64 = 1_400;

/// Something that is going to happen.
#[derive(Debug)]
pub(crate) enum ScheduledEvent {
    /// An event reaches one incarnation of a host.
    Event { host: Name, incarnation: u64, event: FleetEvent },
    /// An event has had its turn at a host that is short of processor time.
    Handle { host: Name, incarnation: u64, event: FleetEvent },
    /// A host wakes.
    Wake { host: Name, incarnation: u64 },
    /// A host has taken in what came together.
    Flush { host: Name, incarnation: u64 },
    /// A call reaches a worker.
    Arrive { call_id: u64, worker: Name },
    /// A hold has waited long enough.
    AnswerRenewal { call_id: u64, worker: Name },
    /// A call's answer reaches its host.
    Reply { call_id: u64, event: FleetEvent },
    /// A call has got no answer in time.
    CallTimeout { call_id: u64 },
    /// Something ends at a worker.
    WorkerWake { worker: Name },
    /// An order left unanswered is carried out, unless the worker that held it
    /// back has started anew since.
    LateCall { call: WorkerCall, worker: Name, worker_incarnation: u64 },
    /// A change reaches the store.
    Swap { host: Name, incarnation: u64, token: u64, op: StoreOp },
    /// A host registers.
    Register { entry: HostEntry },
    /// A host reads the whole store.
    ReadStore { host: Name, incarnation: u64 },
    /// A host that has come to own workers reads their list.
    ReadWorkerList { host: Name, incarnation: u64 },
    /// A caller's patience ends.
    CallerDeadline { call: u64 },
    /// A caller that got no answer sends its job again.
    Resubmit { call: u64 },
    /// A host has drained and ends.
    Drained { host: Name, incarnation: u64 },
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
    pub(crate) net: Network,
    pub(crate) table: Arc<RouteTable>,
    pub(crate) calls: BTreeMap<u64, CallLog>,
    pub(crate) job_work: BTreeMap<Name, Work>,
    pub(crate) last_call_id: u64,
    pub(crate) open_worker_calls: BTreeMap<u64, (Name, u64, WorkerCall)>,
    pub(crate) incarnations: u64,
    pub(crate) policy: Policy,
    /// How many times longer a task takes away from its data, in thousandths.
    pub(crate) remote_milli: u32,
    pub(crate) observed: Observed,
    pub(crate) trace_enabled: bool,
    pub(crate) trace: Vec<String>,
    pub(crate) rng: SmallRng,
    pub(crate) open_renewals: BTreeMap<u64, Name>,
    timeline: EventQueue<ScheduledEvent>,
}

impl FleetWorld {
    /// Makes a world with so many hosts and workers in each zone, all running.
    pub fn new(zones: &[&str], hosts: u64, workers: u64, cpu: u32, seed: u64) -> Self {
        Self::with_hosts(zones, &vec![HOST_CPU_MILLI; hosts as usize], workers, cpu, seed)
    }

    /// Makes a world whose zones have a host of each of these thousandths of a core.
    pub fn with_hosts(zones: &[&str], hosts: &[u32], workers: u64, cpu: u32, seed: u64) -> Self {
        Self::with_policy(Policy::default(), zones, hosts, workers, cpu, seed)
    }

    /// Makes such a world under other policies.
    pub fn with_policy(
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
            store: Store { delay_us: STORE_DELAY_US, ..Store::default() },
            net: Network::from_zones(BTreeMap::new(), CROSS_ZONE_US),
            table: Arc::new(RouteTable { version: 1, ..RouteTable::default() }),
            calls: BTreeMap::new(),
            job_work: BTreeMap::new(),
            last_call_id: 0,
            open_worker_calls: BTreeMap::new(),
            incarnations: 0,
            policy,
            remote_milli: 2_000,
            observed: Observed::default(),
            trace_enabled: false,
            trace: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            open_renewals: BTreeMap::new(),
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
        world.net = Network::from_zones(places, CROSS_ZONE_US);
        let names: Vec<Name> = world.hosts.keys().cloned().collect();
        for name in names {
            world.start(&name);
        }
        world
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

    /// Gives every host a link of this bandwidth and starts them anew.
    pub(crate) fn set_link_bandwidth(&mut self, link_kbps: u32) {
        self.restart_all(|host| host.link_kbps = link_kbps);
    }

    /// Lets tasks away from their data take so many thousandths of the time, and starts the
    /// hosts anew with that setting.
    pub(crate) fn set_remote_factor(&mut self, remote_milli: u32) {
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
    pub(crate) fn stagger_registration(&mut self, millis: u64) {
        let count = self.workers.len().max(1) as u64;
        for (at, worker) in (0..).zip(self.workers.values_mut()) {
            worker.listed_from = self.now + millis * 1_000 * at / count;
        }
    }

    /// Cuts two hosts, zones, workers or one of them and the store from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.net.cut(a, b);
    }

    pub(crate) fn schedule_at(&mut self, at: u64, scheduled: ScheduledEvent) {
        self.timeline.push(at.max(self.now), scheduled);
    }

    fn dispatch(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::Event { host, incarnation, event } => {
                self.deliver(&host, incarnation, event)
            }
            ScheduledEvent::Handle { host, incarnation, event } => {
                self.handle_event(&host, incarnation, event)
            }
            ScheduledEvent::Wake { host, incarnation } => self.wake(&host, incarnation),
            ScheduledEvent::Flush { host, incarnation } => self.flush(&host, incarnation),
            ScheduledEvent::Arrive { call_id, worker } => self.handle_worker_call(call_id, &worker),
            ScheduledEvent::AnswerRenewal { call_id, worker } => {
                self.answer_renewal(call_id, &worker)
            }
            ScheduledEvent::Reply { call_id, event } => {
                if let Some((host, incarnation, _)) = self.open_worker_calls.remove(&call_id) {
                    self.deliver(&host, incarnation, event);
                }
            }
            ScheduledEvent::CallTimeout { call_id } => self.time_out_call(call_id),
            ScheduledEvent::WorkerWake { worker } => self.handle_worker_wake(&worker),
            ScheduledEvent::LateCall { call, worker, worker_incarnation } => {
                self.execute_late_call(&call, &worker, worker_incarnation)
            }
            ScheduledEvent::Swap { host, incarnation, token, op } => {
                self.swap(host, incarnation, token, &op)
            }
            ScheduledEvent::Register { entry } => self.register(&entry),
            ScheduledEvent::ReadStore { host, incarnation } => self.read_store(&host, incarnation),
            ScheduledEvent::ReadWorkerList { host, incarnation } => {
                self.read_worker_list(&host, incarnation)
            }
            ScheduledEvent::CallerDeadline { call } => self.disconnect(call),
            ScheduledEvent::Resubmit { call } => self.resubmit_call(call),
            ScheduledEvent::Drained { host, incarnation } => {
                if self.hosts.get(&host).is_some_and(|it| it.incarnation == incarnation) {
                    self.kill(&host);
                }
            }
        }
    }

    fn swap(&mut self, host: Name, incarnation: u64, token: u64, op: &StoreOp) {
        let at = self.now + self.store.delay_us / 2;
        let mut stored = StoreResult::Lost;
        if !self.store.down && self.net.reaches(&host, STORE) {
            let (outcome, key) = self.store.swap(op);
            stored = outcome;
            if let Some(key) = key {
                self.publish(&key);
            }
            if self.store.answers_to_lose > 0 {
                self.store.answers_to_lose -= 1;
                stored = StoreResult::Lost;
            }
        }
        let at = if stored == StoreResult::Lost { at + 700_000 } else { at };
        self.schedule_at(
            at,
            ScheduledEvent::Event {
                host,
                incarnation,
                event: FleetEvent::StoreCallEnded { op_id: token, result: stored },
            },
        );
    }

    fn register(&mut self, entry: &HostEntry) {
        let host = &entry.peer.host;
        if self.store.down || !self.net.reaches(host, STORE) {
            let retry = ScheduledEvent::Register { entry: entry.clone() };
            self.schedule_at(self.now + 300_000, retry);
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
            incarnation: 0,
            clock_zero: 0,
            paused: None,
            flush_scheduled: false,
            wake_at: 0,
            event_cost_us: 0,
            busy_until: 0,
            evacuations: BTreeMap::new(),
            owned_workers: false,
            synced: false,
        }
    }
}

impl Worker {
    /// Returns whether the store lists it at `now`.
    pub(crate) fn is_listed(&self, now: u64) -> bool {
        !self.entry.address.is_empty() && self.listed_from <= now
    }
}
