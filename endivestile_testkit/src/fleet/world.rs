//! State and event loop of the simulated deployment.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::Policy;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    CallError, FleetEvent, HOST_KEY_PREFIX, HostEntry, RouteTable, WorkerCall,
};
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

/// Time from a request to the store to its answer, in microseconds.
const STORE_DELAY_US: u64 = 4_000;
/// Default processor time of a host, in thousandths of a core.
pub(crate) const HOST_CPU_MILLI: u32 = 250;
/// Additional one-way delay between zones, in microseconds.
const CROSS_ZONE_US: u64 = 1_400;

/// Event on the timeline.
#[derive(Debug)]
pub(crate) enum ScheduledEvent {
    /// An event reaches one incarnation of a host.
    Event { host: Name, incarnation: u64, event: FleetEvent },
    /// A host has had processor time for an event and handles it.
    Handle { host: Name, incarnation: u64, event: FleetEvent },
    /// A timer of a host is due.
    Wake { host: Name, incarnation: u64 },
    /// A host has collected the events of its flush delay.
    Flush { host: Name, incarnation: u64 },
    /// A call reaches a worker.
    Arrive { call_id: u64, worker: Name },
    /// The wait of an open renewal ends.
    AnswerRenewal { call_id: u64, worker: Name },
    /// The answer to a worker call reaches its host.
    Reply { call_id: u64, event: FleetEvent },
    /// The process of a worker that has crashed starts again.
    Restart { worker: Name, cpu_milli: Option<u32> },
    /// A worker call has got no answer in time.
    CallTimeout { call_id: u64 },
    /// A run or the lease ends at a worker.
    WorkerWake { worker: Name },
    /// A worker executes a call that it left unanswered, unless it has restarted since.
    LateCall { call: WorkerCall, worker: Name, worker_incarnation: u64 },
    /// A compare-and-swap reaches the store.
    Swap { host: Name, incarnation: u64, op_id: u64, op: StoreOp },
    /// The links that a host has opened are reset.
    ResetLinks { host: Name },
    /// A host registers.
    Register { entry: HostEntry },
    /// A host reads the whole store.
    ReadStore { host: Name, incarnation: u64 },
    /// A host that has become owner of workers reads their list.
    ReadWorkerList { host: Name, incarnation: u64 },
    /// The deadline of a call passes, and its caller disconnects.
    CallerDeadline { call: u64 },
    /// A caller that got no answer submits its job again.
    Resubmit { call: u64 },
    /// A host has drained, and its process ends.
    Drained { host: Name, incarnation: u64 },
}

/// Work of each task of a job.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// Run time near the task's data on a worker of speed 1, in microseconds.
    pub(crate) us: f64,
    /// Resources.
    pub(crate) need: Need,
    /// Label that a worker must have.
    pub(crate) required: Option<Name>,
    /// Limit on concurrent tasks of a step on one worker; 0 for none.
    pub(crate) max_per_worker: u16,
    /// Label of the workers that are near the task's data.
    pub(crate) near: Option<Name>,
    /// Time from the start of a task to the crash of its worker, in microseconds; `None` if it
    /// crashes none.
    pub(crate) crash_us: Option<u64>,
}

/// Simulated deployment in virtual time.
#[derive(Debug)]
pub struct FleetWorld {
    /// Virtual time, in microseconds.
    pub(crate) now: u64,
    pub(crate) hosts: BTreeMap<Name, Host>,
    pub(crate) workers: BTreeMap<Name, Worker>,
    pub(crate) store: Store,
    pub(crate) net: Network,
    /// Routes that hosts read from the store.
    pub(crate) table: Arc<RouteTable>,
    pub(crate) calls: BTreeMap<u64, CallLog>,
    /// Work by job id.
    pub(crate) job_work: BTreeMap<Name, Work>,
    /// Id of the last call to a worker.
    pub(crate) last_call_id: u64,
    /// Open calls to workers by id: host, its incarnation and the call.
    pub(crate) open_worker_calls: BTreeMap<u64, (Name, u64, WorkerCall)>,
    /// Number of process starts so far.
    pub(crate) incarnations: u64,
    pub(crate) policy: Policy,
    /// Factor on the run time of a task away from its data, in thousandths.
    pub(crate) remote_milli: u32,
    pub(crate) observed: Observed,
    /// Whether log lines of the hosts are collected in `trace`.
    pub(crate) trace_enabled: bool,
    /// Collected log lines.
    pub(crate) trace: Vec<String>,
    pub(crate) rng: SmallRng,
    /// Workers of the renewals that are held open, by call id.
    pub(crate) open_renewals: BTreeMap<u64, Name>,
    timeline: EventQueue<ScheduledEvent>,
}

impl FleetWorld {
    /// Creates a world with this many hosts and workers in each zone, all running.
    pub fn new(zones: &[&str], hosts: u64, workers: u64, cpu: u32, seed: u64) -> Self {
        Self::with_hosts(zones, &vec![HOST_CPU_MILLI; hosts as usize], workers, cpu, seed)
    }

