//! Rate at which work arrives.

use crate::Time;

/// Time constant of the average, in microseconds.
const TIME_CONSTANT_US: f64 = 2_000_000.0;

/// Minimum observed time by which a rate is divided, in microseconds.
const MIN_SPAN_US: f64 = 100_000.0;

/// Exponentially weighted average of the arrival rate.
///
/// The observed time is weighted like the arrivals. Divided by the full time
/// constant instead, the rate would look too low in the first seconds after a
/// start, and tasks would wait for fast backends that are already at capacity.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRate {
    /// Weighted sum of the units.
    units: f64,
    /// Weighted sum of the observed time, in microseconds.
    span_us: f64,
    /// Time of the last arrival.
    last: Time,
}

impl ArrivalRate {
    /// Records units that arrive.
    pub(crate) fn record(&mut self, now: Time, units: u32) {
        let (before, span_us) = self.decayed(now);
        self.units = before + f64::from(units);
        self.span_us = span_us;
        self.last = now;
    }

    /// Returns the rate in units per microsecond.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        let (units, span_us) = self.decayed(now);
        units / span_us.max(MIN_SPAN_US)
    }

    fn decayed(&self, now: Time) -> (f64, f64) {
        let gap = now.since(self.last).as_micros() as f64;
        let decay = (-gap / TIME_CONSTANT_US).exp();
        (self.units * decay, self.span_us * decay + TIME_CONSTANT_US * (1.0 - decay))
    }
}
