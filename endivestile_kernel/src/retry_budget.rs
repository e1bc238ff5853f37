//! Budget of retries.

/// Tokens of one first try: a retry takes this many hundredths.
const RETRY_COST: u32 = 100;
/// Retries that may be saved up.
const SAVED: u32 = 20;

/// Bounds retries to a share of first tries.
///
/// When all back ends fail, every request retried would double the load just
/// when it hurts most. A retry is paid for by first tries instead.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    percent: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Starts with a few retries saved up.
    pub(crate) fn new() -> Self {
        Self { percent: 10, tokens: SAVED * RETRY_COST }
    }

    /// Sets the retries allowed per hundred first tries.
    pub(crate) fn configure(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Notes a first try.
    pub(crate) fn first(&mut self) {
        self.tokens = (self.tokens + self.percent).min(SAVED * RETRY_COST);
    }

    /// Takes a retry, if one may be made.
    pub(crate) fn retry(&mut self) -> bool {
        if self.percent == 0 || self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }
}
