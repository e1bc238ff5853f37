//! Fake of the platform: its store, its leases and its list of hosts.

use std::collections::BTreeMap;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{Event, PlatformState, Registration, ShardRecord, StoreOp, StoreResult};

use super::net::STORE;
use super::{ScheduledEvent, World};

/// Interval between checks of the leases, in microseconds.
const LEASE_CHECK_US: u64 = 500_000;
/// Duration of the check of a configuration, in microseconds.
const CONFIG_CHECK_US: u64 = 50_000;
/// Time after which a lease expires without renewal, in microseconds.
const LEASE_TTL_US: u64 = 5_000_000;

/// Registration of a host and the virtual time at which its lease was last renewed.
#[derive(Debug)]
pub(super) struct Lease {
    registration: Registration,
    renewed_at: u64,
}

/// State and faults of the platform's services.
#[derive(Debug)]
pub(super) struct Platform {
    pub(super) down: bool,
    /// Duration of a store call in each direction, in microseconds.
    pub(super) delay_us: u64,
    /// Number of coming answers that are lost after their change took effect.
    pub(super) answers_to_lose: u32,
    /// Number of store calls so far.
    pub(super) calls: u64,
    /// Revision of the newest configuration.
    pub(super) revision: u64,
    /// Virtual time at which the newest configuration was accepted; `None` for the first.
    pub(super) accepted: Option<u64>,
    pub(super) registered: BTreeMap<Name, Lease>,
    pub(super) listed_states: BTreeMap<Name, PlatformState>,
    pub(super) planned_stops: BTreeMap<Name, bool>,
    /// Revision of the last change of a value.
    last_revision: u64,
    /// Values with the revision of their last change.
    values: BTreeMap<Name, (u64, Bytes)>,
}

impl Platform {
    /// Creates a platform that holds a configuration of this revision and nothing else.
    pub(super) fn new(revision: u64) -> Self {
        Self {
            down: false,
            delay_us: 2_000,
            answers_to_lose: 0,
            calls: 0,
            revision,
            accepted: None,
            registered: BTreeMap::new(),
            listed_states: BTreeMap::new(),
            planned_stops: BTreeMap::new(),
            last_revision: 0,
            values: BTreeMap::new(),
        }
    }

    /// Returns the home in a shard's record.
    pub(super) fn shard_home(&self, shard: u32) -> Option<Name> {
        let (_, value) = self.values.get(&ShardRecord::key(shard))?;
        Some(ShardRecord::decode(value)?.home.host)
    }

    /// Executes a store operation; returns the key if it changed.
    fn apply(&mut self, op: &StoreOp) -> (StoreResult, Option<Name>) {
        match op {
            StoreOp::Get { key } => {
                let (revision, value) = self.values.get(key).cloned().unwrap_or_default();
                (StoreResult::Value { revision, value }, None)
            }
            StoreOp::Swap { key, revision, value } => {
                let current = self.values.get(key).map_or(0, |(revision, _)| *revision);
                if current != *revision {
                    return (StoreResult::Raced, None);
                }
                self.last_revision += 1;
                self.values.insert(key.clone(), (self.last_revision, value.clone()));
                (StoreResult::Swapped(self.last_revision), Some(key.clone()))
            }
        }
    }
}

impl World {
    /// Executes a store call of a host and broadcasts the change.
    pub(super) fn store(&mut self, host: Name, incarnation: u64, op_id: u64, op: StoreOp) {
        if self.platform.down {
            self.deliver_in(
                0,
                &host,
                incarnation,
                Event::StoreCallEnded { op_id, result: StoreResult::Lost },
            );
            return;
        }
        let (mut result, changed) = self.platform.apply(&op);
        if self.platform.answers_to_lose > 0 {
            self.platform.answers_to_lose -= 1;
            result = StoreResult::Lost;
        }
        let delay = self.platform.delay_us;
        self.deliver_in(delay, &host, incarnation, Event::StoreCallEnded { op_id, result });
        if let Some(event) = changed.and_then(|key| self.record_event(&key)) {
            self.broadcast(event);
        }
    }

    /// Returns the event for the record of a shard.
    fn record_event(&self, key: &Name) -> Option<Event> {
        let shard = key.rsplit('/').next()?.parse().ok()?;
        let (revision, value) = self.platform.values.get(key)?.clone();
        Some(Event::ShardRecordChange { shard, revision, value })
    }

