//! Evacuation of availability zones: nothing new is started on the workers of a zone
//! for as long as operators ask for it, while what runs there goes on.
//!
//! Each state carries the store's revision of its change, and hosts pass the states
//! that they know to each other. The highest revision wins, so that a host that cannot
//! reach the store learns of a change from its peers, and none returns to an older one.
//! What a peer knows from before this host's own reading of the store counts for nothing:
//! the zone may have been taken back, and nobody who saw that may be left to tell.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::metrics::Gauge;
use crate::fleet::ownership::partition::zone_of;
use crate::{Level, Time};

/// Whether a zone is being evacuated, as of a revision of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationState {
    /// Availability zone.
    pub zone: Name,
    /// Revision of the store at which this held.
    pub revision: u64,
    /// Whether nothing may be started on its workers.
    pub evacuated: bool,
}

/// How a change became known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The store told of it.
    Store,
    /// Another host passed it on.
    Peer,
}

impl Source {
    fn label(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// The latest known states of zones that were ever evacuated.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<Name, EvacuationState>,
    /// Zones of which the store told this host that they are evacuated.
    stored: BTreeSet<Name>,
    /// Revision up to which this host has read the store itself.
    read: u64,
    /// Zones and runs of the gauges that were told last.
    told: (u64, u64),
}

impl Evacuations {
    /// Takes a state in unless a later one is known; returns whether the zone's state changed.
    pub(crate) fn merge(&mut self, state: &EvacuationState, source: Source) -> bool {
        match source {
            Source::Peer if state.revision <= self.read => return false,
            Source::Store if state.evacuated => {
                self.stored.insert(state.zone.clone());
            }
            Source::Store => {
                self.stored.remove(&state.zone);
            }
            Source::Peer => {}
        }
        let known = self.zones.get(&state.zone);
        if known.is_some_and(|known| known.revision >= state.revision) {
            return false;
        }
        let before = known.is_some_and(|known| known.evacuated);
        self.zones.insert(state.zone.clone(), state.clone());
        before != state.evacuated
    }

    /// Notes that the store has been read up to a revision; returns the states of zones that
    /// are believed to be evacuated, by a peer's word, and are not.
    pub(crate) fn read(&mut self, revision: u64) -> Vec<EvacuationState> {
        self.read = self.read.max(revision);
        let outdated = self.zones.values().filter(|state| {
            state.evacuated && state.revision < revision && !self.stored.contains(&state.zone)
        });
        let ended = |state: &EvacuationState| EvacuationState {
            revision,
            evacuated: false,
            ..state.clone()
        };
        outdated.map(ended).collect()
    }

    /// Returns whether nothing may be started in a zone.
    pub(crate) fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.evacuated)
    }

    /// Returns the zones in which nothing may be started.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Name> {
        self.zones.values().filter(|state| state.evacuated).map(|state| &state.zone)
    }

    /// Returns all states, for other hosts.
    pub(crate) fn states(&self) -> Vec<EvacuationState> {
        self.zones.values().cloned().collect()
    }
}

impl Fleet {
    /// Takes the state of a zone in, and puts a change in force.
    pub(crate) fn set_evacuation(&mut self, now: Time, state: &EvacuationState, source: Source) {
        if !self.evacuations.merge(state, source) {
            return;
        }
        let event = if state.evacuated { "evacuation_started" } else { "evacuation_ended" };
        let pairs = vec![
            ("zone", state.zone.to_string()),
            ("revision", state.revision.to_string()),
            ("source", source.label().to_owned()),
            ("runs", self.scheduler.runs_in_zone(&state.zone).to_string()),
        ];
        self.log(Level::Info, event, pairs);
        if state.evacuated && !self.knows_zone(&state.zone) {
            let pairs = vec![("zone", state.zone.to_string())];
            self.log(Level::Warn, "evacuation_zone_unknown", pairs);
        }
        self.scheduler.set_evacuated(now, self.evacuations.active().cloned().collect());
        // Peers must not send tasks here by a report from before.
        self.report.0 = Time::ZERO;
        self.standby_due = now;
        self.apply_output(now);
    }

    /// Takes in that the store has been read up to a revision.
    pub(crate) fn handle_evacuations_read(&mut self, now: Time, revision: u64) {
        for state in self.evacuations.read(revision) {
            self.set_evacuation(now, &state, Source::Store);
        }
    }

    /// Returns whether a worker or a host is known to stand in a zone; while no worker is
    /// known at all, any zone may exist.
    fn knows_zone(&self, zone: &str) -> bool {
        self.workers.is_empty()
            || *self.setup.zone == *zone
            || self.workers.iter().any(|(entry, _)| *entry.zone == *zone)
            || self.members.all().any(|member| *member.zone == *zone)
    }

    /// Returns whether there are workers, and all of them stand in evacuated zones.
    pub(crate) fn all_evacuated(&self) -> bool {
        let mut pools = self.pool_names.iter();
        !self.pool_names.is_empty() && pools.all(|pool| self.evacuations.contains(zone_of(pool)))
    }

    /// Tells how far evacuations have come: what still runs, and once of each zone that
    /// nothing runs any more on the workers there that this host owns.
    pub(crate) fn report_evacuations(&mut self) {
        let zones = self.evacuations.active().count() as u64;
        let runs = self.evacuations.active().map(|zone| self.scheduler.runs_in_zone(zone));
        let gauges = (zones, runs.sum::<usize>() as u64);
        if self.evacuations.told != gauges {
            self.evacuations.told = gauges;
            self.out.push(FleetEffect::Gauge(Gauge::ZonesEvacuated, gauges.0));
            self.out.push(FleetEffect::Gauge(Gauge::RunsEvacuated, gauges.1));
        }
        for zone in self.scheduler.take_drained_zones() {
            let pairs = vec![("zone", zone.to_string())];
            self.log(Level::Info, "evacuation_drained", pairs);
        }
    }
}
