//! What a placer does about evacuated zones.

use std::collections::BTreeSet;

use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::job_state::JobState;
use crate::fleet::scheduler::Scheduler;

impl Scheduler {
    /// Starts nothing more in these zones, and again in all others.
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

    /// Returns whether this host owns workers on which tasks may be started.
    pub(crate) fn has_open_workers(&self) -> bool {
        self.drivers.values().any(|driver| !driver.abandoned && !driver.evacuated)
    }

    /// Returns how many runs the workers of a zone have.
    pub(crate) fn runs_in_zone(&self, zone: &str) -> usize {
        let there = self.drivers.values().filter(|driver| *driver.entry.zone == *zone);
        there.map(|driver| driver.runs.len()).sum()
    }

    /// Returns the evacuated zones in which the last run has ended since the last call.
    pub(crate) fn take_drained_zones(&mut self) -> Vec<Name> {
        let emptied = self.draining_zones.iter().filter(|zone| self.runs_in_zone(zone) == 0);
        let emptied: Vec<Name> = emptied.cloned().collect();
        for zone in &emptied {
            self.draining_zones.remove(zone);
        }
        emptied
    }

    /// Gives jobs of which nothing has run back to their hosts, to be placed elsewhere, once
    /// no worker of this host may start them.
    pub(crate) fn return_unservable(&mut self, now: Time) {
        if !self.owns_workers() || self.has_open_workers() {
            return;
        }
        let waits = |state: &JobState| !state.may_have_run() && state.ending.is_none();
        let untouched = self.jobs.iter().filter(|(_, state)| waits(state));
        let numbers: Vec<u64> = untouched.map(|(number, _)| *number).collect();
        let end = JobEnd::NotRun { reason: Reason::NoPlacer, retry: now };
        for number in numbers {
            self.close(now, number, end, true);
        }
    }
}
