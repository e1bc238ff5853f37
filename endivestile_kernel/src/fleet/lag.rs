//! How far an owner lags behind with its own work.
//!
//! Workers answer a start call immediately. If even the fastest answer is handled late, it
//! waited on this host, in a socket or for its turn in the event loop. Only the fastest
//! answer of each interval counts, so that a few slow workers have no effect.

use crate::Time;

/// Interval of which only the fastest answer counts, in milliseconds.
const INTERVAL_MS: u64 = 100;
/// Lag from which on an owner is overloaded, in milliseconds; equals the smallest
/// allowance in callers' objectives.
const OVERLOAD_MS: u32 = 60;

/// Lag of an owner, measured by the answers to its start calls.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    lag_us: u64,
    fastest_us: Option<u64>,
    interval_end: Time,
}

impl Lag {
    /// Records how long an answer to a start call took, in microseconds.
    pub(crate) fn record(&mut self, took_us: u64) {
        self.fastest_us = Some(self.fastest_us.map_or(took_us, |least| least.min(took_us)));
    }

    /// Ends an interval when it is over. The lag drops by at most half per interval.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.interval_end > now {
            return;
        }
        self.interval_end = now.after_ms(INTERVAL_MS);
        self.lag_us = self.fastest_us.take().unwrap_or(0).max(self.lag_us / 2);
    }

    /// Returns the lag in milliseconds.
    pub(crate) fn ms(&self) -> u32 {
        (self.lag_us / 1_000) as u32
    }
}

/// Returns whether an owner with this lag gets new work only if no other owner can take it.
pub(crate) fn overloaded(lag_ms: u32) -> bool {
    lag_ms >= OVERLOAD_MS
}