    /// Delivers an event to every host that watches the store.
    pub(super) fn broadcast(&mut self, event: Event) {
        let watching = self.sim_hosts.iter().filter(|(_, sim_host)| sim_host.connected);
        let watching: Vec<(Name, u64)> =
            watching.map(|(name, sim_host)| (name.clone(), sim_host.incarnation)).collect();
        let delay = self.platform.delay_us;
        for (name, incarnation) in watching {
            self.deliver_in(delay, &name, incarnation, event.clone());
        }
    }

    /// Connects or disconnects a host's watch, depending on whether it can reach the store.
    pub(super) fn connect(&mut self, name: &Name) {
        let reachable = !self.platform.down && self.net.reaches(name, STORE);
        let Some(sim_host) = self.sim_hosts.get_mut(name) else { return };
        if sim_host.kernel.is_none() || sim_host.connected == reachable {
            return;
        }
        sim_host.connected = reachable;
        let incarnation = sim_host.incarnation;
        self.deliver_in(0, name, incarnation, Event::StoreAvailable(reachable));
        if reachable {
            for event in self.snapshot_events() {
                self.deliver_in(self.platform.delay_us, name, incarnation, event);
            }
            // The daemon checks a configuration on a separate thread, so it arrives after
            // everything else that was read with it.
            let config = self.config_event(self.platform.revision);
            self.deliver_in(self.platform.delay_us + CONFIG_CHECK_US, name, incarnation, config);
        }
    }

    /// Connects or disconnects every watch after a change of faults.
    pub(super) fn reconnect(&mut self) {
        let names: Vec<Name> = self.sim_hosts.keys().cloned().collect();
        for name in names {
            self.connect(&name);
        }
    }

    /// Returns the state of the platform as events, without the configuration.
    fn snapshot_events(&self) -> Vec<Event> {
        let platform = &self.platform;
        let records = platform.values.keys().filter_map(|key| self.record_event(key));
        let mut events: Vec<Event> = records.collect();
        for host in self.sim_hosts.keys() {
            let lease = platform.registered.get(host);
            let registration = lease.map(|lease| lease.registration.clone());
            events.push(Event::HostRegistration { host: host.clone(), registration });
        }
        for (name, state) in &platform.listed_states {
            events.push(Event::PlatformChange { name: name.clone(), state: Some(*state) });
        }
        for (name, stop) in &platform.planned_stops {
            events.push(Event::PlannedStop { name: name.clone(), stop: *stop });
        }
        events
    }

    /// Returns the event that delivers a configuration.
    pub(super) fn config_event(&self, revision: u64) -> Event {
        let config = self.configs[&revision].clone();
        Event::Config { config, text: Bytes::from(revision.to_string()) }
    }

    /// Renews or expires all leases and schedules the next check.
    pub(super) fn check_leases(&mut self) {
        let names: Vec<Name> = self.sim_hosts.keys().cloned().collect();
        for name in names {
            self.renew(&name);
        }
        self.schedule_at(self.now + LEASE_CHECK_US, ScheduledEvent::CheckLeases);
    }

    /// Renews a host's lease, registers the host again or expires the lease.
    fn renew(&mut self, name: &Name) {
        let now = self.now;
        let Some(sim_host) = self.sim_hosts.get(name) else { return };
        let incarnation = sim_host.incarnation;
        let renews = sim_host.is_running() && sim_host.connected;
        let existing = self.platform.registered.get_mut(name);
        match existing {
            Some(lease) if renews && lease.registration.peer.birth == incarnation => {
                lease.renewed_at = now
            }
            _ if renews => {
                let leaving = sim_host.leaving(now);
                self.register(name, leaving);
            }
            Some(lease) if lease.renewed_at + LEASE_TTL_US < now && !self.platform.down => {
                self.platform.registered.remove(name);
                self.broadcast(Event::HostRegistration { host: name.clone(), registration: None });
            }
            _ => {}
        }
    }

    /// Writes a host's registration, if the host is connected.
    pub(super) fn register(&mut self, name: &Name, leaving: bool) {
        let config = self.config();
        let (Some(sim_host), Some(host)) = (self.sim_hosts.get(name), config.hosts.get(name))
        else {
            return;
        };
        if !sim_host.connected {
            return;
        }
        let registration = Registration {
            peer: endivestile_kernel::Peer::new(name.clone(), sim_host.incarnation),
            zone: host.zone.clone(),
            address: host.address.clone(),
            leaving,
        };
        let lease = Lease { registration: registration.clone(), renewed_at: self.now };
        self.platform.registered.insert(name.clone(), lease);
        self.broadcast(Event::HostRegistration {
            host: name.clone(),
            registration: Some(registration),
        });
    }
}
