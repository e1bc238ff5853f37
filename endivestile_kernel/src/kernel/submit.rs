//! Routing of submissions to the host that may run them.

use std::sync::Arc;

use crate::mint::IdValidity;
use crate::run::{Run, RunState, Waiter};
use crate::{
    Admission, Answer, CallId, Cause, Class, Failure, HostState, IdForm, Kernel, KnownId, Peer,
    Submission, SubmissionId, Time,
};

/// Maximum number of times a call is forwarded.
pub(super) const MAX_HOPS: u8 = 3;
/// Maximum wait for a shard to get a usable home, in milliseconds: somewhat more than a takeover
/// takes while the store is available.
pub(super) const MAX_PARK_MS: u64 = 4_000;

/// A submission to be routed, with its origin.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    /// Recipient of the answer.
    pub(super) waiter: Waiter,
    /// The submission.
    pub(super) submission: Arc<Submission>,
    /// Number of times it was forwarded.
    pub(super) hops: u8,
    /// Until when to wait for a usable home.
    pub(super) park_until: Time,
}

impl Kernel {
    pub(super) fn handle_submit(&mut self, now: Time, call: CallId, submission: Submission) {
        let park_until = submission.deadline.min(now.after_ms(MAX_PARK_MS));
        let submission = Arc::new(submission);
        self.submit(now, Arrival { waiter: Waiter::Call(call), submission, hops: 0, park_until });
    }

    pub(super) fn handle_forwarded_submit(
        &mut self,
        now: Time,
        waiter: Waiter,
        submission: Arc<Submission>,
        hops: u8,
        recorded: bool,
    ) {
        let park_until = submission.deadline.min(now.after_ms(MAX_PARK_MS));
        let arrival = Arrival { waiter, submission, hops, park_until };
        match arrival.submission.id.clone() {
            Some(id) if recorded => self.submit_recorded(now, &id, arrival),
            _ => self.submit(now, arrival),
        }
    }

    /// Starts an id that its home has recorded with this incarnation as the runner, unless it was
    /// started before.
    ///
    /// A home may send an id to its witness and transfer the shard before the acknowledgement
    /// arrives: it has not started the id, and no other host may. Without this path a planned stop
    /// would fail the submission. It cannot start twice: ids that this incarnation started are in
    /// the table of runs until after they have expired, and no other incarnation starts a recorded
    /// id.
    fn submit_recorded(&mut self, now: Time, id: &SubmissionId, arrival: Arrival) {
        let Some(arrival) = self.attach(id, arrival) else { return };
        let window_s = self.config.as_ref().map_or(0, |config| config.rules.window_s);
        let wall_s = self.setup.wall_s + now.as_micros() / 1_000_000;
        match id.form() {
            IdForm::Dated(secs) if wall_s <= secs.saturating_add(window_s) => {
                let keep = now.after_ms(self.keep_ms());
                self.start_run(now, arrival, keep);
            }
            _ => self.refuse(now, &arrival.waiter, Class::Unknown, Cause::Expired),
        }
    }

    pub(super) fn submit(&mut self, now: Time, arrival: Arrival) {
        let submission = arrival.submission.clone();
        let Some(id) = &submission.id else {
            self.start_run(now, arrival, Time::ZERO);
            return;
        };
        if self.config.is_none() {
            self.refuse(now, &arrival.waiter, Class::Unknown, Cause::NoConfig);
            return;
        }
        let Some(arrival) = self.attach(id, arrival) else { return };
        match id.form() {
            IdForm::Minted(issuer, serial) if *issuer == self.setup.me => {
                self.submit_minted(now, arrival, *serial);
            }
            IdForm::Minted(issuer, _) => self.forward_minted(now, arrival, issuer),
            IdForm::Dated(_) => self.submit_dated(now, id, arrival),
        }
    }

    /// Attaches a call to a submission that this host runs or ran. Returns the arrival if there is
    /// none, or if it ended without having run.
    fn attach(&mut self, id: &SubmissionId, arrival: Arrival) -> Option<Arrival> {
        let digest = arrival.submission.digest();
        if let Some(run) = self.runs.by_id(id).and_then(|number| self.runs.get_mut(number)) {
            if run.digest == digest {
                run.waiters.push(arrival.waiter);
            } else {
                self.reply(&arrival.waiter, Arc::new(Answer::Conflict));
            }
            return None;
        }
        let Some(ended) = self.runs.answers().get(id) else { return Some(arrival) };
        if ended.digest != digest {
            self.reply(&arrival.waiter, Arc::new(Answer::Conflict));
            return None;
        }
        if ended.answer.is_not_run() {
            self.runs.answers_mut().remove(id);
            return Some(arrival);
        }
        let answer = ended.answer.clone();
        self.reply(&arrival.waiter, answer);
        None
    }

