//! Hosts in the world: fleets that start, pause and end.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    EvacuationState, Fleet, FleetEffect, FleetEvent, FleetSetup, HOST_KEY_PREFIX, HostEntry,
    POOL_KEY_PREFIX, WorkerCall, worker_call_deadline,
};
use endivestile_kernel::{Peer, Time};

use super::world::{FleetWorld, Happening};

/// Lease of workers in the worlds, in milliseconds.
const WORKER_LEASE_MS: u64 = 650;
/// Lease of other hosts' tasks, in milliseconds.
const HOST_LEASE_MS: u64 = 520;
/// Wait before frames are sent, in microseconds: what comes together shares them.
const FLUSH_US: u64 = 50;

/// A host.
#[derive(Debug)]
pub(crate) struct Host {
    /// Availability zone.
    pub(crate) zone: Name,
    /// Processor time that it may use, in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Bandwidth of its link, in kilobits a second; 0 when it is not known.
    pub(crate) link_kbps: u32,
    /// Its fleet, none while it is dead.
    pub(crate) fleet: Option<Fleet>,
    /// Incarnation.
    pub(crate) birth: u64,
    /// When this incarnation's clock read zero.
    pub(crate) zero: u64,
    /// Events that came while it was paused.
    pub(crate) paused: Option<Vec<FleetEvent>>,
    /// Time for which its clock stood still while paused.
    pub(crate) flushing: bool,
    /// When it next wakes.
    pub(crate) wake: u64,
    /// Processor time that each event takes, in microseconds.
    pub(crate) cost_us: u64,
    /// Until when its processor is busy with events that have come.
    pub(crate) free_at: u64,
    /// Zones that the store has told it to evacuate or to take back: the revision of that,
    /// and when it was told.
    pub(crate) evacuations: BTreeMap<Name, (u64, u64)>,
    /// Whether it has read the store, and nothing has kept it from watching since.
    pub(crate) reads: bool,
    /// Whether it owned workers when it was last looked at.
    pub(crate) owns: bool,
}

impl Host {
    /// Returns its registration.
    fn entry(&self, name: &Name, leaving: bool) -> HostEntry {
        let peer = Peer::new(name.clone(), self.birth);
        let (zone, address) = (self.zone.clone(), name.clone());
        HostEntry {
            peer,
            zone,
            address,
            leaving,
            cpu_milli: self.cpu_milli,
            link_kbps: self.link_kbps,
        }
    }

    /// Returns the host's clock.
    pub(crate) fn time(&self, now: u64) -> Time {
        Time::from_micros(now - self.zero)
    }
}

impl FleetWorld {
    /// Starts a host's process.
    pub fn start(&mut self, name: &Name) {
        let (now, birth) = (self.now, self.births + 1);
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.fleet.is_some() {
            return;
        }
        self.births = birth;
        let setup = FleetSetup {
            me: Peer::new(name.clone(), birth),
            zone: host.zone.clone(),
            cpu_milli: host.cpu_milli,
            link_kbps: host.link_kbps,
            remote_factor_milli: self.remote_milli,
            address: name.clone(),
            worker_lease_ms: WORKER_LEASE_MS,
            host_lease_ms: HOST_LEASE_MS,
            policy: self.policy,
        };
        host.fleet = Some(Fleet::new(setup));
        host.birth = birth;
        host.zero = now;
        host.paused = None;
        host.flushing = false;
        host.evacuations.clear();
        host.owns = false;
        host.reads = false;
        host.wake = now;
        let entry = host.entry(name, false);
        self.at(now, Happening::Wake { host: name.clone(), birth });
        self.at(now + 5_000, Happening::Register { entry });
        self.at(now + 8_000, Happening::Read { host: name.clone(), birth });
    }

    /// Kills a host's process; callers lose their connections.
    pub fn kill(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.fleet = None;
        host.paused = None;
        let birth = host.birth;
        self.connections_end(name, birth);
    }

    /// Freezes a host's process.
    pub fn pause(&mut self, name: &Name) {
        if let Some(host) = self.hosts.get_mut(name).filter(|host| host.fleet.is_some()) {
            host.paused.get_or_insert_default();
        }
    }

    /// Lets a frozen process go on; what came meanwhile comes first.
    pub fn resume(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let birth = host.birth;
        for event in host.paused.take().unwrap_or_default() {
            self.at(self.now, Happening::Event { host: name.clone(), birth, event });
        }
        self.at(self.now, Happening::Wake { host: name.clone(), birth });
    }

    /// Tells a host to stop gracefully.
    pub fn stop(&mut self, name: &Name) {
        let birth = self.hosts.get(name).map_or(0, |host| host.birth);
        self.deliver(name, birth, FleetEvent::Shutdown);
    }

