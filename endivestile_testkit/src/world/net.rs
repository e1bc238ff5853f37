//! The network: delays, cuts and losses.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::{Config, Name};
use rand::Rng;
use rand::rngs::SmallRng;

/// One-way delay inside a zone, in microseconds.
const SAME_ZONE_US: u64 = 150;
/// Name under which the platform's store is cut off.
pub(crate) const STORE: &str = "store";

/// Who reaches whom, and how fast.
#[derive(Debug)]
pub(crate) struct Network {
    zones: BTreeMap<Name, Name>,
    cross_zone_us: u64,
    cuts: BTreeSet<(Name, Name)>,
    /// Frames lost, in percent.
    pub(crate) loss_percent: u32,
    /// Frames delayed by up to this much more, in microseconds.
    pub(crate) jitter_us: u64,
}

impl Network {
    /// Connects everything in the configuration.
    pub(crate) fn new(config: &Config) -> Self {
        let hosts = config.hosts.iter().map(|(name, host)| (name.clone(), host.zone.clone()));
        let servers = config.servers.iter().map(|(name, it)| (name.clone(), it.zone.clone()));
        let workers = config.workers.iter().map(|(name, it)| (name.clone(), it.zone.clone()));
        Self::from_zones(hosts.chain(servers).chain(workers).collect(), config.rules.distance_us)
    }

    /// Connects things by their zones.
    pub(crate) fn from_zones(zones: BTreeMap<Name, Name>, cross_zone_us: u64) -> Self {
        Self { zones, cross_zone_us, cuts: BTreeSet::new(), loss_percent: 0, jitter_us: 0 }
    }

    /// Cuts two from each other: hosts, back ends, zones or the store.
    pub(crate) fn cut(&mut self, a: &str, b: &str) {
        self.cuts.insert((Name::from(a), Name::from(b)));
        self.cuts.insert((Name::from(b), Name::from(a)));
    }

    /// Lets nothing pass from one to the other; the other way stays open.
    pub(crate) fn block(&mut self, from: &str, to: &str) {
        self.cuts.insert((Name::from(from), Name::from(to)));
    }

    /// Mends every cut.
    pub(crate) fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns whether one reaches the other.
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

    /// Returns the one-way delay in microseconds.
    pub(crate) fn delay_us(&self, a: &str, b: &str, rng: &mut SmallRng) -> u64 {
        let near = self.zones.get(a) == self.zones.get(b);
        let base = if near { SAME_ZONE_US } else { self.cross_zone_us + SAME_ZONE_US };
        base + if self.jitter_us == 0 { 0 } else { rng.random_range(0..self.jitter_us) }
    }

    /// Returns whether a frame gets lost.
    pub(crate) fn drops_frame(&self, rng: &mut SmallRng) -> bool {
        self.loss_percent > 0 && rng.random_range(0..100) < self.loss_percent
    }
}