    fn submit_minted(&mut self, now: Time, arrival: Arrival, serial: u64) {
        match self.mint.validity(now, serial) {
            IdValidity::Valid(expires) => self.start_run(now, arrival, expires),
            IdValidity::Expired | IdValidity::NotIssued => {
                self.refuse(now, &arrival.waiter, Class::Unknown, Cause::Expired);
            }
        }
    }

    fn forward_minted(&mut self, now: Time, arrival: Arrival, issuer: &Peer) {
        match self.membership.view().state(issuer) {
            HostState::Gone => {
                let answer = Answer::Failed(Failure::HomeLost);
                self.reply(&arrival.waiter, Arc::new(answer));
            }
            HostState::Suspect => {
                self.refuse(now, &arrival.waiter, Class::Unknown, Cause::HomeAway);
            }
            HostState::Live | HostState::Leaving => {
                self.forward(now, arrival, issuer.clone(), false)
            }
        }
    }

    fn submit_dated(&mut self, now: Time, id: &SubmissionId, arrival: Arrival) {
        let digest = arrival.submission.digest();
        let admissible = self.check_admission(now, &arrival.submission);
        let state =
            admissible.map_or_else(RunState::ConfirmingRefusal, |()| RunState::AwaitingWitness);
        // An id that was recorded before is handled as such, however full the host is: refusing it
        // as "not run" would be wrong.
        let needs_grant = state == RunState::AwaitingWitness || self.shards.lookup(id).is_some();
        let mut run = Run::new(now, arrival.submission.clone(), state);
        run.due = arrival.park_until;
        run.waiters.push(arrival.waiter.clone());
        let ticket = self.runs.add(run);
        let (view, out) = (self.membership.view(), &mut self.shard_effects);
        let admission = if needs_grant {
            self.shards.admit(now, view, id, digest, ticket, out)
        } else {
            self.shards.confirm_not_run(now, view, id, ticket, out)
        };
        self.handle_admission(now, id, arrival, ticket, admission);
    }

    fn handle_admission(
        &mut self,
        now: Time,
        id: &SubmissionId,
        arrival: Arrival,
        ticket: u64,
        admission: Admission,
    ) {
        if admission == Admission::Wait {
            return;
        }
        if let Admission::Known(known) = &admission
            && known.runner == self.setup.me
            && known.digest == arrival.submission.digest()
        {
            self.confirm_unstarted(now, id, arrival, ticket);
            return;
        }
        self.runs.remove(ticket);
        match admission {
            Admission::Wait => {}
            Admission::Forward(peer) => self.forward_to_home(now, arrival, peer),
            Admission::Known(known) => self.forward_to_runner(now, arrival, &known),
            Admission::Refused(class, cause) => self.park_or_refuse(now, arrival, class, cause),
        }
    }

    /// Starts an id that this incarnation recorded but never started: ids that it started are in
    /// the table of runs for as long as they may be resubmitted. The witness has to confirm that no
    /// other host has taken over the shard.
    fn confirm_unstarted(&mut self, now: Time, id: &SubmissionId, arrival: Arrival, ticket: u64) {
        let (view, out) = (self.membership.view(), &mut self.shard_effects);
        match self.shards.confirm_not_run(now, view, id, ticket, out) {
            Admission::Wait => {}
            Admission::Forward(peer) => {
                self.runs.remove(ticket);
                self.forward_to_home(now, arrival, peer);
            }
            Admission::Known(_) => {
                self.runs.remove(ticket);
                self.refuse(now, &arrival.waiter, Class::Unknown, Cause::ShardMoving);
            }
            Admission::Refused(class, cause) => {
                self.runs.remove(ticket);
                self.park_or_refuse(now, arrival, class, cause);
            }
        }
    }

    /// Forwards an id that another incarnation may have started: only that one has the answer.
    fn forward_to_runner(&mut self, now: Time, arrival: Arrival, known: &KnownId) {
        if known.digest != arrival.submission.digest() {
            self.reply(&arrival.waiter, Arc::new(Answer::Conflict));
            return;
        }
        let state = self.membership.view().state(&known.runner);
        let reachable = matches!(state, HostState::Live | HostState::Leaving);
        if reachable && arrival.hops + 1 < MAX_HOPS && known.runner != self.setup.me {
            self.forward(now, arrival, known.runner.clone(), true);
            return;
        }
        // A host that is briefly unresponsive may still run it, or have the answer.
        if state == HostState::Suspect && Self::may_park(now, &arrival) {
            self.park(now, arrival);
            return;
        }
        let answer = Answer::Failed(Failure::HomeLost);
        self.reply(&arrival.waiter, Arc::new(answer));
    }
}
