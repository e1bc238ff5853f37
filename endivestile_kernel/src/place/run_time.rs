//! Learned run time of a backend.

use crate::Time;

/// Weight of a new sample in the steady state: a change of speed is adopted within
/// about 16 samples.
const STEADY_WEIGHT: f64 = 1.0 / 16.0;

/// Range to which run times are clamped, in microseconds.
const RUN_TIME_RANGE_US: (f64, f64) = (300.0, 100_000_000.0);

/// Run time of one backend for one service or class of need.
///
/// The mean is taken over logarithms: a single task of several seconds among many
/// short ones has little effect, and a ratio of speeds becomes a difference.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunTime {
    /// Mean of the natural logarithm of the run time in microseconds.
    pub(crate) mean_ln: f64,
    /// Number of samples.
    pub(crate) samples: u32,
    /// Time of the last sample.
    pub(crate) last_sample: Time,
}

impl RunTime {
    /// Records the run time of one task; `ln_size` is the logarithm of its estimated
    /// size.
    pub(crate) fn record(&mut self, now: Time, micros: u64, ln_size: f64) {
        let ln = (micros as f64).clamp(RUN_TIME_RANGE_US.0, RUN_TIME_RANGE_US.1).ln() - ln_size;
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(STEADY_WEIGHT);
        self.mean_ln += (ln - self.mean_ln) * weight;
        self.last_sample = now;
    }

    /// Returns whether there is any sample.
    pub(crate) const fn is_known(&self) -> bool {
        self.samples > 0
    }
}
