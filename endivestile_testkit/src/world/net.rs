//! Simulated network: delays, cuts and frame loss.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::{Config, Name};
use rand::Rng;
use rand::rngs::SmallRng;

/// One-way delay inside a zone, in microseconds.
const SAME_ZONE_US: u64 = 150;
/// Name of the platform's store in cuts.
pub(crate) const STORE: &str = "store";

/// Reachability and delays between hosts, backend servers, workers and the store.
#[derive(Debug)]
pub(crate) struct Network {
    /// Zone of each host, backend server and worker.
    zones: BTreeMap<Name, Name>,
    /// Additional one-way delay between zones, in microseconds.
    cross_zone_us: u64,
    /// Blocked directions between hosts, backend servers, workers, zones and the store.
    cuts: BTreeSet<(Name, Name)>,
    /// Share of frames lost, in percent.
    pub(crate) loss_percent: u32,
    /// Maximum additional delay, in microseconds.
    pub(crate) jitter_us: u64,
}

impl Network {
    /// Creates the network of a configuration, without faults.
    pub(crate) fn new(config: &Config) -> Self {
        let hosts = config.hosts.iter().map(|(name, host)| (name.clone(), host.zone.clone()));
        let servers = config.servers.iter().map(|(name, it)| (name.clone(), it.zone.clone()));
        let workers = config.workers.iter().map(|(name, it)| (name.clone(), it.zone.clone()));
        Self::from_zones(hosts.chain(servers).chain(workers).collect(), config.rules.distance_us)
    }

    /// Creates a network from the zone of each host, backend server and worker.
    pub(crate) fn from_zones(zones: BTreeMap<Name, Name>, cross_zone_us: u64) -> Self {
        Self { zones, cross_zone_us, cuts: BTreeSet::new(), loss_percent: 0, jitter_us: 0 }
    }

    /// Blocks both directions between two ends, each a host, a backend server, a worker, a zone
    /// or the store.
    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((Name::from(a), Name::from(b)));
        self.cuts.insert((Name::from(b), Name::from(a)));
    }

    /// Blocks one direction; the other stays open.
    pub(crate) fn block(&mut self, from: &str, to: &str) {
        self.cuts.insert((Name::from(from), Name::from(to)));
    }

    /// Ends all cuts.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether messages from `a` reach `b`.
    pub(crate) fn reaches(&self, a: &str, b: &str) -> bool {
        let names = |name: &str| {
            let zone = self.zones.get(name).cloned();
            [Some(Name::from(name)), zone]
        };
        let pairs = names(a)
            .into_iter()
            .flatten()
            .flat_map(|a| names(b).into_iter().flatten().map(move |b| (a.clone(), b)));
        !pairs.into_iter().any(|pair| self.cuts.contains(&pair))
    }

    /// Draws the one-way delay from `a` to `b`, in microseconds.
    pub(crate) fn delay_us(&self, a: &str, b: &str, rng: &mut SmallRng) -> u64 {
        let near = self.zones.get(a) == self.zones.get(b);
        let base = if near { SAME_ZONE_US } else { self.cross_zone_us + SAME_ZONE_US };
        base + if self.jitter_us == 0 { 0 } else { rng.random_range(0..self.jitter_us) }
    }

    /// Draws whether a frame is lost.
    pub(crate) fn drops_frame(&self, rng: &mut SmallRng) -> bool {
        self.loss_percent > 0 && rng.random_range(0..100) < self.loss_percent
    }
}
