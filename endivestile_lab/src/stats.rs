//! Percentiles and medians.

/// Returns the `percent` percentile of `values` by nearest rank, 0 when there are none.
pub fn percentile(values: &[f64], percent: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let rank = (percent / 100.0 * sorted.len() as f64).ceil() as usize;
    sorted.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Returns the median of `values`, 0 when there are none.
pub fn median(values: &[f64]) -> f64 {
    percentile(values, 50.0)
}
