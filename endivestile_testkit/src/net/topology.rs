//! Zones of hosts and their processes, and latency and partitions between zones.

use std::collections::{HashMap, HashSet};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use crate::lock::lock;

/// Interval at which a blocked relay checks whether it was stopped, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Zones of the hosts, and latency and partitions between zones.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    state: Mutex<State>,
    healed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Zones by host name.
    hosts: HashMap<String, String>,
    /// Host names by process id.
    pids: HashMap<u32, String>,
    /// One-way latency between two zones, in microseconds.
    distance_us: u64,
    /// Pairs of disconnected zones, in both orders.
    partitions: HashSet<(String, String)>,
}

impl Topology {
    /// Creates a topology with `distance_us` microseconds of one-way latency between zones.
    pub(crate) fn new(distance_us: u64) -> Self {
        let state = State { distance_us, ..State::default() };
        Self { state: Mutex::new(state), healed: Condvar::new() }
    }

    /// Sets the zone of a host.
    pub(crate) fn set_host_zone(&self, host: &str, zone: &str) {
        lock(&self.state).hosts.insert(host.to_owned(), zone.to_owned());
    }

    /// Sets the current process of a host.
    pub(crate) fn set_host_pid(&self, host: &str, pid: u32) {
        let mut state = lock(&self.state);
        state.pids.retain(|_, name| name != host);
        state.pids.insert(pid, host.to_owned());
    }

    /// Returns the process ids of all hosts.
    pub(crate) fn pids(&self) -> Vec<u32> {
        lock(&self.state).pids.keys().copied().collect()
    }

    /// Returns the zone of a process.
    pub(crate) fn process_zone(&self, pid: u32) -> Option<String> {
        let state = lock(&self.state);
        state.pids.get(&pid).and_then(|host| state.hosts.get(host)).cloned()
    }

    /// Returns the one-way latency from a host to a zone, in microseconds; 0 for an unknown host.
    pub(crate) fn host_distance_us(&self, host: &str, zone: &str) -> u64 {
        let state = lock(&self.state);
        let same_zone = state.hosts.get(host).is_none_or(|own| own == zone);
        if same_zone { 0 } else { state.distance_us }
    }

    /// Returns the one-way latency between two zones, in microseconds.
    pub(crate) fn zone_distance_us(&self, a: &str, b: &str) -> u64 {
        if a == b { 0 } else { lock(&self.state).distance_us }
    }

    /// Disconnects a zone from the zones of all other hosts.
    pub(crate) fn isolate(&self, zone: &str) {
        let mut state = lock(&self.state);
        let zones: HashSet<String> = state.hosts.values().cloned().collect();
        for other in zones.into_iter().filter(|other| other != zone) {
            state.disconnect(zone, &other);
        }
    }

    /// Disconnects two zones from each other.
    pub(crate) fn disconnect(&self, a: &str, b: &str) {
        lock(&self.state).disconnect(a, b);
    }

    /// Reconnects all zones.
    pub(crate) fn heal(&self) {
        lock(&self.state).partitions.clear();
        self.healed.notify_all();
    }

    /// Returns whether a host's zone is disconnected from another zone.
    pub(crate) fn is_disconnected(&self, host: &str, zone: &str) -> bool {
        let state = lock(&self.state);
        let host_zone = state.hosts.get(host).cloned().unwrap_or_default();
        state.partitions.contains(&(host_zone, zone.to_owned()))
    }

    /// Waits until two zones are connected. Returns false when `stopped` returns true first.
    pub(crate) fn wait_connected(&self, a: &str, b: &str, stopped: impl Fn() -> bool) -> bool {
        let pair = (a.to_owned(), b.to_owned());
        let mut state = lock(&self.state);
        while state.partitions.contains(&pair) {
            if stopped() {
                return false;
            }
            let wait = self.healed.wait_timeout(state, Duration::from_millis(POLL_INTERVAL_MS));
            state = wait.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        true
    }
}

impl State {
    fn disconnect(&mut self, a: &str, b: &str) {
        self.partitions.insert((a.to_owned(), b.to_owned()));
        self.partitions.insert((b.to_owned(), a.to_owned()));
    }
}
