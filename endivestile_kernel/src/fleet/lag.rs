//! How late an owner is with its own work.
//!
//! Workers answer an order at once. An answer that is handled late by all workers alike has
//! waited here: for a socket to be read, for its turn in the loop. The quickest answer of
//! each span is taken, so that a few workers in trouble do not count.

use crate::Time;

/// Span of which the quickest answer counts, in milliseconds.
const SPAN_MS: u64 = 100;
/// Lag from which on an owner counts as overloaded, in milliseconds: as much as the least
/// allowance that callers' objectives leave.
const OVERLOAD_MS: u32 = 60;

/// Lag of an owner, by the answers to its orders.
#[derive(Debug, Default)]
pub(crate) struct Lag {
    us: u64,
    quickest: Option<u64>,
    span_end: Time,
}

impl Lag {
    /// Takes in how long the answer to an order took, in microseconds.
    pub(crate) fn record(&mut self, took_us: u64) {
        self.quickest = Some(self.quickest.map_or(took_us, |least| least.min(took_us)));
    }

    /// Ends a span when that is due. Without any answer the lag is forgotten by half.
    pub(crate) fn tick(&mut self, now: Time) {
        if self.span_end > now {
            return;
        }
        self.span_end = now.after_ms(SPAN_MS);
        self.us = self.quickest.take().unwrap_or(0).max(self.us / 2);
    }

    /// Returns the lag in milliseconds.
    pub(crate) fn ms(&self) -> u32 {
        (self.us / 1_000) as u32
    }
}

/// Returns whether an owner that tells this lag takes new work only if no other can.
pub(crate) fn overloaded(lag_ms: u32) -> bool {
    lag_ms >= OVERLOAD_MS
}
