//! Evacuation of the owned workers of a zone.

use std::collections::BTreeSet;

use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::job_state::JobState;
use crate::fleet::scheduler::Scheduler;

impl Scheduler {
    /// Replaces the set of evacuated zones, in which no task is started.
    pub(crate) fn set_evacuated(&mut self, now: Time, zones: BTreeSet<Name>) {
        for driver in self.drivers.values_mut() {
            driver.evacuated = zones.contains(&driver.entry.zone);
        }
        let here: BTreeSet<&Name> = self.drivers.values().map(|it| &it.entry.zone).collect();
        let new = zones.difference(&self.evacuated_zones).filter(|zone| here.contains(zone));
        self.draining_zones.extend(new.cloned());
        self.draining_zones.retain(|zone| zones.contains(zone));
        self.evacuated_zones = zones;
        self.dirty = true;
        self.return_unservable(now);
    }

    /// Returns whether this host owns workers outside evacuated zones.
    pub(crate) fn has_open_workers(&self) -> bool {
        self.drivers.values().any(|driver| !driver.abandoned && !driver.evacuated)
    }

    /// Returns the number of runs on the workers of a zone.
    pub(crate) fn runs_in_zone(&self, zone: &str) -> usize {
        let in_zone = self.drivers.values().filter(|driver| *driver.entry.zone == *zone);
        in_zone.map(|driver| driver.runs.len()).sum()
    }

    /// Returns the evacuated zones whose last run has ended since the previous call.
    pub(crate) fn take_drained_zones(&mut self) -> Vec<Name> {
        let drained = self.draining_zones.iter().filter(|zone| self.runs_in_zone(zone) == 0);
        let drained: Vec<Name> = drained.cloned().collect();
        for zone in &drained {
            self.draining_zones.remove(zone);
        }
        drained
    }

    /// Sends jobs with no started task back to their hosts, to be placed elsewhere, if all
    /// workers of this host are evacuated.
    pub(crate) fn return_unservable(&mut self, now: Time) {
        if !self.owns_workers() || self.has_open_workers() {
            return;
        }
        let untouched = |state: &JobState| !state.may_have_run() && state.ending.is_none();
        let returned = self.jobs.iter().filter(|(_, state)| untouched(state));
        let numbers: Vec<u64> = returned.map(|(number, _)| *number).collect();
        let end = JobEnd::NotRun { reason: Reason::NoPlacer, retry: now };
        for number in numbers {
            self.close(now, number, end, true);
        }
    }
}
