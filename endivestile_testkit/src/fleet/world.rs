//! The world: what happens when, and what callers saw.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::Policy;
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    CallFault, FleetEvent, HOST_KEYS, HostEntry, Job, JobEnd, RouteTable, StartEnd, Step,
    WorkerCall,
};
use endivestile_kernel::{CallId, Need, StoreOp, Stored};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::check::Seen;
use super::host::Host;
use super::store::Store;
use super::worker::{Behaviour, Worker, none, worker_entry};
use crate::timeline::Timeline;
use crate::world::net::{Net, STORE};

/// Time for an answer of the store, in microseconds.
const STORE_US: u64 = 4_000;
/// Processor time of a host that says nothing of it, in thousandths of a core.
const HOST_CPU_MILLI: u32 = 250;
/// Distance between zones, in microseconds.
const FAR_US: u64 = 1_400;
/// Time after which a caller without an answer sends its job again, in microseconds.
const RESEND_US: u64 = 1_300_000;

/// Something that is going to happen.
#[derive(Debug)]
pub(crate) enum Happening {
    /// An event reaches one incarnation of a host.
    Event { host: Name, birth: u64, event: FleetEvent },
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
    /// A caller's patience ends.
    Deadline { call: u64 },
    /// A caller that got no answer sends its job again.
    Resend { call: u64 },
    /// A host has drained and ends.
    Drained { host: Name, birth: u64 },
}

