//! Handling of the shards' effects.

use crate::kernel::submit::{Arrival, MAX_PARK_MS};
use crate::run::RunState;
use crate::{Answer, Cause, Class, Effect, Kernel, MAX_CLOCK_SKEW_S, Metric, ShardEffect, Time};

impl Kernel {
    pub(super) fn handle_shard_effect(&mut self, now: Time, effect: ShardEffect) {
        match effect {
            ShardEffect::Send { to, msg } => self.send(&to, msg),
            ShardEffect::Store { token, op } => {
                self.count(Metric::StoreCalls, 1);
                self.out.push(Effect::StoreCall { op_id: token, op });
            }
            ShardEffect::Granted { ticket } => self.handle_grant(now, ticket),
            ShardEffect::Refused { ticket, class, cause } => {
                self.handle_denial(now, ticket, class, cause);
            }
            ShardEffect::Readmit { ticket } => {
                self.handle_denial(now, ticket, Class::Unknown, Cause::ShardMoving);
            }
            ShardEffect::Log(note) => self.out.push(Effect::Log(note)),
            ShardEffect::Count(metric, count) => self.count(metric, count),
        }
    }

    fn handle_grant(&mut self, now: Time, ticket: u64) {
        let keep_ms = self.keep_ms();
        let Some(run) = self.runs.get_mut(ticket) else { return };
        match run.state {
            RunState::AwaitingWitness => {
                run.keep_until = run.arrived.after_ms(keep_ms);
                self.start(now, ticket);
            }
            RunState::ConfirmingRefusal(cause) => {
                let refusal = self.refusal(now, Class::NotRun, cause);
                self.finish(now, ticket, Answer::Refused(refusal));
            }
            RunState::Running => {}
        }
    }

    fn handle_denial(&mut self, now: Time, ticket: u64, class: Class, cause: Cause) {
        let Some(run) = self.runs.get_mut(ticket) else { return };
        let submission = run.submission.clone();
        let waiters = std::mem::take(&mut run.waiters);
        let park_until = run.arrived.after_ms(MAX_PARK_MS).min(submission.deadline);
        self.runs.remove(ticket);
        for waiter in waiters {
            let arrival = Arrival { waiter, submission: submission.clone(), hops: 0, park_until };
            self.park_or_refuse(now, arrival, class, cause);
        }
    }

    /// Returns how long an id is kept, in milliseconds: the resubmission window and the maximum
    /// clock skew on both ends.
    pub(super) fn keep_ms(&self) -> u64 {
        let window_s = self.config.as_ref().map_or(0, |config| config.rules.window_s);
        (window_s + 2 * MAX_CLOCK_SKEW_S) * 1_000
    }

    /// Refuses a run that the witness has not confirmed in time.
    pub(super) fn end_unconfirmed(&mut self, now: Time, ticket: u64) {
        self.shards.cancel(ticket);
        let refusal = self.refusal(now, Class::Unknown, Cause::WitnessAway);
        self.finish(now, ticket, Answer::Refused(refusal));
    }
}
