//! Time estimates of a pool.

use super::pool::{DEFAULT_RUN_US, Pool};
use super::resources::Resources;
use crate::Time;

/// Number of samples before deadlines are checked against learned run times.
const MIN_SAMPLES: u32 = 8;

/// Load, as a fraction of the capacity, above which slots count as scarce.
const SCARCE_LOAD: f64 = 0.9;

/// Mean run times that must remain at the start of a task at full load.
const SCARCE_MARGIN_RUNS: f64 = 4.0;

impl Pool {
    /// Returns the expected waiting time of a task that arrives now at the given share
    /// of the pool, in microseconds; `None` if no backend is usable.
    pub(crate) fn wait_us(&self, share: f64) -> Option<f64> {
        let (units, rate) = self.bands.total();
        if units == 0.0 {
            return None;
        }
        let waiting = self.waiting_units as f64;
        Some((waiting + self.mean_units) * self.mean_ratio / rate / share.clamp(0.001, 1.0))
    }

    /// Returns whether there are enough samples to check deadlines.
    pub(crate) const fn has_estimate(&self) -> bool {
        self.overall.samples >= MIN_SAMPLES
    }

    /// Returns the shortest run time of a task of this size in microseconds, 0 without
    /// enough samples.
    pub(crate) fn fastest_us(&self, ln_size: f64) -> u64 {
        if !self.has_estimate() {
            return 0;
        }
        (self.bands.fastest_us().unwrap_or(0.0) * ln_size.exp()) as u64
    }

    /// Returns the expected waiting time of a team's next task, in microseconds: behind
    /// the team's own tasks at its share of the pool, at most behind all waiting tasks.
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

    /// Returns the time that must remain until the deadline when a task starts, in
    /// microseconds.
    ///
    /// With spare slots one mean run time is enough: a task that turns out too long
    /// delays nobody else. When arrivals need all slots, each task stopped at its
    /// deadline wastes capacity that another could have used, and admitting tasks that
    /// barely fit leaves most of them too little time: with one mean run time at all
    /// loads, a third of the capacity went to stopped tasks at 150% load.
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
