//! Delays between attempts while the store is down.

use tokio::time::{Duration, Instant, sleep_until};

use crate::clock::jitter_ms;

/// First delay, in milliseconds.
const INITIAL_DELAY_MS: u64 = 50;

/// Exponential backoff with jitter.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Next delay, in milliseconds.
    next_ms: u64,
    /// Longest delay, in milliseconds.
    limit_ms: u64,
}

impl Backoff {
    /// Starts with the shortest delay.
    pub(crate) fn new(limit_ms: u64) -> Self {
        Self { next_ms: INITIAL_DELAY_MS.min(limit_ms), limit_ms }
    }

    /// Returns to the shortest delay after a success.
    pub(crate) fn reset(&mut self) {
        self.next_ms = INITIAL_DELAY_MS.min(self.limit_ms);
    }

    /// Changes the longest delay.
    pub(crate) fn set_limit(&mut self, limit_ms: u64) {
        self.limit_ms = limit_ms;
    }

    /// Waits for the next delay. Up to half of it is jitter from the clock, so
    /// that hosts that lost the store together do not reconnect together.
    pub(crate) async fn wait(&mut self) {
        let half = self.next_ms / 2;
        let delay_ms = half + jitter_ms(half);
        let end = Instant::now() + Duration::from_millis(delay_ms);
        self.next_ms = (self.next_ms * 2).min(self.limit_ms);
        sleep_until(end).await;
    }
}
