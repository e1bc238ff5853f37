//! Times that a pool expects.

use super::pool::{DEFAULT_RUN_US, Pool};
use super::resources::Resources;
use crate::Time;

/// Samples from which on deadlines are judged by learnt run times.
const MIN_SAMPLES: u32 = 8;

/// Part of the capacity at which slots begin to be scarce.
const SCARCE_LOAD: f64 = 0.9;

/// Mean run times that have to be left at the start where slots are scarce.
const SCARCE_MARGIN_RUNS: f64 = 4.0;

impl Pool {
    /// Returns the time that a task which arrives now waits, in microseconds;
    /// none when no back end is usable.
    pub(crate) fn wait_us(&self, share: f64) -> Option<f64> {
        let (units, rate) = self.bands.total();
        if units == 0.0 {
            return None;
        }
        let waiting = self.waiting_units as f64;
        Some((waiting + self.mean_units) * self.mean_ratio / rate / share.clamp(0.001, 1.0))
    }

    /// Returns whether enough was learnt to judge deadlines by it.
    pub(crate) const fn has_estimate(&self) -> bool {
        self.overall.samples >= MIN_SAMPLES
    }

    /// Returns the shortest run time of a task of this size, 0 while too little is known.
    pub(crate) fn fastest_us(&self, ln_size: f64) -> u64 {
        if !self.has_estimate() {
            return 0;
        }
        (self.bands.fastest_us().unwrap_or(0.0) * ln_size.exp()) as u64
    }

    /// Returns the time that a task of a team which arrives now waits, in
    /// microseconds: behind its own tasks at its part, or behind all at most.
    pub(crate) fn team_wait_us(&self, team: u32, weight: u32) -> f64 {
        let (units, rate) = self.bands.total();
        if units == 0.0 {
            return 0.0;
        }
        let own = (self.queue.waiting_of(team) + 1) as f64 * self.mean_units;
        let own = own / self.queue.share(team, weight);
        own.min(self.waiting_units as f64 + self.mean_units) * self.mean_ratio / rate
    }

    /// Returns the time until a task that arrives now is finished, in microseconds.
    pub(crate) fn finish_us(&self, demand: &Resources) -> u64 {
        let wait = self.wait_us(1.0).unwrap_or(0.0) + self.mean_slot_us();
        let Some(at) = self.first_free(demand) else { return wait as u64 };
        (self.mean_us(at) as u64).min(wait as u64)
    }

    /// Returns the time that has to be left when a task starts, in microseconds.
    ///
    /// While slots are to spare a usual run time is enough: a task that turns
    /// out too long costs nobody else. Where arrivals need all slots, each task
    /// that is stopped at its deadline wastes what another one could have used,
    /// and queues that are just short enough leave most tasks too little: at
    /// one and a half times the capacity a third of it went to stopped tasks.
    pub(crate) fn start_margin_us(&self, now: Time, ln_size: f64) -> f64 {
        let capacity = self.bands.total().1 / self.mean_ratio;
        let load = self.arrivals.rate(now) / capacity;
        let scarcity = ((load - SCARCE_LOAD) / (1.0 - SCARCE_LOAD)).clamp(0.0, 1.0);
        self.mean_slot_us() * ln_size.exp() * (1.0 + (SCARCE_MARGIN_RUNS - 1.0) * scarcity)
    }

    /// Returns the mean run time over all slots, in microseconds.
    pub(crate) fn mean_slot_us(&self) -> f64 {
        let (units, rate) = self.bands.total();
        if rate == 0.0 { DEFAULT_RUN_US } else { units / rate * self.mean_ratio }
    }
}
