//! Run times learnt of one back end.

use crate::Time;

/// Weight of a new sample once enough are known: 16 samples forget a change of speed.
const STEADY_WEIGHT: f64 = 1.0 / 16.0;

/// Shortest and longest run time believed, in microseconds.
const RANGE_US: (f64, f64) = (300.0, 100_000_000.0);

/// Run time of one back end for one service or class of need.
///
/// The mean is taken of logarithms: one task of several seconds among many
/// short ones moves it little, and a ratio of speeds shows as a difference.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct RunTime {
    /// Mean of the natural logarithm of the run time in microseconds.
    pub(crate) ln: f64,
    /// Samples taken, up to the steady weight.
    pub(crate) samples: u32,
    /// When the last sample came.
    pub(crate) last: Time,
}

impl RunTime {
    /// Takes in the run time of one task, less the logarithm of its believed size.
    pub(crate) fn learn(&mut self, now: Time, micros: u64, ln_size: f64) {
        let ln = (micros as f64).clamp(RANGE_US.0, RANGE_US.1).ln() - ln_size;
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(STEADY_WEIGHT);
        self.ln += (ln - self.ln) * weight;
        self.last = now;
    }

    /// Returns whether a task has ended here yet.
    pub(crate) const fn known(&self) -> bool {
        self.samples > 0
    }
}
