//! Questions about ids, and cancellations.

use std::sync::Arc;

use crate::forwards::{Forward, Forwarded};
use crate::kernel::submit::MAX_HOPS;
use crate::run::Waiter;
use crate::{
    Answer, Ask, CallId, Cause, Class, Failure, HostState, IdForm, Kernel, Msg, Peer, SubmissionId,
    Time,
};

/// Time to answer a question before it is given up, in milliseconds.
const ASK_MS: u64 = 2_000;

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
            self.answer_ask(now, &waiter, number, ask);
            return;
        }
        if let Some(ended) = self.runs.answers().get(&id) {
            let answer = ended.answer.clone();
            self.reply(&waiter, answer);
            return;
        }
        let owner = match id.form() {
            IdForm::Minted(issuer, _) => Some(issuer.clone()),
            IdForm::Dated(_) => match self.shards.lookup(&id) {
                Some(known) => Some(known.runner.clone()),
                None => self.shards.home_of(&id).cloned(),
            },
        };
        let Some(owner) = owner else {
            self.refuse(now, &waiter, Class::Unknown, Cause::ShardMoving);
            return;
        };
        if owner == self.setup.me {
            self.reply(&waiter, Arc::new(Answer::NotFound));
            return;
        }
        match self.membership.view().state(&owner) {
            HostState::Gone => {
                let answer = Answer::Failed(Failure::HomeLost);
                self.reply(&waiter, Arc::new(answer));
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
        let forward =
            Forward { waiter, request: Forwarded::Ask, to: to.clone(), due, hops, until: due };
        let call = self.forwards.add(forward);
        self.send(&to, Msg::Ask { call, id, ask, hops });
    }

    fn answer_ask(&mut self, now: Time, waiter: &Waiter, number: u64, ask: Ask) {
        let Some(run) = self.runs.get_mut(number) else { return };
        match ask {
            Ask::Fetch => self.reply(waiter, Arc::new(Answer::Running)),
            Ask::Cancel => {
                run.waiters.push(waiter.clone());
                self.shards.cancel(number);
                self.keep_cancelled(now, number);
                self.finish(now, number, Answer::Failed(Failure::Cancelled));
            }
        }
    }

    /// A cancelled id stays cancelled when its submission comes in late.
    fn keep_cancelled(&mut self, now: Time, number: u64) {
        let keep = now.after_ms(self.keep_ms());
        if let Some(run) = self.runs.get_mut(number) {
            run.keep_until = run.keep_until.max(keep);
        }
    }
}
