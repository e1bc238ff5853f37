//! Times that a pool expects.

use super::pool::{DEFAULT_US, Pool};
use super::resources::Resources;
use crate::Time;

/// Samples from which on deadlines are judged by learnt run times.
const JUDGE_SAMPLES: u32 = 8;

/// Part of the capacity at which slots begin to be scarce.
const SCARCE_FROM: f64 = 0.9;

/// Mean run times that have to be left at the start where slots are scarce.
const SCARCE_RUNS: f64 = 4.0;

impl Pool {
    /// Returns the time that a task which arrives now waits, in microseconds;
    /// none when no back end is usable.
    pub(crate) fn wait_us(&self, part: f64) -> Option<f64> {
        let (units, rate) = self.bands.total();
        if units == 0.0 {
            return None;
        }
        let waiting = self.wanted as f64;
        Some((waiting + self.typical) * self.scale / rate / part.clamp(0.001, 1.0))
    }

    /// Returns whether enough was learnt to judge deadlines by it.
    pub(crate) const fn judged(&self) -> bool {
        self.common.samples >= JUDGE_SAMPLES
    }

    /// Returns the shortest run time of a task of this size, 0 while too little is known.
    pub(crate) fn fastest_us(&self, ln_size: f64) -> u64 {
        if !self.judged() {
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
        let own = (self.queue.waiting_of(team) + 1) as f64 * self.typical;
        let own = own / self.queue.part(team, weight);
        own.min(self.wanted as f64 + self.typical) * self.scale / rate
    }

    /// Returns the time until a task that arrives now is finished, in microseconds.
    pub(crate) fn finish_us(&self, want: &Resources) -> u64 {
        let wait = self.wait_us(1.0).unwrap_or(0.0) + self.average_us();
        let Some(at) = self.first_free(want) else { return wait as u64 };
        (self.mean_us(at) as u64).min(wait as u64)
    }

    /// Returns the time that has to be left when a task starts, in microseconds.
    ///
    /// While slots are to spare a usual run time is enough: a task that turns
    /// out too long costs nobody else. Where arrivals need all slots, each task
    /// that is stopped at its deadline wastes what another one could have used,
    /// and queues that are just short enough leave most tasks too little: at
    /// one and a half times the capacity a third of it went to stopped tasks.
    pub(crate) fn spare_run_us(&self, now: Time, ln_size: f64) -> f64 {
        let capacity = self.bands.total().1 / self.scale;
        let load = self.arrivals.rate(now) / capacity;
        let full = ((load - SCARCE_FROM) / (1.0 - SCARCE_FROM)).clamp(0.0, 1.0);
        self.average_us() * ln_size.exp() * (1.0 + (SCARCE_RUNS - 1.0) * full)
    }

    /// Returns the mean run time over all slots, in microseconds.
    pub(crate) fn average_us(&self) -> f64 {
        let (units, rate) = self.bands.total();
        if rate == 0.0 { DEFAULT_US } else { units / rate * self.scale }
    }
}