    /// Hands an event to a host, in its turn if the host is short of processor time.
    pub(crate) fn deliver(&mut self, name: &Name, birth: u64, event: FleetEvent) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.cost_us == 0 && host.free_at <= now {
            return self.take(name, birth, event);
        }
        host.free_at = host.free_at.max(now) + host.cost_us;
        let (at, host) = (host.free_at, name.clone());
        self.at(at, Happening::Taken { host, birth, event });
    }

    pub(crate) fn take(&mut self, name: &Name, birth: u64, event: FleetEvent) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name).filter(|host| host.birth == birth) else {
            return;
        };
        if let Some(paused) = &mut host.paused {
            paused.push(event);
            return;
        }
        let time = host.time(now);
        let Some(fleet) = &mut host.fleet else { return };
        if let FleetEvent::Evacuation(state) = &event {
            let told = host.evacuations.entry(state.zone.clone()).or_default();
            if told.0 < state.revision {
                *told = (state.revision, now);
            }
        }
        fleet.handle(time, event);
        if !host.flushing {
            host.flushing = true;
            self.at(now + FLUSH_US, Happening::Flush { host: name.clone(), birth });
        }
    }

    pub(crate) fn flush(&mut self, name: &Name, birth: u64) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name).filter(|host| host.birth == birth) else {
            return;
        };
        host.flushing = false;
        if host.paused.is_some() {
            return;
        }
        let time = host.time(now);
        let zero = host.zero;
        let Some(fleet) = &mut host.fleet else { return };
        let mut effects = Vec::new();
        fleet.flush(time, &mut effects);
        let owned = std::mem::replace(&mut host.owns, fleet.owns_workers());
        let listed = host.owns && !owned;
        let wake = zero + fleet.deadline().as_micros();
        if wake != host.wake {
            host.wake = wake;
            self.at(wake, Happening::Wake { host: name.clone(), birth });
        }
        for effect in effects {
            self.carry(name, birth, effect);
        }
        if listed {
            let host = name.clone();
            self.at(now + self.store.delay_us / 2, Happening::List { host, birth });
        }
    }

    pub(crate) fn wake(&mut self, name: &Name, birth: u64) {
        let Some(host) = self.hosts.get(name).filter(|host| host.birth == birth) else { return };
        if host.free_at > self.now {
            let at = host.free_at;
            return self.at(at, Happening::Wake { host: name.clone(), birth });
        }
        if host.paused.is_none() {
            self.flush(name, birth);
        }
    }

    fn carry(&mut self, name: &Name, birth: u64, effect: FleetEffect) {
        match effect {
            FleetEffect::Answer { call, end } => self.answered(call.0, end),
            FleetEffect::Send { address, frame } => {
                if self.net.reaches(name, &address) && !self.net.loses(&mut self.rng) {
                    let delay = self.net.delay_us(name, &address, &mut self.rng);
                    let to = frame.to.birth;
                    let event = FleetEvent::Frame(Box::new(frame));
                    self.at(self.now + delay, Happening::Event { host: address, birth: to, event });
                } else if let Some(host) = self.hosts.get(&address) {
                    let peer = Peer::new(address.clone(), host.birth);
                    let event = FleetEvent::LinkDown(peer);
                    let host = name.clone();
                    self.at(self.now + 1_000, Happening::Event { host, birth, event });
                }
            }
            FleetEffect::WorkerCall(call) => self.call(name, birth, call),
            FleetEffect::StoreCall { op_id: token, op } => {
                self.at(
                    self.now + self.store.delay_us / 2,
                    Happening::Store { host: name.clone(), birth, token, op },
                );
            }
            FleetEffect::RegisterLeaving => {
                let Some(host) = self.hosts.get(name) else { return };
                let entry = host.entry(name, true);
                self.at(self.now + 1_000, Happening::Register { entry });
            }
            FleetEffect::Drained => {
                self.at(self.now, Happening::Drained { host: name.clone(), birth });
            }
            FleetEffect::Log(note) => {
                if self.traced {
                    self.trace.push(format!(
                        "{:>9} {name} {} {:?} {:?}",
                        self.now / 1_000,
                        note.event,
                        note.id,
                        note.pairs
                    ));
                }
            }
            FleetEffect::Reconnect(_)
            | FleetEffect::Count(_)
            | FleetEffect::Gauge(..)
            | FleetEffect::Time(..) => {}
        }
    }

    /// Sends a call to a worker.
    fn call(&mut self, name: &Name, birth: u64, call: WorkerCall) {
        let worker = match &call {
            WorkerCall::Start(order) => order.worker.clone(),
            WorkerCall::Stop(order) => order.worker.clone(),
            WorkerCall::Renew(_, order) => {
                self.seen.holds += 1;
                order.worker.clone()
            }
        };
        let due = worker_call_deadline(&call, Time::from_micros(self.now)).as_micros();
        self.visits += 1;
        let visit = self.visits;
        self.open_visits.insert(visit, (name.clone(), birth, call));
        self.at(due, Happening::Expire { visit });
        if self.net.reaches(name, &worker) {
            let delay = self.net.delay_us(name, &worker, &mut self.rng);
            self.at(self.now + delay, Happening::Arrive { visit, worker });
        }
    }

    /// Tells every host that can hear the store of a key.
    pub(crate) fn publish(&mut self, key: &Name) {
        let hosts: Vec<(Name, u64)> =
            self.hosts.iter().map(|(name, host)| (name.clone(), host.birth)).collect();
        for (host, birth) in hosts {
            self.tell_key(&host, birth, key);
        }
    }

    fn tell_key(&mut self, host: &Name, birth: u64, key: &Name) {
        let Some((revision, value)) = self.store.keys.get(key).cloned() else { return };
        if self.store.down || !self.net.reaches(host, crate::world::net::STORE) {
            return;
        }
        let event = if let Some(pool) = key.strip_prefix(POOL_KEY_PREFIX) {
            FleetEvent::Record { pool: Name::from(pool), revision, value }
        } else if let Some(name) = key.strip_prefix(HOST_KEY_PREFIX) {
            let entry = serde_json::from_slice(&value).ok();
            FleetEvent::Host { name: Name::from(name), entry }
        } else {
            return;
        };
        let at = self.now + self.store.delay_us;
        self.at(at, Happening::Event { host: host.clone(), birth, event });
    }

    /// Has a zone evacuated, or takes it back, and tells every host that can hear the store.
    pub fn evacuate(&mut self, zone: &Name, evacuated: bool) {
        self.store.evacuate(zone, evacuated);
        let hosts: Vec<(Name, u64)> =
            self.hosts.iter().map(|(name, host)| (name.clone(), host.birth)).collect();
        for (host, birth) in hosts {
            self.tell_evacuation(&host, birth, zone);
        }
    }

    /// Tells a host of a zone's state, as a watch does.
    fn tell_evacuation(&mut self, host: &Name, birth: u64, zone: &Name) {
        if self.store.down || !self.net.reaches(host, crate::world::net::STORE) {
            return;
        }
        let Some(&(revision, evacuated)) = self.store.evacuations.get(zone) else { return };
        let event =
            FleetEvent::Evacuation(EvacuationState { zone: zone.clone(), revision, evacuated });
        let at = self.now + self.store.delay_us;
        self.at(at, Happening::Event { host: host.clone(), birth, event });
    }

    /// Tells a host what operators have written: all that stands at the first reading, also
    /// after the store was away, and later what it was told of before, as watches do.
    fn tell_evacuations(&mut self, host: &Name, birth: u64) {
        let told = self.hosts.get(host).map(|host| host.evacuations.clone()).unwrap_or_default();
        let zones: Vec<Name> = self.store.evacuations.keys().cloned().collect();
        for zone in zones {
            let stands = self.store.evacuations.get(&zone).is_some_and(|(_, evacuated)| *evacuated);
            if stands || told.contains_key(&zone) {
                self.tell_evacuation(host, birth, &zone);
            }
        }
        let Some(state) = self.hosts.get_mut(host) else { return };
        if std::mem::replace(&mut state.reads, true) {
            return;
        }
        let event = FleetEvent::EvacuationsRead(self.store.revision);
        let at = self.now + self.store.delay_us;
        self.at(at, Happening::Event { host: host.clone(), birth, event });
    }

    /// Reads the whole store for a host, as after each break of its watch.
    pub(crate) fn read_all(&mut self, name: &Name, birth: u64) {
        if !self.hosts.get(name).is_some_and(|host| host.birth == birth && host.fleet.is_some()) {
            return;
        }
        let again = Happening::Read { host: name.clone(), birth };
        self.at(self.now + 500_000, again);
        if self.store.down || !self.net.reaches(name, crate::world::net::STORE) {
            if let Some(host) = self.hosts.get_mut(name) {
                host.reads = false;
            }
            return self.deliver(name, birth, FleetEvent::StoreAvailable(false));
        }
        self.tell_evacuations(name, birth);
        let keys: Vec<Name> = self.store.keys.keys().cloned().collect();
        for key in keys {
            self.tell_key(name, birth, &key);
        }
        let at = self.now + self.store.delay_us;
        let table = self.table.clone();
        for event in [FleetEvent::StoreAvailable(true), FleetEvent::Routes(table), self.list()] {
            self.at(at, Happening::Event { host: name.clone(), birth, event });
        }
    }

    /// Reads the list of workers for a host.
    pub(crate) fn read_list(&mut self, name: &Name, birth: u64) {
        if self.store.down || !self.net.reaches(name, crate::world::net::STORE) {
            return;
        }
        let (host, event) = (name.clone(), self.list());
        self.at(self.now + self.store.delay_us / 2, Happening::Event { host, birth, event });
    }

    fn list(&self) -> FleetEvent {
        let workers = self.workers.values().filter(|worker| worker.listed(self.now));
        FleetEvent::Workers(workers.map(|worker| worker.entry.clone()).collect())
    }
}
