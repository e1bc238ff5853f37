//! Result of a measurement, and the median of its samples.

use std::error::Error;

/// Result of a measurement; an error makes the example exit with failure.
pub(crate) type MeasureResult<T = ()> = Result<T, Box<dyn Error>>;

/// Returns the median, the upper one of the two middle values if their number is even.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
