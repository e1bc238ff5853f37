//! Calls on their way to the host that may run them.

use std::sync::Arc;

use crate::mint::Standing;
use crate::passed::{Forward, Parked, What};
use crate::run::{Run, RunState, Waiter};
use crate::{
    Admit, Answer, Ask, CallId, Cause, Class, Effect, Failure, Form, HostState, Kernel, Known,
    Metric, Msg, Peer, ShardEffect, Submission, SubmissionId, Time,
};

/// Hosts that pass a call on at most.
const MAX_HOPS: u8 = 3;
/// Longest wait for a shard to get a usable home, in milliseconds: somewhat
/// more than a take-over takes while the store answers.
const PATIENCE_MS: u64 = 4_000;
/// Wait before a parked submission is tried again, in milliseconds.
const PARK_MS: u64 = 100;
/// Time to answer a question before it is given up, in milliseconds.
const ASK_MS: u64 = 2_000;
/// Wait that a refusal suggests when nothing better is known, in milliseconds.
const RETRY_MS: u64 = 1_000;
/// Time by which entries outlive the window on both ends, in seconds.
const MARGIN_S: u64 = 60;

/// A submission on its way, with how it came here.
#[derive(Debug, Clone)]
pub(super) struct Arrival {
    pub(super) waiter: Waiter,
    pub(super) submission: Arc<Submission>,
    pub(super) hops: u8,
    pub(super) until: Time,
}

impl Kernel {
    pub(super) fn call(&mut self, now: Time, call: CallId, submission: Submission) {
        let until = submission.deadline.min(now.after_ms(PATIENCE_MS));
        let submission = Arc::new(submission);
        self.submit(now, Arrival { waiter: Waiter::Call(call), submission, hops: 0, until });
    }

    pub(super) fn called(&mut self, now: Time, call: CallId, id: SubmissionId, ask: Ask) {
        self.ask(now, Waiter::Call(call), id, ask, 0);
    }

    pub(super) fn submitted(
        &mut self,
        now: Time,
        from: &Peer,
        call: u64,
        submission: Arc<Submission>,
        hops: u8,
    ) {
        let until = submission.deadline.min(now.after_ms(PATIENCE_MS));
        let waiter = Waiter::Front(from.clone(), call);
        self.submit(now, Arrival { waiter, submission, hops, until });
    }

    pub(super) fn submit(&mut self, now: Time, arrival: Arrival) {
        let submission = arrival.submission.clone();
        let Some(id) = &submission.id else {
            self.begin(now, arrival, Time::ZERO);
            return;
        };
        if self.config.is_none() {
            self.refuse(now, &arrival.waiter, Class::Unknown, Cause::NoConfig);
            return;
        }
        let Some(arrival) = self.attach(now, id, arrival) else { return };
        match id.form() {
            Form::Minted(issuer, serial) if *issuer == self.setup.me => {
                self.submit_minted(now, arrival, *serial);
            }
            Form::Minted(issuer, _) => self.pass_minted(now, arrival, issuer),
            Form::Dated(_) => self.submit_dated(now, id, arrival),
        }
    }

    /// Joins a submission that this host runs or ran; gives the arrival back
    /// when there is none, or when it ended without having run.
    fn attach(&mut self, now: Time, id: &SubmissionId, arrival: Arrival) -> Option<Arrival> {
        let Some(number) = self.runs.by_id(id) else { return Some(arrival) };
        let run = self.runs.get_mut(number)?;
        if run.digest != arrival.submission.digest() {
            self.reply(now, &arrival.waiter, Arc::new(Answer::Conflict));
            return None;
        }
        let RunState::Ended(answer) = &run.state else {
            run.waiters.push(arrival.waiter);
            return None;
        };
        if answer.is_not_run() {
            self.runs.remove(number);
            return Some(arrival);
        }
        let answer = answer.clone();
        self.reply(now, &arrival.waiter, answer);
        None
    }

    fn submit_minted(&mut self, now: Time, arrival: Arrival, serial: u64) {
        match self.mint.standing(now, serial) {
            Standing::Valid(expires) => self.begin(now, arrival, expires),
            Standing::Expired | Standing::Forged => {
                self.refuse(now, &arrival.waiter, Class::Unknown, Cause::Expired);
            }
        }
    }

    fn pass_minted(&mut self, now: Time, arrival: Arrival, issuer: &Peer) {
        match self.hosts.view().state(issuer) {
            HostState::Gone => {
                let answer = Answer::Failed(Failure::HomeLost);
                self.reply(now, &arrival.waiter, Arc::new(answer));
            }
            HostState::Suspect => {
                self.refuse(now, &arrival.waiter, Class::Unknown, Cause::HomeAway);
            }
            HostState::Live | HostState::Leaving => self.forward(now, arrival, issuer.clone()),
        }
    }

