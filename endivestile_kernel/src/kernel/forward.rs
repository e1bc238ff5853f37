//! Forwarding of calls to other hosts, and parking of submissions until one is usable.

use std::sync::Arc;

use crate::forwards::{Forward, ForwardedRequest, Parked};
use crate::kernel::reply::RETRY_AFTER_MS;
use crate::kernel::submit::{Arrival, MAX_HOPS, MAX_PARK_MS};
use crate::run::Waiter;
use crate::{Answer, Cause, Class, Failure, HostState, IdForm, Kernel, Metric, Msg, Peer, Time};

/// Delay of the next attempt of a parked submission, in milliseconds.
const PARK_RETRY_MS: u64 = 100;

impl Kernel {
    pub(super) fn forward_to_home(&mut self, now: Time, arrival: Arrival, home: Peer) {
        let state = self.membership.view().state(&home);
        let reachable = matches!(state, HostState::Live | HostState::Leaving);
        if reachable && arrival.hops < MAX_HOPS {
            self.forward(now, arrival, home, false);
        } else {
            self.park_or_refuse(now, arrival, Class::Unknown, Cause::HomeAway);
        }
    }

    /// Forwards a submission; `recorded` means that its id is recorded with the receiver as its
    /// runner.
    pub(super) fn forward(&mut self, now: Time, arrival: Arrival, to: Peer, recorded: bool) {
        if self.is_closing(now) && matches!(arrival.waiter, Waiter::Call(_)) {
            self.refuse(now, &arrival.waiter, Class::Unknown, Cause::Stopping);
            return;
        }
        let submission = arrival.submission;
        let forward = Forward {
            waiter: arrival.waiter,
            due: submission.deadline.after_ms(RETRY_AFTER_MS),
            request: ForwardedRequest::Submission(submission.clone()),
            to: to.clone(),
            hops: arrival.hops + 1,
            park_until: arrival.park_until.max(now.after_ms(MAX_PARK_MS)),
        };
        let hops = forward.hops;
        let call = self.forwards.add(forward);
        self.count(Metric::Forwards, 1);
        self.send(&to, Msg::Submit { call, submission, hops, recorded });
    }

    /// Parks a submission while its shard may still get a usable home, otherwise refuses it.
    pub(super) fn park_or_refuse(
        &mut self,
        now: Time,
        arrival: Arrival,
        class: Class,
        cause: Cause,
    ) {
        let transient = matches!(cause, Cause::HomeAway | Cause::WitnessAway | Cause::ShardMoving);
        // Shortly after the start the store may not have answered yet.
        let may_recover =
            self.membership.view().store_available || now < Time::ZERO.after_ms(MAX_PARK_MS);
        if transient && may_recover && Self::may_park(now, &arrival) {
            self.park(now, arrival);
        } else {
            self.refuse(now, &arrival.waiter, class, cause);
        }
    }

    /// Returns whether there is time for another attempt of a submission.
    pub(super) fn may_park(now: Time, arrival: &Arrival) -> bool {
        now.after_ms(PARK_RETRY_MS) < arrival.park_until
    }

    /// Schedules another attempt of a submission.
    pub(super) fn park(&mut self, now: Time, arrival: Arrival) {
        let Arrival { waiter, submission, hops, park_until } = arrival;
        self.forwards
            .park(now.after_ms(PARK_RETRY_MS), Parked { waiter, submission, hops, park_until });
    }

    pub(super) fn handle_reply(&mut self, call: u64, answer: Arc<Answer>) {
        let Some(forward) = self.forwards.take(call) else { return };
        self.reply(&forward.waiter, answer);
    }

    /// Reroutes the calls forwarded to hosts that are suspect or gone.
    pub(super) fn reroute_forwards(&mut self, now: Time) {
        let view = self.membership.view();
        let unreachable =
            |peer: &Peer| matches!(view.state(peer), HostState::Suspect | HostState::Gone);
        for forward in self.forwards.take_to(unreachable) {
            self.reroute_forward(now, forward);
        }
    }

    fn reroute_forward(&mut self, now: Time, forward: Forward) {
        let gone = self.membership.view().state(&forward.to) == HostState::Gone;
        let Forward { waiter, request, hops, park_until, .. } = forward;
        let ForwardedRequest::Submission(submission) = request else {
            self.refuse(now, &waiter, Class::Unknown, Cause::HomeAway);
            return;
        };
        let minted =
            submission.id.as_ref().is_some_and(|id| matches!(id.form(), IdForm::Minted(..)));
        if minted && gone {
            self.reply(&waiter, Arc::new(Answer::Failed(Failure::HomeLost)));
        } else if minted {
            self.refuse(now, &waiter, Class::Unknown, Cause::HomeAway);
        } else {
            let hops = hops.saturating_sub(1);
            let park_until = park_until.max(now.after_ms(MAX_PARK_MS)).min(submission.deadline);
            let arrival = Arrival { waiter, submission, hops, park_until };
            self.park_or_refuse(now, arrival, Class::Unknown, Cause::HomeAway);
        }
    }

    pub(super) fn resume_forwards(&mut self, now: Time) {
        while let Some(parked) = self.forwards.pop_parked(now) {
            let Parked { waiter, submission, hops, park_until } = parked;
            self.submit(now, Arrival { waiter, submission, hops, park_until });
        }
        while let Some(forward) = self.forwards.pop_late(now) {
            match forward.request {
                ForwardedRequest::Submission(_) => {
                    let answer = Answer::Failed(Failure::Deadline);
                    self.reply(&forward.waiter, Arc::new(answer));
                }
                ForwardedRequest::Ask => {
                    self.refuse(now, &forward.waiter, Class::Unknown, Cause::HomeAway);
                }
            }
        }
    }
}
