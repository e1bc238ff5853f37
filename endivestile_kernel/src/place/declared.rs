//! How far declared run times predict actual ones.

/// Number of samples over which the regression averages.
const AVERAGED_SAMPLES: f64 = 256.0;

/// Number of samples before declared run times are used.
const MIN_SAMPLES: f64 = 32.0;

/// Limit on the estimated size, as the absolute value of a natural logarithm.
const MAX_LN_SIZE: f64 = 2.5;

/// Minimum share of the variance of run times that declared ones must explain (R
/// squared).
const MIN_EXPLAINED: f64 = 0.1;

/// Linear regression of run times on declared ones, both as logarithms.
///
/// Declared run times are often far off. What matters is whether tasks that declare
/// more run longer. A constant factor cancels out. Where declared and actual run
/// times are unrelated, the slope is zero and the declared ones affect no decision.
#[derive(Debug, Default)]
pub(crate) struct DeclaredRunTimes {
    samples: f64,
    mean_x: f64,
    mean_y: f64,
    var_x: f64,
    var_y: f64,
    cov: f64,
}

impl DeclaredRunTimes {
    /// Records the declared run time of a task and the logarithm of its actual run time
    /// relative to the typical one of its backend.
    pub(crate) fn record(&mut self, declared_ms: u32, ln_size: f64) {
        if declared_ms == 0 {
            return;
        }
        let x = f64::from(declared_ms).ln();
        self.samples = (self.samples + 1.0).min(AVERAGED_SAMPLES);
        let weight = 1.0 / self.samples;
        let (dx, dy) = (x - self.mean_x, ln_size - self.mean_y);
        self.mean_x += dx * weight;
        self.mean_y += dy * weight;
        let decay = 1.0 - weight;
        self.var_x = decay * (self.var_x + weight * dx * dx);
        self.var_y = decay * (self.var_y + weight * dy * dy);
        self.cov = decay * (self.cov + weight * dx * dy);
    }

    /// Returns the slope of the regression, or 0 if declared run times explain too
    /// little.
    pub(crate) fn slope(&self) -> f64 {
        let explained = self.cov * self.cov;
        if self.samples < MIN_SAMPLES || explained < MIN_EXPLAINED * self.var_x * self.var_y {
            return 0.0;
        }
        (self.cov / self.var_x.max(1e-6)).clamp(0.0, 1.0)
    }

    /// Returns the natural logarithm of a task's estimated size; 0 for a typical one.
    pub(crate) fn ln_size(&self, declared_ms: u32) -> f64 {
        let slope = self.slope();
        if declared_ms == 0 || slope == 0.0 {
            return 0.0;
        }
        (slope * (f64::from(declared_ms).ln() - self.mean_x)).clamp(-MAX_LN_SIZE, MAX_LN_SIZE)
    }
}