    fn submit_dated(&mut self, now: Time, id: &SubmissionId, arrival: Arrival) {
        let digest = arrival.submission.digest();
        let verdict = self.admission(now, &arrival.submission);
        let state = verdict.map_or_else(RunState::Refusing, |()| RunState::Asking);
        // An id that was recorded before is met as such, however full the host is:
        // "not run" would be untrue of it.
        let asking = state == RunState::Asking || self.shards.known(id).is_some();
        let mut run = Run::new(now, arrival.submission.clone(), state);
        run.due = arrival.until;
        run.waiters.push(arrival.waiter.clone());
        let ticket = self.runs.add(run);
        let (view, out) = (self.hosts.view(), &mut self.shard_effects);
        let admit = if asking {
            self.shards.admit(now, view, id, digest, ticket, out)
        } else {
            self.shards.confirm(now, view, id, ticket, out)
        };
        self.admitted(now, id, arrival, ticket, admit);
    }

    fn admitted(
        &mut self,
        now: Time,
        id: &SubmissionId,
        arrival: Arrival,
        ticket: u64,
        admit: Admit,
    ) {
        if admit == Admit::Wait {
            return;
        }
        if let Admit::Known(known) = &admit
            && known.runner == self.setup.me
            && known.digest == arrival.submission.digest()
        {
            self.restart(now, id, arrival, ticket);
            return;
        }
        self.runs.remove(ticket);
        match admit {
            Admit::Wait => {}
            Admit::Forward(peer) => self.forward_home(now, arrival, peer),
            Admit::Known(known) => self.meet_known(now, arrival, &known),
            Admit::Refused(class, cause) => self.park_or_refuse(now, arrival, class, cause),
        }
    }

    /// Starts an id that this incarnation recorded and never started: whatever
    /// it started is in the table of runs for as long as the id may come back.
    /// The witness has to confirm that nobody took the shard over meanwhile.
    fn restart(&mut self, now: Time, id: &SubmissionId, arrival: Arrival, ticket: u64) {
        let (view, out) = (self.hosts.view(), &mut self.shard_effects);
        match self.shards.confirm(now, view, id, ticket, out) {
            Admit::Wait => {}
            Admit::Forward(peer) => {
                self.runs.remove(ticket);
                self.forward_home(now, arrival, peer);
            }
            Admit::Known(_) => {
                self.runs.remove(ticket);
                self.refuse(now, &arrival.waiter, Class::Unknown, Cause::ShardMoving);
            }
            Admit::Refused(class, cause) => {
                self.runs.remove(ticket);
                self.park_or_refuse(now, arrival, class, cause);
            }
        }
    }

    /// Meets an id that another incarnation may have started: only that one knows the answer.
    fn meet_known(&mut self, now: Time, arrival: Arrival, known: &Known) {
        if known.digest != arrival.submission.digest() {
            self.reply(now, &arrival.waiter, Arc::new(Answer::Conflict));
            return;
        }
        let state = self.hosts.view().state(&known.runner);
        let reachable = matches!(state, HostState::Live | HostState::Leaving);
        if reachable && arrival.hops + 1 < MAX_HOPS && known.runner != self.setup.me {
            self.forward(now, arrival, known.runner.clone());
            return;
        }
        let answer = Answer::Failed(Failure::HomeLost);
        self.reply(now, &arrival.waiter, Arc::new(answer));
    }

    fn forward_home(&mut self, now: Time, arrival: Arrival, home: Peer) {
        let state = self.hosts.view().state(&home);
        let reachable = matches!(state, HostState::Live | HostState::Leaving);
        if reachable && arrival.hops < MAX_HOPS {
            self.forward(now, arrival, home);
        } else {
            self.park_or_refuse(now, arrival, Class::Unknown, Cause::HomeAway);
        }
    }

    fn forward(&mut self, now: Time, arrival: Arrival, to: Peer) {
        let submission = arrival.submission;
        let forward = Forward {
            waiter: arrival.waiter,
            due: submission.deadline.after_ms(RETRY_MS),
            what: What::Submission(submission.clone()),
            to: to.clone(),
            hops: arrival.hops + 1,
            until: arrival.until.max(now.after_ms(PATIENCE_MS)),
        };
        let hops = forward.hops;
        let call = self.passed.forward(forward);
        self.count(Metric::Forwards, 1);
        self.push(&to, Msg::Submit { call, submission, hops });
    }

