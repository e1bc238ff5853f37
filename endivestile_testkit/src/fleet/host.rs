//! Simulated hosts: their processes start, pause and end, and read the store.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    EvacuationState, Fleet, FleetEffect, FleetEvent, FleetSetup, HOST_KEY_PREFIX, HostEntry,
    POOL_KEY_PREFIX, WorkerCall, worker_call_deadline,
};
use endivestile_kernel::{Peer, Time};

use super::returned_jobs::{refuse_jobs, report_no_room};
use super::world::{FleetWorld, ScheduledEvent};

/// Duration of worker leases, in milliseconds.
const WORKER_LEASE_MS: u64 = 650;
/// Duration of the leases of tasks that other hosts forward, in milliseconds.
const HOST_LEASE_MS: u64 = 520;
/// Delay before a host sends its frames, in microseconds; effects of events that arrive
/// meanwhile share the frames.
pub(crate) const FLUSH_DELAY_US: u64 = 50;

/// A simulated host.
#[derive(Debug)]
pub(crate) struct Host {
    /// Availability zone.
    pub(crate) zone: Name,
    /// Processor time that the host may use, in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Bandwidth of the host's link, in kilobits per second; 0 if unknown.
    pub(crate) link_kbps: u32,
    /// State machine under test; `None` while the process is dead.
    pub(crate) fleet: Option<Fleet>,
    /// Number of the process start, with the error of the clock at that time.
    pub(crate) incarnation: u64,
    /// Error of the time of day, in process starts of the world.
    pub(crate) clock_error: u64,
    /// Virtual time at which the host's outgoing links were reset last, in microseconds.
    pub(crate) links_reset_at: u64,
    /// Virtual time at which this incarnation's clock read zero, in microseconds.
    pub(crate) clock_zero: u64,
    /// Events that arrived during a pause; `None` while the process runs.
    pub(crate) paused: Option<Vec<FleetEvent>>,
    /// Whether a flush is scheduled.
    pub(crate) flush_scheduled: bool,
    /// Virtual time of the next scheduled timer.
    pub(crate) wake_at: u64,
    /// Processor time that each event takes, in microseconds; 0 for none.
    pub(crate) event_cost_us: u64,
    /// Whether it returns every job that another host sends it with the reason `no_room`. It
    /// must have no job of another host when this is set.
    pub(crate) returns_jobs: bool,
    /// Virtual time until which the processor is busy with earlier events.
    pub(crate) busy_until: u64,
    /// Evacuation state of each zone that this incarnation received: the revision, and the
    /// virtual time at which it arrived.
    pub(crate) evacuations: BTreeMap<Name, (u64, u64)>,
    /// Registration of each worker that this incarnation received: the worker's incarnation, its
    /// processor time in thousandths of a core, and the virtual time at which it arrived.
    pub(crate) capacities: BTreeMap<Name, (u64, u32, u64)>,
    /// Whether the host has read the store and its watch has not broken since.
    pub(crate) synced: bool,
    /// Whether the host owned workers at the last flush.
    pub(crate) owned_workers: bool,
}

impl Host {
    /// Returns the host's current incarnation.
    pub(crate) fn peer(&self, name: &Name) -> Peer {
        Peer::new(name.clone(), self.incarnation)
    }

    /// Returns the host's registration.
    fn entry(&self, name: &Name, leaving: bool) -> HostEntry {
        let peer = self.peer(name);
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

    /// Returns the time on the host's own clock.
    pub(crate) fn time(&self, now: u64) -> Time {
        Time::from_micros(now - self.clock_zero)
    }
}

impl FleetWorld {
    /// Starts a host's process, unless it runs already.
    pub fn start(&mut self, name: &Name) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.fleet.is_some() {
            return;
        }
        self.incarnations += 1;
        let incarnation = self.incarnations + host.clock_error;
        let setup = FleetSetup {
            me: Peer::new(name.clone(), incarnation),
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
        host.incarnation = incarnation;
        host.clock_zero = now;
        host.paused = None;
        host.flush_scheduled = false;
        host.evacuations.clear();
        host.capacities.clear();
        host.owned_workers = false;
        host.synced = false;
        host.wake_at = now;
        let entry = host.entry(name, false);
        self.schedule_at(now, ScheduledEvent::Wake { host: name.clone(), incarnation });
        self.schedule_at(now + 5_000, ScheduledEvent::Register { entry });
        self.schedule_at(
            now + 8_000,
            ScheduledEvent::ReadStore { host: name.clone(), incarnation },
        );
    }

    /// Kills a host's process; its callers lose their connections.
    pub fn kill(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        host.fleet = None;
        host.paused = None;
        let incarnation = host.incarnation;
        self.end_connections(name, incarnation);
    }

