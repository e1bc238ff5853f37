//! Which process is in which availability zone, and what lies between zones.

use std::collections::{HashMap, HashSet};
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use crate::lock::lock;

/// How long a stopped relay waits before it looks whether its end has come, in milliseconds.
const LOOK_MS: u64 = 100;

/// Topology of hosts, distances and cuts between zones.
#[derive(Debug, Default)]
pub(crate) struct Topology {
    state: Mutex<State>,
    healed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    /// Topology by host.
    hosts: HashMap<String, String>,
    /// Hosts by process id.
    pids: HashMap<u32, String>,
    /// One-way distance between two zones, in microseconds.
    distance_us: u64,
    /// Pairs of zones that are cut off from each other, in both orders.
    cuts: HashSet<(String, String)>,
}

impl Topology {
    /// Makes zones that are `distance_us` microseconds apart, one way.
    pub(crate) fn new(distance_us: u64) -> Self {
        let state = State { distance_us, ..State::default() };
        Self { state: Mutex::new(state), healed: Condvar::new() }
    }

    /// Notes the zone of a host.
    pub(crate) fn set_host_zone(&self, host: &str, zone: &str) {
        lock(&self.state).hosts.insert(host.to_owned(), zone.to_owned());
    }

    /// Notes that a host runs as this process now.
    pub(crate) fn set_host_pid(&self, host: &str, pid: u32) {
        let mut state = lock(&self.state);
        state.pids.retain(|_, name| name != host);
        state.pids.insert(pid, host.to_owned());
    }

    /// Returns the ids of the processes.
    pub(crate) fn pids(&self) -> Vec<u32> {
        lock(&self.state).pids.keys().copied().collect()
    }

    /// Returns the zone of a process.
    pub(crate) fn process_zone(&self, pid: u32) -> Option<String> {
        let state = lock(&self.state);
        state.pids.get(&pid).and_then(|host| state.hosts.get(host)).cloned()
    }

    /// Returns the one-way distance from a host to a zone, in microseconds.
    pub(crate) fn host_distance_us(&self, host: &str, zone: &str) -> u64 {
        let state = lock(&self.state);
        let near = state.hosts.get(host).is_none_or(|own| own == zone);
        if near { 0 } else { state.distance_us }
    }

    /// Returns the one-way distance between two zones, in microseconds.
    pub(crate) fn zone_distance_us(&self, a: &str, b: &str) -> u64 {
        if a == b { 0 } else { lock(&self.state).distance_us }
    }

    /// Cuts a zone off from all others.
    pub(crate) fn isolate(&self, zone: &str) {
        let mut state = lock(&self.state);
        let all: HashSet<String> = state.hosts.values().cloned().collect();
        for other in all.into_iter().filter(|other| other != zone) {
            state.cut_pair(zone, &other);
        }
    }

    /// Cuts two zones off from each other.
    pub(crate) fn cut_pair(&self, a: &str, b: &str) {
        lock(&self.state).cut_pair(a, b);
    }

    /// Ends all cuts.
    pub(crate) fn heal(&self) {
        lock(&self.state).cuts.clear();
        self.healed.notify_all();
    }

    /// Tells whether a host is cut off from a zone.
    pub(crate) fn is_cut_off(&self, host: &str, zone: &str) -> bool {
        let state = lock(&self.state);
        let own = state.hosts.get(host).cloned().unwrap_or_default();
        state.cuts.contains(&(own, zone.to_owned()))
    }

    /// Waits while two zones are cut off from each other; false when `ended` says to give up.
    pub(crate) fn wait_connected(&self, a: &str, b: &str, ended: impl Fn() -> bool) -> bool {
        let pair = (a.to_owned(), b.to_owned());
        let mut state = lock(&self.state);
        while state.cuts.contains(&pair) {
            if ended() {
                return false;
            }
            let wait = self.healed.wait_timeout(state, Duration::from_millis(LOOK_MS));
            state = wait.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
        true
    }
}

impl State {
    fn cut_pair(&mut self, a: &str, b: &str) {
        self.cuts.insert((a.to_owned(), b.to_owned()));
        self.cuts.insert((b.to_owned(), a.to_owned()));
    }
}
