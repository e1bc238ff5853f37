//! Waits between attempts while the store is down.

use tokio::time::{Duration, Instant, sleep_until};

/// First wait, in milliseconds.
const FIRST_MS: u64 = 50;

/// Waits that double up to a limit.
#[derive(Debug)]
pub(crate) struct Backoff {
    /// Next wait, in milliseconds.
    next_ms: u64,
    /// Longest wait, in milliseconds.
    limit_ms: u64,
}

impl Backoff {
    /// Starts with the shortest wait.
    pub(crate) fn new(limit_ms: u64) -> Self {
        Self { next_ms: FIRST_MS.min(limit_ms), limit_ms }
    }

    /// Starts anew after a success.
    pub(crate) fn reset(&mut self) {
        self.next_ms = FIRST_MS.min(self.limit_ms);
    }

    /// Waits. Half of the wait depends on the moment, so that hosts that lost
    /// the store together do not come back together.
    pub(crate) async fn wait(&mut self) {
        let half = self.next_ms / 2;
        let nanos = u64::from(crate::clock::since_epoch().subsec_nanos());
        let pause = half + nanos % half.max(1);
        let until = Instant::now() + Duration::from_millis(pause);
        self.next_ms = (self.next_ms * 2).min(self.limit_ms);
        sleep_until(until).await;
    }
}