    /// Pauses a host's process.
    pub fn pause(&mut self, name: &Name) {
        if let Some(host) = self.hosts.get_mut(name).filter(|host| host.fleet.is_some()) {
            host.paused.get_or_insert_default();
        }
    }

    /// Resumes a paused process; it handles the events of the pause before its timers.
    pub fn resume(&mut self, name: &Name) {
        let Some(host) = self.hosts.get_mut(name) else { return };
        let incarnation = host.incarnation;
        for event in host.paused.take().unwrap_or_default() {
            self.schedule_at(
                self.now,
                ScheduledEvent::Event { host: name.clone(), incarnation, event },
            );
        }
        self.schedule_at(self.now, ScheduledEvent::Wake { host: name.clone(), incarnation });
    }

    /// Requests a graceful shutdown of a host.
    pub fn stop(&mut self, name: &Name) {
        let incarnation = self.hosts.get(name).map_or(0, |host| host.incarnation);
        self.deliver(name, incarnation, FleetEvent::Shutdown);
    }

    /// Delivers an event to a host, after earlier ones if events take processor time there.
    pub(crate) fn deliver(&mut self, name: &Name, incarnation: u64, event: FleetEvent) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name) else { return };
        if host.event_cost_us == 0 && host.busy_until <= now {
            return self.handle_event(name, incarnation, event);
        }
        host.busy_until = host.busy_until.max(now) + host.event_cost_us;
        let (at, host) = (host.busy_until, name.clone());
        self.schedule_at(at, ScheduledEvent::Handle { host, incarnation, event });
    }

    /// Passes an event to a host's fleet, or queues it during a pause.
    pub(crate) fn handle_event(&mut self, name: &Name, incarnation: u64, event: FleetEvent) {
        let now = self.now;
        if matches!(&event, FleetEvent::Frame(frame) if self.is_reset(frame)) {
            return;
        }
        let Some(host) = self.hosts.get_mut(name).filter(|host| host.incarnation == incarnation)
        else {
            return;
        };
        if let Some(paused) = &mut host.paused {
            paused.push(event);
            return;
        }
        let time = host.time(now);
        let event = match event {
            FleetEvent::Frame(frame) if host.returns_jobs => {
                FleetEvent::Frame(Box::new(refuse_jobs(*frame)))
            }
            event => event,
        };
        let Some(fleet) = &mut host.fleet else { return };
        if let FleetEvent::Evacuation(state) = &event {
            let known = host.evacuations.entry(state.zone.clone()).or_default();
            if known.0 < state.revision {
                *known = (state.revision, now);
            }
        }
        if let FleetEvent::Workers(workers) = &event {
            for entry in workers {
                let (incarnation, cpu) = (entry.incarnation, entry.capacity.cpu_milli);
                let known = host.capacities.entry(entry.id.clone()).or_insert((0, 0, now));
                if (known.0, known.1) != (incarnation, cpu) {
                    *known = (incarnation, cpu, now);
                }
            }
        }
        fleet.handle(time, event);
        if !host.flush_scheduled {
            host.flush_scheduled = true;
            self.schedule_at(
                now + FLUSH_DELAY_US,
                ScheduledEvent::Flush { host: name.clone(), incarnation },
            );
        }
    }

    /// Flushes a host's fleet, applies its effects and schedules its next timer.
    pub(crate) fn flush(&mut self, name: &Name, incarnation: u64) {
        let now = self.now;
        let Some(host) = self.hosts.get_mut(name).filter(|host| host.incarnation == incarnation)
        else {
            return;
        };
        host.flush_scheduled = false;
        if host.paused.is_some() {
            return;
        }
        let time = host.time(now);
        let clock_zero = host.clock_zero;
        let Some(fleet) = &mut host.fleet else { return };
        let mut effects = Vec::new();
        fleet.flush(time, &mut effects);
        let owned_before = std::mem::replace(&mut host.owned_workers, fleet.owns_workers());
        let gained_workers = host.owned_workers && !owned_before;
        let wake = clock_zero + fleet.deadline().as_micros();
        if wake != host.wake_at {
            host.wake_at = wake;
            self.schedule_at(wake, ScheduledEvent::Wake { host: name.clone(), incarnation });
        }
        for effect in effects {
            self.apply_effect(name, incarnation, effect);
        }
        if gained_workers {
            let host = name.clone();
            self.schedule_at(
                now + self.store.delay_us / 2,
                ScheduledEvent::ReadWorkerList { host, incarnation },
            );
        }
    }

    /// Handles a timer of a host once its processor is free.
    pub(crate) fn wake(&mut self, name: &Name, incarnation: u64) {
        let Some(host) = self.hosts.get(name).filter(|host| host.incarnation == incarnation) else {
            return;
        };
        if host.busy_until > self.now {
            let at = host.busy_until;
            return self.schedule_at(at, ScheduledEvent::Wake { host: name.clone(), incarnation });
        }
        if host.paused.is_none() {
            self.flush(name, incarnation);
        }
    }

    /// Carries out an effect that a host's fleet requested.
    fn apply_effect(&mut self, name: &Name, incarnation: u64, effect: FleetEffect) {
        match effect {
            FleetEffect::Answer { call, end } => self.handle_answer(call.0, end),
            FleetEffect::Send { address, frame } => {
                let returns = self.hosts.get(name).is_some_and(|host| host.returns_jobs);
                let frame = if returns { report_no_room(frame) } else { frame };
                if self.net.reaches(name, &address) && !self.net.drops_frame(&mut self.rng) {
                    let delay = self.net.delay_us(name, &address, &mut self.rng);
                    let to = frame.to.birth;
                    let event = FleetEvent::Frame(Box::new(frame));
                    self.schedule_at(
                        self.now + delay,
                        ScheduledEvent::Event { host: address, incarnation: to, event },
                    );
                } else if let Some(host) = self.hosts.get(&address) {
                    let event = FleetEvent::LinkDown(host.peer(&address));
                    let host = name.clone();
                    self.schedule_at(
                        self.now + 1_000,
                        ScheduledEvent::Event { host, incarnation, event },
                    );
                }
            }
            FleetEffect::WorkerCall(call) => self.call_worker(name, incarnation, call),
            FleetEffect::StoreCall { op_id, op } => {
                self.schedule_at(
                    self.now + self.store.delay_us / 2,
                    ScheduledEvent::Swap { host: name.clone(), incarnation, op_id, op },
                );
            }
            FleetEffect::RegisterLeaving => {
                let Some(host) = self.hosts.get(name) else { return };
                let entry = host.entry(name, true);
                self.schedule_at(self.now + 1_000, ScheduledEvent::Register { entry });
            }
            FleetEffect::Drained => {
                self.schedule_at(
                    self.now,
                    ScheduledEvent::Drained { host: name.clone(), incarnation },
                );
            }
            FleetEffect::Log(note) => {
                self.observed.record_log(&note);
                if self.trace_enabled {
                    self.trace.push(format!(
                        "{:>9} {name} {} {:?} {:?}",
                        self.now / 1_000,
                        note.event,
                        note.id,
                        note.pairs
                    ));
                }
            }
            FleetEffect::Count(count) => {
                *self.observed.counters.entry(count.name()).or_default() += 1;
            }
            FleetEffect::ReadOperatorKeys
            | FleetEffect::Reconnect(_)
            | FleetEffect::Gauge(..)
            | FleetEffect::Time(..) => {}
        }
    }

    /// Sends a call to a worker.
    fn call_worker(&mut self, name: &Name, incarnation: u64, call: WorkerCall) {
        let worker = match &call {
            WorkerCall::Start(request) => request.worker.clone(),
            WorkerCall::Stop(request) => request.worker.clone(),
            WorkerCall::Renew(_, request) => {
                self.observed.renewals += 1;
                request.worker.clone()
            }
        };
        let due = worker_call_deadline(&call, Time::from_micros(self.now)).as_micros();
        self.last_call_id += 1;
        let call_id = self.last_call_id;
        self.open_worker_calls.insert(call_id, (name.clone(), incarnation, call));
        self.schedule_at(due, ScheduledEvent::CallTimeout { call_id });
        if self.net.reaches(name, &worker) {
            let delay = self.net.delay_us(name, &worker, &mut self.rng);
            self.schedule_at(self.now + delay, ScheduledEvent::Arrive { call_id, worker });
        }
    }

    /// Sends a key's value to every host that can reach the store.
    pub(crate) fn publish(&mut self, key: &Name) {
        let hosts: Vec<(Name, u64)> =
            self.hosts.iter().map(|(name, host)| (name.clone(), host.incarnation)).collect();
        for (host, incarnation) in hosts {
            self.send_key(&host, incarnation, key);
        }
    }

    /// Sends a key's value to a host, as a watch does.
    fn send_key(&mut self, host: &Name, incarnation: u64, key: &Name) {
        let Some((revision, value)) = self.store.keys.get(key).cloned() else { return };
        if self.store.down || !self.net.reaches(host, crate::world::net::STORE) {
            return;
        }
        let event = if let Some(pool) = key.strip_prefix(POOL_KEY_PREFIX) {
            FleetEvent::Record { pool: Name::from(pool), revision, value }
        } else if let Some(name) = key.strip_prefix(HOST_KEY_PREFIX) {
            let entry = serde_json::from_slice(&value).ok();
            FleetEvent::Host { name: Name::from(name), revision, entry }
        } else {
            return;
        };
        let at = self.now + self.store.delay_us;
        self.schedule_at(at, ScheduledEvent::Event { host: host.clone(), incarnation, event });
    }

    /// Evacuates a zone or ends its evacuation, and notifies every host that can reach the store.
    pub fn evacuate(&mut self, zone: &Name, evacuated: bool) {
        self.store.set_evacuated(zone, evacuated);
        let hosts: Vec<(Name, u64)> =
            self.hosts.iter().map(|(name, host)| (name.clone(), host.incarnation)).collect();
        for (host, incarnation) in hosts {
            self.send_evacuation(&host, incarnation, zone);
        }
    }

    /// Sends a zone's evacuation state to a host, as a watch does.
    fn send_evacuation(&mut self, host: &Name, incarnation: u64, zone: &Name) {
        if self.store.down || !self.net.reaches(host, crate::world::net::STORE) {
            return;
        }
        let Some(&(revision, evacuated)) = self.store.evacuations.get(zone) else { return };
        let event =
            FleetEvent::Evacuation(EvacuationState { zone: zone.clone(), revision, evacuated });
        let at = self.now + self.store.delay_us;
        self.schedule_at(at, ScheduledEvent::Event { host: host.clone(), incarnation, event });
    }

    /// Sends a host the evacuated zones and those whose state it received before, as watches do.
    /// The first read, and the first after an outage of the store, ends with a marker that all
    /// states have been read.
    fn send_evacuations(&mut self, host: &Name, incarnation: u64) {
        let known = self.hosts.get(host).map(|host| host.evacuations.clone()).unwrap_or_default();
        let zones: Vec<Name> = self.store.evacuations.keys().cloned().collect();
        for zone in zones {
            let is_evacuated =
                self.store.evacuations.get(&zone).is_some_and(|(_, evacuated)| *evacuated);
            if is_evacuated || known.contains_key(&zone) {
                self.send_evacuation(host, incarnation, &zone);
            }
        }
        let Some(state) = self.hosts.get_mut(host) else { return };
        if std::mem::replace(&mut state.synced, true) {
            return;
        }
        let event = FleetEvent::EvacuationsRead(self.store.revision);
        let at = self.now + self.store.delay_us;
        self.schedule_at(at, ScheduledEvent::Event { host: host.clone(), incarnation, event });
    }

    /// Reads the whole store for a host, as after each break of its watch, and repeats every
    /// 500 ms.
    pub(crate) fn read_store(&mut self, name: &Name, incarnation: u64) {
        if !self
            .hosts
            .get(name)
            .is_some_and(|host| host.incarnation == incarnation && host.fleet.is_some())
        {
            return;
        }
        let retry = ScheduledEvent::ReadStore { host: name.clone(), incarnation };
        self.schedule_at(self.now + 500_000, retry);
        if self.store.down || !self.net.reaches(name, crate::world::net::STORE) {
            if let Some(host) = self.hosts.get_mut(name) {
                host.synced = false;
            }
            return self.deliver(name, incarnation, FleetEvent::StoreAvailable(false));
        }
        self.send_evacuations(name, incarnation);
        let keys: Vec<Name> = self.store.keys.keys().cloned().collect();
        for key in keys {
            self.send_key(name, incarnation, &key);
        }
        let at = self.now + self.store.delay_us;
        let table = self.table.clone();
        for event in
            [FleetEvent::StoreAvailable(true), FleetEvent::Routes(table), self.worker_list_event()]
        {
            self.schedule_at(at, ScheduledEvent::Event { host: name.clone(), incarnation, event });
        }
    }

    /// Reads the list of workers for a host, if it can reach the store.
    pub(crate) fn read_worker_list(&mut self, name: &Name, incarnation: u64) {
        if self.store.down || !self.net.reaches(name, crate::world::net::STORE) {
            return;
        }
        let (host, event) = (name.clone(), self.worker_list_event());
        self.schedule_at(
            self.now + self.store.delay_us / 2,
            ScheduledEvent::Event { host, incarnation, event },
        );
    }

    /// Returns the registrations of the workers that the store lists.
    fn worker_list_event(&self) -> FleetEvent {
        let workers = self.workers.values().filter(|worker| worker.is_listed(self.now));
        FleetEvent::Workers(workers.map(|worker| worker.entry.clone()).collect())
    }
}