/// A call of a caller.
#[derive(Debug)]
pub(crate) struct CallLog {
    /// Name in the story.
    pub(crate) name: String,
    /// The job's id.
    pub(crate) id: Name,
    /// Host and incarnation that took it.
    pub(crate) at: (Name, u64),
    /// When.
    pub(crate) made: u64,
    /// How it ended; none of the second when the connection broke.
    pub(crate) ended: Option<(u64, Option<JobEnd>)>,
    /// What was handed in, with its instants from zero, and its work.
    pub(crate) sent: (Job, u64),
    /// Whether it is sent again when it ends without an answer.
    pub(crate) again: bool,
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
    pub(crate) works: BTreeMap<Name, (f64, Need)>,
    pub(crate) visits: u64,
    pub(crate) open_visits: BTreeMap<u64, (Name, u64, WorkerCall)>,
    pub(crate) births: u64,
    pub(crate) policy: Policy,
    pub(crate) seen: Seen,
    pub(crate) traced: bool,
    pub(crate) trace: Vec<String>,
    pub(crate) rng: SmallRng,
    waiting: BTreeMap<u64, Name>,
    timeline: Timeline<Happening>,
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
            seen: Seen::default(),
            traced: false,
            trace: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            waiting: BTreeMap::new(),
            timeline: Timeline::new(),
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
        while let Some((at, happening)) = self.timeline.next(end) {
            self.now = at;
            self.happen(happening);
        }
        self.now = end;
    }

    /// Cuts two hosts, zones, workers or one of them and the store from each other.
    pub fn cut(&mut self, a: &str, b: &str) {
        self.net.cut(a, b);
    }

    pub(crate) fn at(&mut self, at: u64, happening: Happening) {
        self.timeline.plan(at.max(self.now), happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Event { host, birth, event } => self.deliver(&host, birth, event),
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
            Happening::Deadline { call } => self.hang_up(call),
            Happening::Resend { call } => self.resend(call),
            Happening::Drained { host, birth } => {
                if self.hosts.get(&host).is_some_and(|it| it.birth == birth) {
                    self.kill(&host);
                }
            }
        }
    }

    /// Hands a job in at a host; its deadline is counted from zero.
    pub(crate) fn submit(&mut self, name: &str, at: &Name, job: Job, work_ms: u64, again: bool) {
        let Some(host) = self.hosts.get(at).filter(|host| host.fleet.is_some()) else { return };
        let (birth, time) = (host.birth, host.time(self.now));
        let number = self.calls.len() as u64;
        let need = job.steps.first().map_or_else(none, |step: &Step| step.need);
        self.works.insert(job.id.clone(), ((work_ms * 1_000) as f64, need));
        let log = CallLog {
            name: name.to_owned(),
            id: job.id.clone(),
            at: (at.clone(), birth),
            made: self.now,
            ended: None,
            sent: (job.clone(), work_ms),
            again,
        };
        self.calls.insert(number, log);
        let patience = job.deadline.as_micros();
        self.at(self.now + patience, Happening::Deadline { call: number });
        let job = Job { arrived: time, deadline: time.after_us(patience), ..job };
        self.deliver(at, birth, FleetEvent::Call { call: CallId(number), job });
    }

    /// Lets a caller hang up.
    pub(crate) fn leave(&mut self, name: &str) {
        let open = self.calls.iter().find(|(_, call)| call.name == name);
        if let Some((number, _)) = open {
            self.hang_up(*number);
        }
    }

    fn hang_up(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        let (host, birth) = call.at.clone();
        self.end_call(number, None);
        self.deliver(&host, birth, FleetEvent::Hangup(CallId(number)));
    }

    pub(crate) fn answered(&mut self, number: u64, end: JobEnd) {
        self.end_call(number, Some(end));
    }

    fn end_call(&mut self, number: u64, end: Option<JobEnd>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        call.ended = Some((now, end));
        let unknown = matches!(end, None | Some(JobEnd::Lost(_)));
        if unknown && call.again {
            self.at(now + RESEND_US, Happening::Resend { call: number });
        }
    }

    /// Sends a job again, at any host of the zone that lives.
    fn resend(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (name, (job, work_ms)) = (format!("{}+", call.name), call.sent.clone());
        let zone = self.hosts.get(&call.at.0).map(|host| host.zone.clone());
        let lives = self.hosts.iter().filter(|(_, host)| {
            host.fleet.is_some() && host.paused.is_none() && Some(&host.zone) == zone.as_ref()
        });
        let lives: Vec<Name> = lives.map(|(name, _)| name.clone()).collect();
        let Some(at) = lives.get(number as usize % lives.len().max(1)).cloned() else { return };
        self.submit(&name, &at, job, work_ms, false);
    }

    pub(crate) fn connections_end(&mut self, host: &Name, birth: u64) {
        let at = (host.clone(), birth);
        let open = self.calls.iter().filter(|(_, call)| call.ended.is_none() && call.at == at);
        let numbers: Vec<u64> = open.map(|(number, _)| *number).collect();
        for number in numbers {
            self.end_call(number, None);
        }
    }

    fn arrive(&mut self, visit: u64, worker: &Name) {
        let Some((host, _, call)) = self.open_visits.get(&visit).cloned() else { return };
        let Some(state) = self.workers.get_mut(worker) else { return };
        if state.dark {
            return;
        }
        if let (Behaviour::Late(ms), WorkerCall::Start(_) | WorkerCall::Stop(_)) =
            (state.behaviour, &call)
        {
            let (worker, born) = (worker.clone(), state.entry.born);
            self.at(self.now + ms * 1_000, Happening::Belated { call, worker, born });
            return;
        }
        if let WorkerCall::Hold(_, order) = &call {
            self.advance(worker);
            let Some(state) = self.workers.get_mut(worker) else { return };
            if let Ok(false) = state.hold(self.now, order) {
                let wait = u64::from(order.wait) * 1_000;
                self.waiting.insert(visit, worker.clone());
                self.at(self.now + wait, Happening::Look { visit, worker: worker.clone() });
                self.schedule(worker);
                return;
            }
        }
        if let Some(event) = self.carry_out(&call) {
            self.reply(visit, &host, worker, event);
        }
    }

    /// Carries an order out; returns what the worker answers.
    fn carry_out(&mut self, call: &WorkerCall) -> Option<FleetEvent> {
        let now = self.now;
        let worker = match call {
            WorkerCall::Start(order) => &order.worker,
            WorkerCall::Stop(order) => &order.worker,
            WorkerCall::Hold(_, order) => &order.worker,
        };
        self.advance(worker);
        let state = self.workers.get_mut(worker)?;
        let event = match call {
            WorkerCall::Start(order) => {
                let id = order.task.split('.').next().unwrap_or_default();
                let (work_us, need) = self.works.get(id).copied().unwrap_or((1.0, none()));
                let new = !state.runs.contains_key(&(order.task.clone(), order.run));
                let end = state.start(now, order, need, work_us);
                if new && matches!(end, StartEnd::Started(_)) {
                    self.seen.started(order);
                }
                FleetEvent::Started {
                    worker: order.worker.clone(),
                    task: order.task.clone(),
                    run: order.run,
                    end,
                }
            }
            WorkerCall::Stop(order) => FleetEvent::Stopped {
                worker: order.worker.clone(),
                task: order.task.clone(),
                run: order.run,
                end: state.stop(now, order),
            },
            WorkerCall::Hold(number, order) => {
                let end = match state.hold(now, order) {
                    Ok(_) => Ok(state.held(now)),
                    Err(fault) => Err(fault),
                };
                FleetEvent::Held { worker: order.worker.clone(), number: *number, end }
            }
        };
        let worker = worker.clone();
        self.check_worker(&worker);
        self.schedule(&worker);
        self.tell_ends(&worker);
        Some(event)
    }

    fn belated(&mut self, call: &WorkerCall, worker: &Name, born: u64) {
        if self.workers.get(worker).is_some_and(|state| state.entry.born == born) {
            self.carry_out(call);
        }
    }

    fn reply(&mut self, visit: u64, host: &Name, worker: &Name, event: FleetEvent) {
        if self.net.reaches(worker, host) {
            let delay = self.net.delay_us(worker, host, &mut self.rng);
            self.at(self.now + delay, Happening::Return { visit, event });
        }
    }

    fn look(&mut self, visit: u64, worker: &Name) {
        if self.waiting.remove(&visit).is_none() {
            return;
        }
        let Some((host, _, WorkerCall::Hold(number, _))) = self.open_visits.get(&visit).cloned()
        else {
            return;
        };
        self.advance(worker);
        let Some(state) = self.workers.get(worker).filter(|state| !state.dark) else { return };
        let end = Ok(state.held(self.now));
        let event = FleetEvent::Held { worker: worker.clone(), number, end };
        self.reply(visit, &host, worker, event);
    }

    fn expire(&mut self, visit: u64) {
        let Some((host, birth, call)) = self.open_visits.remove(&visit) else { return };
        self.waiting.remove(&visit);
        let event = match call {
            WorkerCall::Start(order) => FleetEvent::Started {
                worker: order.worker,
                task: order.task,
                run: order.run,
                end: StartEnd::Fault(CallFault::Lost),
            },
            WorkerCall::Stop(order) => FleetEvent::Stopped {
                worker: order.worker,
                task: order.task,
                run: order.run,
                end: Err(CallFault::Lost),
            },
            WorkerCall::Hold(number, order) => {
                FleetEvent::Held { worker: order.worker, number, end: Err(CallFault::Lost) }
            }
        };
        self.deliver(&host, birth, event);
    }

    /// Brings a worker up to date, and tells those who wait of ends.
    fn advance(&mut self, worker: &Name) {
        let now = self.now;
        if let Some(state) = self.workers.get_mut(worker) {
            state.advance(now);
        }
    }

    fn work(&mut self, worker: &Name) {
        self.advance(worker);
        self.tell_ends(worker);
        self.schedule(worker);
    }

    fn tell_ends(&mut self, worker: &Name) {
        if !self.workers.get(worker).is_some_and(Worker::has_ends) {
            return;
        }
        let visits: Vec<u64> =
            self.waiting.iter().filter(|(_, at)| *at == worker).map(|(visit, _)| *visit).collect();
        for visit in visits {
            self.look(visit, worker);
        }
    }

    pub(crate) fn schedule(&mut self, worker: &Name) {
        let next = self.workers.get(worker).and_then(Worker::next);
        if let Some(at) = next {
            self.at(at.max(self.now + 1), Happening::Work { worker: worker.clone() });
        }
    }

    fn swap(&mut self, host: Name, birth: u64, token: u64, op: &StoreOp) {
        let at = self.now + self.store.delay_us / 2;
        let mut stored = Stored::Lost;
        if !self.store.down && self.net.reaches(&host, STORE) {
            let (outcome, key) = self.store.swap(op);
            stored = outcome;
            if let Some(key) = key {
                self.publish(&key);
            }
            if self.store.losing > 0 {
                self.store.losing -= 1;
                stored = Stored::Lost;
            }
        }
        let at = if stored == Stored::Lost { at + 700_000 } else { at };
        self.at(at, Happening::Event { host, birth, event: FleetEvent::Stored { token, stored } });
    }

    fn register(&mut self, entry: &HostEntry) {
        let host = &entry.peer.host;
        if self.store.down || !self.net.reaches(host, STORE) {
            let again = Happening::Register { entry: entry.clone() };
            self.at(self.now + 300_000, again);
            return;
        }
        let key = Name::from(format!("{HOST_KEYS}{host}"));
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
            fleet: None,
            birth: 0,
            zero: 0,
            paused: None,
            flushing: false,
            wake: 0,
        }
    }
}

impl Worker {
    /// Returns whether the store lists it no more.
    pub(crate) fn unlisted(&self) -> bool {
        self.entry.address.is_empty()
    }
}
