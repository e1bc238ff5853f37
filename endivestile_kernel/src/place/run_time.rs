//! Run times learnt of one back end.

use crate::Time;

/// Weight of a new sample once enough are known: 16 samples forget a change of speed.
const STEADY_WEIGHT: f64 = 1.0 / 16.0;

/// Shortest and longest run time believed, in microseconds.
const RUN_TIME_RANGE_US: (f64, f64) = (300.0, 100_000_000.0);

/// Run time of one back end for one service or class of need.
///
/// The mean is taken of logarithms: one task of several seconds among many
/// short ones moves it little, and a ratio of speeds shows as a difference.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunTime {
    /// Mean of the natural logarithm of the run time in microseconds.
    pub(crate) mean_ln: f64,
    /// Samples taken, up to the steady weight.
    pub(crate) samples: u32,
    /// When the last sample came.
    pub(crate) last_sample: Time,
}

impl RunTime {
    /// Takes in the run time of one task, less the logarithm of its believed size.
    pub(crate) fn record(&mut self, now: Time, micros: u64, ln_size: f64) {
        let ln = (micros as f64).clamp(RUN_TIME_RANGE_US.0, RUN_TIME_RANGE_US.1).ln() - ln_size;
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(STEADY_WEIGHT);
        self.mean_ln += (ln - self.mean_ln) * weight;
        self.last_sample = now;
    }

    /// Returns whether a task has ended here yet.
    pub(crate) const fn is_known(&self) -> bool {
        self.samples > 0
    }
}