    /// Creates a world with one host per zone for each entry of `hosts`, its processor time in
    /// thousandths of a core.
    pub fn with_hosts(zones: &[&str], hosts: &[u32], workers: u64, cpu: u32, seed: u64) -> Self {
        Self::with_policy(Policy::default(), zones, hosts, workers, cpu, seed)
    }

    /// Creates a world as [`FleetWorld::with_hosts`] does, under a given scheduling policy.
    pub fn with_policy(
        policy: Policy,
        zones: &[&str],
        hosts: &[u32],
        workers: u64,
        cpu: u32,
        seed: u64,
    ) -> Self {
        let mut zone_of: BTreeMap<Name, Name> = BTreeMap::new();
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
                zone_of.insert(name.clone(), Name::from(*zone));
                world.hosts.insert(name, Host::in_zone(zone, *cpu_milli));
            }
            for index in 1..=workers {
                let entry = worker_entry(zone, index, cpu);
                zone_of.insert(entry.id.clone(), Name::from(*zone));
                world.workers.insert(entry.id.clone(), Worker::new(0, entry, 1.0));
            }
        }
        world.net = Network::from_zones(zone_of, CROSS_ZONE_US);
        let names: Vec<Name> = world.hosts.keys().cloned().collect();
        for name in names {
            world.start(&name);
        }
        world
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

    /// Sets the bandwidth of every host's link and restarts all hosts.
    pub(crate) fn set_link_bandwidth(&mut self, link_kbps: u32) {
        self.restart_all(|host| host.link_kbps = link_kbps);
    }

    /// Sets the factor on the run time of tasks away from their data, in thousandths, and restarts
    /// all hosts.
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

    /// Spreads the registrations of the workers over `millis` milliseconds.
    pub(crate) fn stagger_registration(&mut self, millis: u64) {
        let count = self.workers.len().max(1) as u64;
        for (at, worker) in (0..).zip(self.workers.values_mut()) {
            worker.listed_from = self.now + millis * 1_000 * at / count;
        }
    }

    /// Cuts the network between two ends, each a host, a worker, a zone or the store.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.net.cut(a, b);
    }

    /// Schedules an event, not before the current time.
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
            ScheduledEvent::CallTimeout { call_id } => self.fail_call(call_id, CallError::Lost),
            ScheduledEvent::Restart { worker, cpu_milli } => {
                self.restart_worker(&worker, cpu_milli)
            }
            ScheduledEvent::WorkerWake { worker } => self.handle_worker_wake(&worker),
            ScheduledEvent::LateCall { call, worker, worker_incarnation } => {
                self.execute_late_call(&call, &worker, worker_incarnation)
            }
            ScheduledEvent::Swap { host, incarnation, op_id, op } => {
                self.swap(host, incarnation, op_id, &op)
            }
            ScheduledEvent::ResetLinks { host } => self.handle_reset(&host),
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

    /// Executes a compare-and-swap of a host; a lost one times out after 700 ms.
    fn swap(&mut self, host: Name, incarnation: u64, op_id: u64, op: &StoreOp) {
        let at = self.now + self.store.delay_us / 2;
        let mut answer = StoreResult::Lost;
        if !self.store.down && self.net.reaches(&host, STORE) {
            let (outcome, key) = self.store.swap(op);
            answer = outcome;
            if let Some(key) = key {
                self.publish(&key);
            }
            if self.store.answers_to_lose > 0 {
                self.store.answers_to_lose -= 1;
                answer = StoreResult::Lost;
            }
        }
        let at = if answer == StoreResult::Lost { at + 700_000 } else { at };
        self.schedule_at(
            at,
            ScheduledEvent::Event {
                host,
                incarnation,
                event: FleetEvent::StoreCallEnded { op_id, result: answer },
            },
        );
    }

    /// Writes a host's registration, or retries later if the store is unreachable. A later
    /// incarnation has replaced the revision that the write is conditional on.
    fn register(&mut self, entry: &HostEntry) {
        let host = &entry.peer.host;
        if self.hosts.get(host).is_some_and(|it| it.incarnation != entry.peer.birth) {
            return;
        }
        if self.store.down || !self.net.reaches(host, STORE) {
            let retry = ScheduledEvent::Register { entry: entry.clone() };
            self.schedule_at(self.now + 300_000, retry);
            return;
        }
        let key = Name::from(format!("{HOST_KEY_PREFIX}{host}"));
        let value = Bytes::from(serde_json::to_vec(entry).expect("a host entry serializes"));
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
            clock_error: 0,
            links_reset_at: 0,
            clock_zero: 0,
            paused: None,
            flush_scheduled: false,
            wake_at: 0,
            event_cost_us: 0,
            returns_jobs: false,
            busy_until: 0,
            evacuations: BTreeMap::new(),
            capacities: BTreeMap::new(),
            owned_workers: false,
            synced: false,
        }
    }
}

impl Worker {
    /// Returns whether the store lists the worker at `now`.
    pub(crate) fn is_listed(&self, now: u64) -> bool {
        !self.entry.address.is_empty() && self.listed_from <= now
    }
}
