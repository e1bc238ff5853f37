//! What a route's tasks take, fitted to what their callers say of them.
//!
//! Callers tell two things before a job runs: an estimate, and how long they
//! will wait. Either may follow the work closely, loosely or not at all, and that
//! differs from customer to customer; patience is often the work's length, times
//! something, and something more. A Kalman filter over a straight line learns how
//! much of each is to be believed; what neither explains is the route's mean.

/// Coefficients: the constant in seconds, and the slopes on estimate and patience.
const SIZE: usize = 3;
/// Variance of the estimate's slope before anything is known: tasks take from a half to
/// twice what their callers say.
const SLOPE_DOUBT: f64 = 0.25;
/// Part of its first variance that each task adds to that of a coefficient, since routes
/// change: some thousand tasks count, a few seconds of traffic.
const DRIFT: f64 = 1e-4;
/// Variance of one task, over its expected duration's square, that nothing explains:
/// tasks of one job differ by some 15 parts in a hundred, and the speed of a worker is
/// known about as well. Tasks of one job say the same, hence four times that.
const NOISE: f64 = 0.2;
/// Most by which one task may be off, over its expected duration: one that stood
/// still says little of the next.
const STEP: f64 = 1.6;
/// Weight of one task in the mean of its route: some thirty count.
const MEAN_WEIGHT: f64 = 0.03;
/// How many times longer or shorter than the mean of its route a task is expected to be
/// at most: a line that was fitted to few tasks may lead anywhere.
const BAND: f64 = 8.0;
/// Tasks of a route before the line says more than the estimate.
const ENOUGH: u32 = 10;

/// What is told of a task before it runs.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Hints {
    /// The caller's estimate, in microseconds.
    pub(crate) estimate_us: f64,
    /// How long the caller waits for the job in all, in microseconds.
    pub(crate) budget_us: f64,
}

impl Hints {
    fn features(self) -> [f64; SIZE] {
        [1.0, self.estimate_us / 1e6, self.budget_us.max(1_000.0) / 1e6]
    }

    /// Variances before anything is known: the constant and the patience may each
    /// make up the whole of a task.
    fn doubt(self) -> [f64; SIZE] {
        let [_, estimate, patience] = self.features();
        [estimate * estimate, SLOPE_DOUBT, (estimate / patience).powi(2)]
    }
}

/// The line of one route.
#[derive(Debug, Clone)]
pub(crate) struct DurationModel {
    coefficients: [f64; SIZE],
    covariance: [[f64; SIZE]; SIZE],
    /// Variances before anything was known.
    doubt: [f64; SIZE],
    /// Mean duration, in seconds.
    mean: f64,
    tasks: u32,
}

impl DurationModel {
    /// Starts with the estimate as it is told.
    pub(crate) fn new(hints: Hints) -> Self {
        let doubt = hints.doubt();
        let mut covariance = [[0.0; SIZE]; SIZE];
        for (at, row) in covariance.iter_mut().enumerate() {
            row[at] = doubt[at];
        }
        Self { coefficients: [0.0, 1.0, 0.0], covariance, doubt, mean: 0.0, tasks: 0 }
    }

    /// Returns the expected duration at speed 1, in microseconds.
    pub(crate) fn expected_us(&self, hints: Hints) -> f64 {
        if self.tasks < ENOUGH {
            return hints.estimate_us;
        }
        self.line(&hints.features()) * 1e6
    }

    fn line(&self, features: &[f64; SIZE]) -> f64 {
        let line = dot(&self.coefficients, features);
        match self.tasks {
            0 => line.max(1e-3),
            _ => line.clamp(self.mean / BAND, self.mean * BAND),
        }
    }

    /// Takes in what a task took at speed 1, in microseconds.
    pub(crate) fn update(&mut self, hints: Hints, took_us: f64) {
        let features = hints.features();
        let took = took_us.max(1_000.0) / 1e6;
        let expected = self.line(&features);
        let miss = (took - expected).clamp(-STEP * expected, STEP * expected);
        for (at, row) in self.covariance.iter_mut().enumerate() {
            row[at] = (row[at] + DRIFT * self.doubt[at]).min(self.doubt[at]);
        }
        let spread: [f64; SIZE] = std::array::from_fn(|row| dot(&self.covariance[row], &features));
        let variance = dot(&spread, &features) + NOISE * expected * expected;
        for (row, own) in spread.iter().enumerate() {
            let gain = own / variance;
            self.coefficients[row] += gain * miss;
            for (cell, other) in self.covariance[row].iter_mut().zip(&spread) {
                *cell -= gain * other;
            }
        }
        self.tasks = self.tasks.saturating_add(1);
        let weight = MEAN_WEIGHT.max(1.0 / f64::from(self.tasks));
        self.mean += weight * (took - self.mean);
    }
}

fn dot(one: &[f64; SIZE], other: &[f64; SIZE]) -> f64 {
    one.iter().zip(other).map(|(a, b)| a * b).sum()
}
