//! Rate at which work arrives.

use crate::Time;

/// Time over which arrivals are averaged, in microseconds.
const AVERAGED_US: f64 = 2_000_000.0;

/// Shortest time over which a rate is told, in microseconds.
const MIN_SPAN_US: f64 = 100_000.0;

/// Rate of arrivals, averaged with weights that fall off exponentially.
///
/// The weights are counted as well: without that, the first seconds after a
/// start look idle, and tasks wait for fast back ends that can't carry them.
#[derive(Debug, Default)]
pub(crate) struct ArrivalRate {
    /// Units, by weight.
    units: f64,
    /// Microseconds seen, by weight.
    span_us: f64,
    /// Last arrival.
    last: Time,
}

impl ArrivalRate {
    /// Counts units that arrive.
    pub(crate) fn record(&mut self, now: Time, units: u32) {
        let (before, span_us) = self.decayed(now);
        self.units = before + f64::from(units);
        self.span_us = span_us;
        self.last = now;
    }

    /// Returns the units a microsecond.
    pub(crate) fn rate(&self, now: Time) -> f64 {
        let (units, span_us) = self.decayed(now);
        units / span_us.max(MIN_SPAN_US)
    }

    fn decayed(&self, now: Time) -> (f64, f64) {
        let gap = now.since(self.last).as_micros() as f64;
        let decay = (-gap / AVERAGED_US).exp();
        (self.units * decay, self.span_us * decay + AVERAGED_US * (1.0 - decay))
    }
}
