//! Model of the duration of a route's tasks, fitted to the hints of their callers.
//!
//! A caller gives two hints about a job: an estimate and a time budget. How closely each
//! follows the actual work differs between customers; the budget is often the length of the
//! work times a factor plus a constant. A Kalman filter learns the weight of each hint in a
//! linear model; where neither explains the duration, it predicts the mean of the route.

/// Number of coefficients: the constant in seconds, the slopes on estimate and budget.
const COEFFICIENTS: usize = 3;
/// Prior variance of the estimate's slope: tasks take from half to twice their estimate.
const SLOPE_VARIANCE: f64 = 0.25;
/// Share of its prior variance that each task adds to the variance of a coefficient, since
/// routes change. About a thousand tasks count, a few seconds of traffic.
const DRIFT: f64 = 1e-4;
/// Unexplained variance of one task over the square of its expected duration. Tasks of one
/// job vary by some 15%, and so does the estimate of a worker's speed; four times that
/// variance, since the tasks of one job share their hints.
const NOISE: f64 = 0.2;
/// Limit of one task's error over its expected duration, since a stalled task is an outlier.
const MAX_ERROR: f64 = 1.6;
/// Weight of one task in the mean of its route; averages over some thirty tasks.
const MEAN_WEIGHT: f64 = 0.03;
/// Largest factor between a prediction and the mean of the route. A model that is fitted to
/// few tasks may predict anything.
const MAX_DEVIATION: f64 = 8.0;
/// Number of tasks from which on the model predicts better than the estimate.
const MIN_TASKS: u32 = 10;

/// What a caller states about a task before it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hints {
    /// The caller's estimate, in microseconds.
    pub(crate) estimate_us: f64,
    /// Time budget for the whole job, in microseconds.
    pub(crate) budget_us: f64,
}

impl Hints {
    fn features(self) -> [f64; COEFFICIENTS] {
        [1.0, self.estimate_us / 1e6, self.budget_us.max(1_000.0) / 1e6]
    }

    /// Returns the prior variances: the constant and the budget may each explain the whole
    /// duration.
    fn prior_variance(self) -> [f64; COEFFICIENTS] {
        let [_, estimate, budget] = self.features();
        [estimate * estimate, SLOPE_VARIANCE, (estimate / budget).powi(2)]
    }
}

/// Linear model of one route's task durations.
#[derive(Debug, Clone)]
pub(crate) struct DurationModel {
    coefficients: [f64; COEFFICIENTS],
    covariance: [[f64; COEFFICIENTS]; COEFFICIENTS],
    /// Prior variances of the coefficients.
    prior: [f64; COEFFICIENTS],
    /// Moving average of the duration, in seconds.
    mean: f64,
    tasks: u32,
}

impl DurationModel {
    /// Starts as the plain estimate.
    pub(crate) fn new(hints: Hints) -> Self {
        let prior = hints.prior_variance();
        let mut covariance = [[0.0; COEFFICIENTS]; COEFFICIENTS];
        for (at, row) in covariance.iter_mut().enumerate() {
            row[at] = prior[at];
        }
        Self { coefficients: [0.0, 1.0, 0.0], covariance, prior, mean: 0.0, tasks: 0 }
    }

    /// Returns the expected duration at speed 1, in microseconds.
    pub(crate) fn expected_us(&self, hints: Hints) -> f64 {
        if self.tasks < MIN_TASKS {
            return hints.estimate_us;
        }
        self.predict_s(&hints.features()) * 1e6
    }

    /// Returns the predicted duration, in seconds, within bounds around the mean.
    fn predict_s(&self, features: &[f64; COEFFICIENTS]) -> f64 {
        let seconds = dot(&self.coefficients, features);
        match self.tasks {
            0 => seconds.max(1e-3),
            _ => seconds.clamp(self.mean / MAX_DEVIATION, self.mean * MAX_DEVIATION),
        }
    }

    /// Updates the model with a task's duration at speed 1, in microseconds.
    pub(crate) fn update(&mut self, hints: Hints, took_us: f64) {
        let features = hints.features();
        let took = took_us.max(1_000.0) / 1e6;
        let expected = self.predict_s(&features);
        let error = (took - expected).clamp(-MAX_ERROR * expected, MAX_ERROR * expected);
        for (at, row) in self.covariance.iter_mut().enumerate() {
            row[at] = (row[at] + DRIFT * self.prior[at]).min(self.prior[at]);
        }
        let projected: [f64; COEFFICIENTS] =
            std::array::from_fn(|row| dot(&self.covariance[row], &features));
        let variance = dot(&projected, &features) + NOISE * expected * expected;
        for (row, own) in projected.iter().enumerate() {
            let gain = own / variance;
            self.coefficients[row] += gain * error;
            for (cell, other) in self.covariance[row].iter_mut().zip(&projected) {
                *cell -= gain * other;
            }
        }
        self.tasks = self.tasks.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.tasks));
        self.mean += weight * (took - self.mean);
    }
}

fn dot(one: &[f64; COEFFICIENTS], other: &[f64; COEFFICIENTS]) -> f64 {
    one.iter().zip(other).map(|(a, b)| a * b).sum()
}
