//! Queries about ids, and cancellations.

use std::sync::Arc;

use crate::forwards::{Forward, ForwardedRequest};
use crate::kernel::submit::MAX_HOPS;
use crate::run::Waiter;
use crate::{
    Answer, Ask, CallId, Cause, Class, Failure, HostState, IdForm, Kernel, Msg, Peer, SubmissionId,
    Time,
};

/// Timeout of a forwarded query, in milliseconds.
const QUERY_TIMEOUT_MS: u64 = 2_000;

impl Kernel {
    pub(super) fn handle_ask(&mut self, now: Time, call: CallId, id: SubmissionId, ask: Ask) {
        self.answer_query(now, Waiter::Call(call), id, ask, 0);
    }

    pub(super) fn answer_query(
        &mut self,
        now: Time,
        waiter: Waiter,
        id: SubmissionId,
        ask: Ask,
        hops: u8,
    ) {
        if let Some(number) = self.runs.by_id(&id) {
            self.answer_running(now, &waiter, number, ask);
            return;
        }
        if let Some(ended) = self.runs.answers().get(&id) {
            let answer = ended.answer.clone();
            self.reply(&waiter, answer);
            return;
        }
        let responder = match id.form() {
            IdForm::Minted(issuer, _) => Some(issuer.clone()),
            IdForm::Dated(_) => match self.shards.lookup(&id) {
                Some(known) => Some(known.runner.clone()),
                None => self.shards.home_of(&id).cloned(),
            },
        };
        let Some(responder) = responder else {
            self.refuse(now, &waiter, Class::Unknown, Cause::ShardMoving);
            return;
        };
        if responder == self.setup.me {
            self.reply(&waiter, Arc::new(Answer::NotFound));
            return;
        }
        match self.membership.view().state(&responder) {
            HostState::Gone => {
                let answer = Answer::Failed(Failure::HomeLost);
                self.reply(&waiter, Arc::new(answer));
            }
            HostState::Live | HostState::Leaving if hops < MAX_HOPS => {
                self.forward_ask(now, waiter, id, ask, responder, hops + 1);
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
        let due = now.after_ms(QUERY_TIMEOUT_MS);
        let forward = Forward {
            waiter,
            request: ForwardedRequest::Ask,
            to: to.clone(),
            due,
            hops,
            park_until: due,
        };
        let call = self.forwards.add(forward);
        self.send(&to, Msg::Ask { call, id, ask, hops });
    }

    fn answer_running(&mut self, now: Time, waiter: &Waiter, number: u64, ask: Ask) {
        let Some(run) = self.runs.get_mut(number) else { return };
        match ask {
            Ask::Fetch => self.reply(waiter, Arc::new(Answer::Running)),
            Ask::Cancel => {
                run.waiters.push(waiter.clone());
                self.shards.cancel(number);
                self.keep_cancellation(now, number);
                self.finish(now, number, Answer::Failed(Failure::Cancelled));
            }
        }
    }

    /// Keeps the answer of a cancelled run, so that its submission stays cancelled if it arrives
    /// late.
    fn keep_cancellation(&mut self, now: Time, number: u64) {
        let keep = now.after_ms(self.keep_ms());
        if let Some(run) = self.runs.get_mut(number) {
            run.keep_until = run.keep_until.max(keep);
        }
    }
}