    /// Waits for the shard to get a usable home while that can be hoped for;
    /// otherwise refuses at once.
    fn park_or_refuse(&mut self, now: Time, arrival: Arrival, class: Class, cause: Cause) {
        let passing = matches!(cause, Cause::HomeAway | Cause::WitnessAway | Cause::ShardMoving);
        let at = now.after_ms(PARK_MS);
        // At the start the store may not have answered yet.
        let hope = self.hosts.view().store || now < Time::ZERO.after_ms(PATIENCE_MS);
        if !passing || !hope || at >= arrival.until {
            self.refuse(now, &arrival.waiter, class, cause);
            return;
        }
        let Arrival { waiter, submission, hops, until } = arrival;
        self.passed.park(at, Parked { waiter, submission, hops, until });
    }

    pub(super) fn shard_effect(&mut self, now: Time, effect: ShardEffect) {
        match effect {
            ShardEffect::Send { to, msg } => self.push(&to, msg),
            ShardEffect::Store { token, op } => {
                self.count(Metric::StoreCalls, 1);
                self.out.push(Effect::Store { token, op });
            }
            ShardEffect::Granted { ticket } => self.granted(now, ticket),
            ShardEffect::Refused { ticket, class, cause } => {
                self.ungranted(now, ticket, class, cause);
            }
            ShardEffect::Moved { ticket } => {
                self.ungranted(now, ticket, Class::Unknown, Cause::ShardMoving);
            }
            ShardEffect::Log(note) => self.out.push(Effect::Log(note)),
            ShardEffect::Count(metric, count) => self.count(metric, count),
        }
    }

    fn granted(&mut self, now: Time, ticket: u64) {
        let window_s = self.config.as_ref().map_or(0, |config| config.rules.window_s);
        let Some(run) = self.runs.get_mut(ticket) else { return };
        match run.state {
            RunState::Asking => {
                run.keep = run.arrived.after_ms((window_s + 2 * MARGIN_S) * 1_000);
                self.start(now, ticket);
            }
            RunState::Refusing(cause) => {
                let refusal = self.refusal(now, Class::NotRun, cause);
                self.finish(now, ticket, Answer::Refused(refusal));
            }
            RunState::Running | RunState::Ended(_) => {}
        }
    }

    fn ungranted(&mut self, now: Time, ticket: u64, class: Class, cause: Cause) {
        let Some(run) = self.runs.get_mut(ticket) else { return };
        let submission = run.submission.clone();
        let waiters = std::mem::take(&mut run.waiters);
        let until = run.arrived.after_ms(PATIENCE_MS).min(submission.deadline);
        self.runs.remove(ticket);
        for waiter in waiters {
            let arrival = Arrival { waiter, submission: submission.clone(), hops: 0, until };
            self.park_or_refuse(now, arrival, class, cause);
        }
    }

    /// Gives up on a run that the witness has not let start.
    pub(super) fn give_up_asking(&mut self, now: Time, ticket: u64) {
        self.shards.withdraw(ticket);
        let refusal = self.refusal(now, Class::Unknown, Cause::WitnessAway);
        self.finish(now, ticket, Answer::Refused(refusal));
    }

    pub(super) fn ask(&mut self, now: Time, waiter: Waiter, id: SubmissionId, ask: Ask, hops: u8) {
        if let Some(number) = self.runs.by_id(&id) {
            self.answer_ask(now, &waiter, number, ask);
            return;
        }
        let owner = match id.form() {
            Form::Minted(issuer, _) => Some(issuer.clone()),
            Form::Dated(_) => match self.shards.known(&id) {
                Some(known) => Some(known.runner.clone()),
                None => self.shards.home(&id).cloned(),
            },
        };
        let Some(owner) = owner else {
            self.refuse(now, &waiter, Class::Unknown, Cause::ShardMoving);
            return;
        };
        if owner == self.setup.me {
            self.reply(now, &waiter, Arc::new(Answer::NotFound));
            return;
        }
        match self.hosts.view().state(&owner) {
            HostState::Gone => {
                let answer = Answer::Failed(Failure::HomeLost);
                self.reply(now, &waiter, Arc::new(answer));
            }
            HostState::Live | HostState::Leaving if hops < MAX_HOPS => {
                self.forward_ask(now, waiter, id, ask, owner, hops + 1);
            }
            _ => self.refuse(now, &waiter, Class::Unknown, Cause::HomeAway),
        }
    }

