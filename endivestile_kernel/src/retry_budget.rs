//! Limit on retries as a share of first attempts.

/// Tokens that a retry consumes; a first attempt earns the configured percentage.
const RETRY_COST: u32 = 100;
/// Maximum number of accumulated retries.
const MAX_SAVED_RETRIES: u32 = 20;

/// Token bucket that limits retries to a percentage of first attempts.
///
/// When all backends fail, retrying every request would double the load while they can handle it
/// least. Retries therefore consume tokens that first attempts have earned.
#[derive(Debug)]
pub(crate) struct RetryBudget {
    percent: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new() -> Self {
        Self { percent: 10, tokens: MAX_SAVED_RETRIES * RETRY_COST }
    }

    /// Sets the number of retries allowed per hundred first attempts.
    pub(crate) fn configure(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Records a first attempt.
    pub(crate) fn record_first_attempt(&mut self) {
        self.tokens = (self.tokens + self.percent).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Consumes the tokens of a retry and returns true if the budget allows one.
    pub(crate) fn try_retry(&mut self) -> bool {
        if self.percent == 0 || self.tokens < RETRY_COST {
            return false;
        }
        self.tokens -= RETRY_COST;
        true
    }
}
