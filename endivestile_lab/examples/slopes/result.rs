//! How a measurement ends.

use std::error::Error;

/// An error ends the example with a failure.
pub(crate) type MeasureResult<T = ()> = Result<T, Box<dyn Error>>;

/// Returns the middle value; of an even number the upper one.
pub(crate) fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
