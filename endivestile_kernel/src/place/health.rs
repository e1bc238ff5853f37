//! Health of one back end, as its answers show it.

use crate::Time;

/// Weight of failures in a row that takes a back end out.
const OUT_WEIGHT: u32 = 6;

/// Weight of a failure that took about as long as an answer.
const SLOW_WEIGHT: u32 = 1;

/// Weight of a failure that came much sooner than an answer, or without one.
const FAST_WEIGHT: u32 = 2;

/// First time out, in milliseconds; doubled with each probe that fails.
const FIRST_OUT_MS: u64 = 200;

/// Longest time out, in milliseconds.
const LONGEST_OUT_MS: u64 = 15_000;

/// Answers in a row after which earlier times out are forgotten.
const FORGET_AFTER: u32 = 32;

/// How a call counts for the health of its back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// An answer.
    Good,
    /// A failure after about the usual run time.
    Slow,
    /// A failure much sooner than the usual run time, or no whole answer.
    Fast,
    /// No connection, or the back end said that it is leaving.
    Away,
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
    cap: u32,
    /// Weight of the failures in a row.
    strain: u32,
    /// Times out in a row.
    strikes: u32,
    /// Answers in a row.
    good: u32,
    /// End of the time out, none while in use.
    until: Option<Time>,
}

impl Health {
    /// A back end that nothing speaks against.
    pub(crate) const fn new() -> Self {
        Self { cap: u32::MAX, strain: 0, strikes: 0, good: 0, until: None }
    }

    /// Returns whether it is in use.
    pub(crate) const fn up(&self) -> bool {
        self.until.is_none()
    }

    /// Returns the tasks it may run at once.
    pub(crate) const fn cap(&self) -> u32 {
        self.cap
    }

    /// Returns the end of its time out.
    pub(crate) const fn until(&self) -> Option<Time> {
        self.until
    }

    /// Returns whether its last answer was a failure.
    pub(crate) const fn sour(&self) -> bool {
        self.strain > 0 || self.until.is_some()
    }

    /// Takes in how a call ended; returns whether it goes out by that.
    ///
    /// `running`: the tasks that ran there, this one among them. `spare`: most of
    /// its peers fail as well, so that the tasks are to blame.
    pub(crate) fn note(&mut self, now: Time, sign: CallResult, running: u32, spare: bool) -> bool {
        let weight = match sign {
            CallResult::Good => {
                self.succeed();
                return false;
            }
            CallResult::Slow => SLOW_WEIGHT,
            CallResult::Fast => FAST_WEIGHT,
            CallResult::Away => OUT_WEIGHT,
        };
        if !self.up() {
            return false;
        }
        self.good = 0;
        self.strain += weight;
        let away = sign == CallResult::Away;
        if spare && !away {
            return false;
        }
        // On probation one failure is enough.
        if away || self.strain >= OUT_WEIGHT || self.cap == 1 && self.strikes > 0 {
            self.take_out(now);
            return true;
        }
        self.cap = (self.cap.min(running) / 2).max(1);
        false
    }

    fn succeed(&mut self) {
        self.strain = 0;
        self.good += 1;
        self.cap = self.cap.saturating_mul(2);
        if self.good >= FORGET_AFTER {
            self.strikes = 0;
        }
    }

    fn take_out(&mut self, now: Time) {
        let span = (FIRST_OUT_MS << self.strikes.min(16)).min(LONGEST_OUT_MS);
        self.strikes += 1;
        self.until = Some(now.after_ms(span));
    }

    /// Ends the time out: one task may probe it.
    pub(crate) fn probe(&mut self) {
        self.until = None;
        self.strain = 0;
        self.good = 0;
        self.cap = 1;
    }

    /// Puts the probe off.
    pub(crate) fn postpone(&mut self, until: Time) {
        self.until = Some(until);
    }

    /// Lets one task at a time go there until an answer comes back; a failure
    /// takes it out.
    pub(crate) fn doubt(&mut self) {
        self.cap = 1;
        self.strikes = self.strikes.max(1);
    }

    /// Returns whether it has answered since its last time out.
    pub(crate) const fn proven(&self) -> bool {
        self.up() && self.good > 0
    }
}