    fn forward_ask(
        &mut self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        ask: Ask,
        to: Peer,
        hops: u8,
    ) {
        let due = now.after_ms(ASK_MS);
        let forward = Forward { waiter, what: What::Ask, to: to.clone(), due, hops, until: due };
        let call = self.passed.forward(forward);
        self.push(&to, Msg::Ask { call, id, ask, hops });
    }

    fn answer_ask(&mut self, now: Time, waiter: &Waiter, number: u64, ask: Ask) {
        let Some(run) = self.runs.get_mut(number) else { return };
        if let RunState::Ended(answer) = &run.state {
            let answer = answer.clone();
            self.reply(now, waiter, answer);
            return;
        }
        match ask {
            Ask::Fetch => self.reply(now, waiter, Arc::new(Answer::Running)),
            Ask::Cancel => {
                run.waiters.push(waiter.clone());
                self.shards.withdraw(number);
                self.keep_cancelled(now, number);
                self.finish(now, number, Answer::Failed(Failure::Cancelled));
            }
        }
    }

    /// A cancelled id stays cancelled when its submission comes in late.
    fn keep_cancelled(&mut self, now: Time, number: u64) {
        let window_s = self.config.as_ref().map_or(0, |config| config.rules.window_s);
        let keep = now.after_ms((window_s + 2 * MARGIN_S) * 1_000);
        if let Some(run) = self.runs.get_mut(number) {
            run.keep = run.keep.max(keep);
        }
    }

    pub(super) fn replied(&mut self, now: Time, call: u64, answer: Arc<Answer>) {
        let Some(forward) = self.passed.take(call) else { return };
        self.reply(now, &forward.waiter, answer);
    }

    /// Takes back what was passed on to hosts that went silent or are gone.
    pub(super) fn reroute(&mut self, now: Time) {
        let view = self.hosts.view();
        let away = |peer: &Peer| matches!(view.state(peer), HostState::Suspect | HostState::Gone);
        for forward in self.passed.take_to(away) {
            self.reroute_one(now, forward);
        }
    }

    fn reroute_one(&mut self, now: Time, forward: Forward) {
        let gone = self.hosts.view().state(&forward.to) == HostState::Gone;
        let Forward { waiter, what, hops, until, .. } = forward;
        let What::Submission(submission) = what else {
            self.refuse(now, &waiter, Class::Unknown, Cause::HomeAway);
            return;
        };
        let minted = submission.id.as_ref().is_some_and(|id| matches!(id.form(), Form::Minted(..)));
        if minted && gone {
            self.reply(now, &waiter, Arc::new(Answer::Failed(Failure::HomeLost)));
        } else if minted {
            self.refuse(now, &waiter, Class::Unknown, Cause::HomeAway);
        } else {
            let hops = hops.saturating_sub(1);
            let until = until.max(now.after_ms(PATIENCE_MS)).min(submission.deadline);
            let arrival = Arrival { waiter, submission, hops, until };
            self.park_or_refuse(now, arrival, Class::Unknown, Cause::HomeAway);
        }
    }

    pub(super) fn passed_due(&mut self, now: Time) {
        while let Some(parked) = self.passed.unpark(now) {
            let Parked { waiter, submission, hops, until } = parked;
            self.submit(now, Arrival { waiter, submission, hops, until });
        }
        while let Some(forward) = self.passed.late(now) {
            match forward.what {
                What::Submission(_) => {
                    let answer = Answer::Failed(Failure::Deadline);
                    self.reply(now, &forward.waiter, Arc::new(answer));
                }
                What::Ask => {
                    self.refuse(now, &forward.waiter, Class::Unknown, Cause::HomeAway);
                }
            }
        }
    }

    pub(super) fn refuse(&mut self, now: Time, waiter: &Waiter, class: Class, cause: Cause) {
        let refusal = self.refusal(now, class, cause);
        self.reply(now, waiter, Arc::new(Answer::Refused(refusal)));
    }

    pub(super) fn reply(&mut self, now: Time, waiter: &Waiter, answer: Arc<Answer>) {
        match waiter {
            Waiter::Call(call) => {
                self.count_answer(&answer);
                self.out.push(Effect::Answer { call: *call, answer });
            }
            Waiter::Front(peer, call) => {
                let msg = Msg::Reply { call: *call, answer };
                self.push_alive(now, peer, msg);
            }
        }
    }

    pub(super) fn retry_at(&self, now: Time, cause: Cause) -> Time {
        match cause {
            Cause::Expired => Time::NEVER,
            Cause::Full | Cause::Limit | Cause::Deadline => self.drain_at(now),
            _ => now.after_ms(RETRY_MS),
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
