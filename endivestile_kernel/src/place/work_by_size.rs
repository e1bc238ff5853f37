//! Distribution of work over task sizes.

/// Number of bands.
const BAND_COUNT: usize = 24;

/// Bands per unit of the natural logarithm.
const BANDS_PER_LN: f64 = 4.0;

/// Factor by which older tasks decay with each new one.
const DECAY: f64 = 1.0 - 1.0 / 512.0;

/// Work by estimated task size, weighting recent tasks more.
#[derive(Debug)]
pub(crate) struct WorkBySize {
    work: [f64; BAND_COUNT],
}

impl WorkBySize {
    /// Creates an empty distribution.
    pub(crate) const fn new() -> Self {
        Self { work: [0.0; BAND_COUNT] }
    }

    fn band(ln_size: f64) -> usize {
        let at = ln_size * BANDS_PER_LN + BAND_COUNT as f64 / 2.0;
        (at.max(0.0) as usize).min(BAND_COUNT - 1)
    }

    /// Records a task.
    pub(crate) fn record(&mut self, ln_size: f64) {
        for work in &mut self.work {
            *work *= DECAY;
        }
        self.work[Self::band(ln_size)] += ln_size.exp();
    }

    /// Returns the share of the work in tasks of this size or larger.
    pub(crate) fn fraction_from(&self, ln_size: f64) -> f64 {
        let all: f64 = self.work.iter().sum();
        if all == 0.0 {
            return 1.0;
        }
        self.work[Self::band(ln_size)..].iter().sum::<f64>() / all
    }
}
