//! Answers to callers and fronts.

use std::sync::Arc;

use crate::run::Waiter;
use crate::{Answer, Cause, Class, Effect, Kernel, Metric, Msg, Time};

/// Default delay of a retry after a refusal, in milliseconds.
pub(super) const RETRY_AFTER_MS: u64 = 1_000;

impl Kernel {
    pub(super) fn refuse(&mut self, now: Time, waiter: &Waiter, class: Class, cause: Cause) {
        let refusal = self.refusal(now, class, cause);
        self.reply(waiter, Arc::new(Answer::Refused(refusal)));
    }

    pub(super) fn reply(&mut self, waiter: &Waiter, answer: Arc<Answer>) {
        match waiter {
            Waiter::Call(call) => {
                self.count_answer(&answer);
                self.out.push(Effect::Answer { call: *call, answer });
            }
            Waiter::Front(peer, call) => {
                let msg = Msg::Reply { call: *call, answer };
                self.send_unless_gone(peer, msg);
            }
        }
    }

    pub(super) fn retry_after(&self, now: Time, cause: Cause) -> Time {
        match cause {
            Cause::Expired => Time::NEVER,
            Cause::Full | Cause::Limit | Cause::Deadline => self.queue_drained_at(now),
            _ => now.after_ms(RETRY_AFTER_MS),
        }
    }

    fn count_answer(&mut self, answer: &Answer) {
        let metric = match answer {
            Answer::Complete(_) => Metric::Complete,
            Answer::Failed(_) => Metric::Failed,
            Answer::Refused(refusal) if refusal.class == Class::NotRun => Metric::RefusedNotRun,
            Answer::Refused(_) => Metric::RefusedUnknown,
            Answer::Conflict | Answer::Running | Answer::NotFound => return,
        };
        self.count(metric, 1);
    }
}
