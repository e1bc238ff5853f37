//! The hosts of the deployment as one host sees them.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peer;

/// State of a host as one peer sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    /// Responds and accepts new work.
    Live,
    /// Responds, but accepts no new work.
    Leaving,
    /// Unresponsive for longer than the suspicion limit, or refuses connections.
    Suspect,
    /// This incarnation has ended: a later one is known, which could not have bound the address
    /// otherwise, or operators removed the host from the inventory.
    Gone,
}

/// One host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// Latest incarnation known.
    pub peer: Peer,
    /// Availability zone.
    pub zone: Name,
    /// Address of its links.
    pub address: Name,
    /// Relative weight in rendezvous hashing.
    pub weight: u32,
    /// State.
    pub state: HostState,
}

/// All hosts, including this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This incarnation.
    pub me: Peer,
    /// Zone of this host.
    pub zone: Name,
    /// Hosts by name.
    pub hosts: BTreeMap<Name, HostView>,
    /// Incarnations that were replaced by later ones.
    pub ended: BTreeSet<Peer>,
    /// Whether the store is available.
    pub store_available: bool,
    /// Whether the hosts come from an adopted inventory.
    pub has_inventory: bool,
}

impl View {
    /// Returns the state of an incarnation. Incarnations before the latest are gone, and so are
    /// hosts that are not in an adopted inventory. Only of incarnations that this host has never
    /// known, births decide which are earlier ones.
    pub fn state(&self, peer: &Peer) -> HostState {
        match self.hosts.get(&peer.host) {
            Some(host) if host.peer.birth == peer.birth => host.state,
            Some(host) if host.peer.birth > peer.birth => HostState::Gone,
            Some(_) if self.ended.contains(peer) => HostState::Gone,
            None if self.has_inventory => HostState::Gone,
            _ => HostState::Suspect,
        }
    }

    /// Returns the hosts that accept new work.
    pub fn live(&self) -> impl Iterator<Item = &HostView> {
        self.hosts.values().filter(|host| host.state == HostState::Live)
    }

    /// Returns the host whose share contains a backend: the first in rendezvous order among the
    /// live hosts of the backend's zone, of all zones if that zone has none, or among the leaving
    /// hosts if no host is live.
    ///
    /// While a zone has no live host but suspect ones, its backends belong to no share: the zone is
    /// probably partitioned, its own hosts continue to use them, and a task sent there from outside
    /// would be lost.
    pub fn placer_of(&self, zone: &str, server: &str) -> Option<&HostView> {
        let zone_hosts = self.live().filter(|host| host.zone.as_ref() == zone);
        let in_zone = best_host(zone_hosts, server);
        if in_zone.is_some() || self.has_suspect_host(zone) {
            return in_zone;
        }
        best_host(self.live(), server).or_else(|| best_host(self.leaving(), server))
    }

    fn has_suspect_host(&self, zone: &str) -> bool {
        let suspect = |host: &HostView| host.state == HostState::Suspect;
        self.hosts.values().any(|host| host.zone.as_ref() == zone && suspect(host))
    }

    fn leaving(&self) -> impl Iterator<Item = &HostView> {
        self.hosts.values().filter(|host| host.state == HostState::Leaving)
    }

    /// Returns the live hosts in rendezvous order for `key`, best first.
    pub fn ranked(&self, key: &str) -> Vec<&HostView> {
        let mut hosts: Vec<(f64, &HostView)> =
            self.live().map(|host| (score(host, key), host)).collect();
        hosts.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        hosts.into_iter().map(|(_, host)| host).collect()
    }
}

fn best_host<'a>(hosts: impl Iterator<Item = &'a HostView>, key: &str) -> Option<&'a HostView> {
    let scored = hosts.map(|host| (score(host, key), host));
    scored.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, host)| host)
}

/// Weighted rendezvous score: the larger the weight, the nearer to zero.
fn score(host: &HostView, key: &str) -> f64 {
    let seed = xxh3_64_with_seed(host.peer.host.as_bytes(), 0);
    let hash = xxh3_64_with_seed(key.as_bytes(), seed);
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    unit.ln() / f64::from(host.weight.max(1))
}
