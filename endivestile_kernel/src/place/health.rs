//! Health of a backend, derived from the results of its calls.

use crate::Time;

/// Total weight of consecutive failures that ejects a backend.
const EJECT_WEIGHT: u32 = 6;

/// Weight of a failure that took about as long as an answer.
const SLOW_WEIGHT: u32 = 1;

/// Weight of a failure that came much sooner than an answer, or of a lost answer.
const FAST_WEIGHT: u32 = 2;

/// Duration of the first ejection in milliseconds, doubled with each failed probe.
const FIRST_EJECTION_MS: u64 = 200;

/// Longest ejection, in milliseconds.
const MAX_EJECTION_MS: u64 = 15_000;

/// Consecutive answers after which earlier ejections no longer count.
const FORGET_AFTER: u32 = 32;

/// Result of a call, as far as it concerns the health of its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// An answer.
    Success,
    /// A failure after about the usual run time.
    SlowFailure,
    /// A failure much sooner than the usual run time, or an incomplete answer.
    FastFailure,
    /// No connection, or the backend reported that it is leaving.
    Unavailable,
}

/// Health of one backend.
///
/// A backend that fails every task immediately always has free slots and the
/// shortest run times. Unless restricted it would attract whole jobs within a
/// second, visible as bursts of errors from a single backend. So every failure
/// halves the number of tasks that it may run, consecutive failures eject it, and
/// it returns with a single probe task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    /// Number of tasks it may run at once.
    task_limit: u32,
    /// Total weight of the consecutive failures.
    failure_weight: u32,
    /// Consecutive ejections.
    ejections: u32,
    /// Consecutive answers.
    successes: u32,
    /// End of the ejection, `None` while in use.
    ejected_until: Option<Time>,
}

impl Health {
    /// Creates the state of a healthy backend.
    pub(crate) const fn new() -> Self {
        Self {
            task_limit: u32::MAX,
            failure_weight: 0,
            ejections: 0,
            successes: 0,
            ejected_until: None,
        }
    }

    /// Returns whether it is in use, that is, not ejected.
    pub(crate) const fn is_active(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// Returns the number of tasks it may run at once.
    pub(crate) const fn task_limit(&self) -> u32 {
        self.task_limit
    }

    /// Returns the end of its ejection.
    pub(crate) const fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns whether its last answer was a failure.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failure_weight > 0 || self.ejected_until.is_some()
    }

    /// Records the result of a call; returns whether it ejects the backend.
    ///
    /// `running` counts the tasks that ran there, including this one. `lenient` means
    /// that most other backends of the pool fail as well, so that the tasks are the
    /// likely cause.
    pub(crate) fn record(
        &mut self,
        now: Time,
        result: CallResult,
        running: u32,
        lenient: bool,
    ) -> bool {
        let weight = match result {
            CallResult::Success => {
                self.succeed();
                return false;
            }
            CallResult::SlowFailure => SLOW_WEIGHT,
            CallResult::FastFailure => FAST_WEIGHT,
            CallResult::Unavailable => EJECT_WEIGHT,
        };
        if !self.is_active() {
            return false;
        }
        self.successes = 0;
        self.failure_weight += weight;
        let unavailable = result == CallResult::Unavailable;
        if lenient && !unavailable {
            return false;
        }
        // After an earlier ejection, one failure at the limit of a single task is enough.
        if unavailable
            || self.failure_weight >= EJECT_WEIGHT
            || self.task_limit == 1 && self.ejections > 0
        {
            self.eject(now);
            return true;
        }
        self.task_limit = (self.task_limit.min(running) / 2).max(1);
        false
    }

    fn succeed(&mut self) {
        self.failure_weight = 0;
        self.successes += 1;
        self.task_limit = self.task_limit.saturating_mul(2);
        if self.successes >= FORGET_AFTER {
            self.ejections = 0;
        }
    }

    fn eject(&mut self, now: Time) {
        let span = (FIRST_EJECTION_MS << self.ejections.min(16)).min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.ejected_until = Some(now.after_ms(span));
    }

    /// Ends the ejection and allows one task as a probe.
    pub(crate) fn start_probe(&mut self) {
        self.ejected_until = None;
        self.failure_weight = 0;
        self.successes = 0;
        self.task_limit = 1;
    }

    /// Postpones the probe.
    pub(crate) fn postpone_probe(&mut self, ejected_until: Time) {
        self.ejected_until = Some(ejected_until);
    }

    /// Limits it to one task at a time until an answer arrives; a failure ejects it.
    pub(crate) fn suspect(&mut self) {
        self.task_limit = 1;
        self.ejections = self.ejections.max(1);
    }

    /// Returns whether it has answered since its last ejection.
    pub(crate) const fn is_confirmed(&self) -> bool {
        self.is_active() && self.successes > 0
    }
}
