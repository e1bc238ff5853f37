//! The hosts of the deployment as one host sees them.

use std::collections::BTreeMap;

use endivestile_config::model::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::Peer;

/// State of a host as one peer sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum HostState {
    /// Answers and takes new work.
    Live,
    /// Answers, takes no new work.
    Leaving,
    /// Silent for longer than the suspicion limit, or refuses connections.
    Suspect,
    /// This incarnation has surely ended: a later one is known, which could not
    /// have bound the address otherwise, or operators took the host out of the
    /// inventory.
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
    /// Relative size.
    pub weight: u32,
    /// State.
    pub state: HostState,
}

/// All hosts, this one among them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    /// This incarnation.
    pub me: Peer,
    /// Zone of this host.
    pub zone: Name,
    /// Hosts by name.
    pub hosts: BTreeMap<Name, HostView>,
    /// Whether the store answers.
    pub store_available: bool,
    /// Whether the hosts are those of an adopted inventory.
    pub has_inventory: bool,
}

impl View {
    /// Returns the state of an incarnation. An earlier one than the latest is
    /// gone, and so is a host that operators took out of the inventory.
    pub fn state(&self, peer: &Peer) -> HostState {
        match self.hosts.get(&peer.host) {
            Some(host) if host.peer.birth > peer.birth => HostState::Gone,
            Some(host) if host.peer.birth == peer.birth => host.state,
            None if self.has_inventory => HostState::Gone,
            _ => HostState::Suspect,
        }
    }

    /// Returns the hosts that take new work.
    pub fn live(&self) -> impl Iterator<Item = &HostView> {
        self.hosts.values().filter(|host| host.state == HostState::Live)
    }

    /// Returns the host that counts the slots of a back end: the first in
    /// rendezvous order among the live hosts of the back end's zone, of all
    /// zones when that zone has none, or of the leaving ones when none lives.
    ///
    /// While a zone's hosts are silent nobody counts its back ends: the zone is
    /// most likely cut off, its own hosts go on with them, and a task sent there
    /// from outside would be lost in the cut.
    pub fn placer_of(&self, zone: &str, server: &str) -> Option<&HostView> {
        let near = self.live().filter(|host| host.zone.as_ref() == zone);
        let near = first(near, server);
        if near.is_some() || self.is_silent(zone) {
            return near;
        }
        first(self.live(), server).or_else(|| first(self.leaving(), server))
    }

    fn is_silent(&self, zone: &str) -> bool {
        let silent = |host: &HostView| host.state == HostState::Suspect;
        self.hosts.values().any(|host| host.zone.as_ref() == zone && silent(host))
    }

    fn leaving(&self) -> impl Iterator<Item = &HostView> {
        self.hosts.values().filter(|host| host.state == HostState::Leaving)
    }

    /// Returns the live hosts in rendezvous order for `key`, best first.
    pub fn ranked(&self, key: &str) -> Vec<&HostView> {
        let mut hosts: Vec<(f64, &HostView)> =
            self.live().map(|host| (rank(host, key), host)).collect();
        hosts.sort_by(|(a, _), (b, _)| b.total_cmp(a));
        hosts.into_iter().map(|(_, host)| host).collect()
    }
}

fn first<'a>(hosts: impl Iterator<Item = &'a HostView>, key: &str) -> Option<&'a HostView> {
    let scored = hosts.map(|host| (rank(host, key), host));
    scored.max_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, host)| host)
}

/// Weighted rendezvous score: the larger the weight, the nearer to zero.
fn rank(host: &HostView, key: &str) -> f64 {
    let seed = xxh3_64_with_seed(host.peer.host.as_bytes(), 0);
    let hash = xxh3_64_with_seed(key.as_bytes(), seed);
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    unit.ln() / f64::from(host.weight.max(1))
}
