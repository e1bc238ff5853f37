//! Evacuation of availability zones: while operators request it, no task is started on the
//! workers of a zone; tasks that already run there continue.
//!
//! Each state carries the store's revision of its change, and hosts exchange their states
//! in reports. The highest revision wins, so a host that cannot reach the store gets
//! changes from its peers, and no host reverts to an older state. A peer's state that is
//! not newer than this host's own read of the store is ignored: the evacuation may have
//! ended since, and no host that saw its end may be left to report it.

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
    /// The zone.
    pub zone: Name,
    /// Revision of the store at which this state was current.
    pub revision: u64,
    /// Whether starting tasks on the zone's workers is forbidden.
    pub evacuated: bool,
}

/// Where a state was received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Source {
    /// The store.
    Store,
    /// The report of another host.
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

/// The latest states of all zones that are or were evacuated.
#[derive(Debug, Default)]
pub(crate) struct Evacuations {
    zones: BTreeMap<Name, EvacuationState>,
    /// Zones that are evacuated according to this host's own reads of the store.
    stored: BTreeSet<Name>,
    /// Revision up to which this host has read the store itself.
    read_revision: u64,
    /// Last reported gauges: evacuated zones, and runs in them.
    reported_gauges: (u64, u64),
}

impl Evacuations {
    /// Merges a state unless a later one is known; returns whether the zone's state changed.
    pub(crate) fn merge(&mut self, state: &EvacuationState, source: Source) -> bool {
        match source {
            Source::Peer if state.revision <= self.read_revision => return false,
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

    /// Records that the store has been read up to a revision. Returns end states for the
    /// evacuations that peers had reported and that the store does not have.
    pub(crate) fn mark_read(&mut self, revision: u64) -> Vec<EvacuationState> {
        self.read_revision = self.read_revision.max(revision);
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

    /// Returns whether a zone is evacuated.
    pub(crate) fn contains(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.evacuated)
    }

    /// Returns the evacuated zones.
    pub(crate) fn active(&self) -> impl Iterator<Item = &Name> {
        self.zones.values().filter(|state| state.evacuated).map(|state| &state.zone)
    }

    /// Returns all states, for reports to other hosts.
    pub(crate) fn states(&self) -> Vec<EvacuationState> {
        self.zones.values().cloned().collect()
    }
}

impl Fleet {
    /// Merges the state of a zone and applies a change of it.
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
        if state.evacuated && !self.is_known_zone(&state.zone) {
            let pairs = vec![("zone", state.zone.to_string())];
            self.log(Level::Warn, "evacuation_zone_unknown", pairs);
        }
        self.scheduler.set_evacuated(now, self.evacuations.active().cloned().collect());
        // Recomputes the report, so that peers send no tasks here for the old one.
        self.report.0 = Time::ZERO;
        self.standby_due = now;
        self.apply_output(now);
    }

    /// Handles the end of a read of all evacuations at a revision of the store.
    pub(crate) fn handle_evacuations_read(&mut self, now: Time, revision: u64) {
        for state in self.evacuations.mark_read(revision) {
            self.set_evacuation(now, &state, Source::Store);
        }
    }

    /// Returns whether a zone has a known worker or host, or no worker is known yet at all.
    fn is_known_zone(&self, zone: &str) -> bool {
        self.workers.is_empty()
            || *self.setup.zone == *zone
            || self.workers.iter().any(|(entry, _)| *entry.zone == *zone)
            || self.members.all().any(|member| *member.zone == *zone)
    }

    /// Returns whether there are workers and all of them are in evacuated zones.
    pub(crate) fn all_evacuated(&self) -> bool {
        let mut pools = self.pool_names.iter();
        !self.pool_names.is_empty() && pools.all(|pool| self.evacuations.contains(zone_of(pool)))
    }

    /// Reports the progress of evacuations: gauges of what still runs, and one log line for
    /// each zone once no run is left on this host's workers there.
    pub(crate) fn report_evacuations(&mut self) {
        let zones = self.evacuations.active().count() as u64;
        let runs = self.evacuations.active().map(|zone| self.scheduler.runs_in_zone(zone));
        let gauges = (zones, runs.sum::<usize>() as u64);
        if self.evacuations.reported_gauges != gauges {
            self.evacuations.reported_gauges = gauges;
            self.out.push(FleetEffect::Gauge(Gauge::ZonesEvacuated, gauges.0));
            self.out.push(FleetEffect::Gauge(Gauge::RunsEvacuated, gauges.1));
        }
        for zone in self.scheduler.take_drained_zones() {
            let pairs = vec![("zone", zone.to_string())];
            self.log(Level::Info, "evacuation_drained", pairs);
        }
    }
}
