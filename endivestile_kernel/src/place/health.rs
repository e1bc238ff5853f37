//! Health of one back end, as its answers show it.

use crate::Time;

/// Weight of failures in a row that takes a back end out.
const EJECT_WEIGHT: u32 = 6;

/// Weight of a failure that took about as long as an answer.
const SLOW_WEIGHT: u32 = 1;

/// Weight of a failure that came much sooner than an answer, or without one.
const FAST_WEIGHT: u32 = 2;

/// First time out, in milliseconds; doubled with each probe that fails.
const FIRST_EJECTION_MS: u64 = 200;

/// Longest time out, in milliseconds.
const MAX_EJECTION_MS: u64 = 15_000;

/// Answers in a row after which earlier times out are forgotten.
const FORGET_AFTER: u32 = 32;

/// How a call counts for the health of its back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// An answer.
    Success,
    /// A failure after about the usual run time.
    SlowFailure,
    /// A failure much sooner than the usual run time, or no whole answer.
    FastFailure,
    /// No connection, or the back end said that it is leaving.
    Unavailable,
}

/// Health of one back end.
///
/// A back end that fails every task at once has free slots all the time and
/// the shortest run times: left alone it swallows whole jobs within a second,
/// which shows as bursts of errors with one back end's name. So every failure
/// halves the tasks it may run at once, failures in a row take it out, and it
/// comes back by a single task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Health {
    /// Tasks it may run at once now.
    task_limit: u32,
    /// Weight of the failures in a row.
    failure_weight: u32,
    /// Times out in a row.
    ejections: u32,
    /// Answers in a row.
    successes: u32,
    /// End of the time out, none while in use.
    ejected_until: Option<Time>,
}

impl Health {
    /// A back end that nothing speaks against.
    pub(crate) const fn new() -> Self {
        Self {
            task_limit: u32::MAX,
            failure_weight: 0,
            ejections: 0,
            successes: 0,
            ejected_until: None,
        }
    }

    /// Returns whether it is in use.
    pub(crate) const fn is_active(&self) -> bool {
        self.ejected_until.is_none()
    }

    /// Returns the tasks it may run at once.
    pub(crate) const fn task_limit(&self) -> u32 {
        self.task_limit
    }

    /// Returns the end of its time out.
    pub(crate) const fn ejected_until(&self) -> Option<Time> {
        self.ejected_until
    }

    /// Returns whether its last answer was a failure.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failure_weight > 0 || self.ejected_until.is_some()
    }

    /// Takes in how a call ended; returns whether it goes out by that.
    ///
    /// `running`: the tasks that ran there, this one among them. `spare`: most of
    /// its peers fail as well, so that the tasks are to blame.
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
        // On probation one failure is enough.
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

    /// Ends the time out: one task may probe it.
    pub(crate) fn start_probe(&mut self) {
        self.ejected_until = None;
        self.failure_weight = 0;
        self.successes = 0;
        self.task_limit = 1;
    }

    /// Puts the probe off.
    pub(crate) fn postpone_probe(&mut self, ejected_until: Time) {
        self.ejected_until = Some(ejected_until);
    }

    /// Lets one task at a time go there until an answer comes back; a failure
    /// takes it out.
    pub(crate) fn suspect(&mut self) {
        self.task_limit = 1;
        self.ejections = self.ejections.max(1);
    }

    /// Returns whether it has answered since its last time out.
    pub(crate) const fn is_confirmed(&self) -> bool {
        self.is_active() && self.successes > 0
    }
}
