//! All shards of a host.

use std::collections::BTreeSet;

use endivestile_config::model::Rules;

use crate::shard::core::{Core, Event, Ticket};
use crate::shard::effect::{Admit, ShardEffect, ShardSetup, ShardStatus};
use crate::shard::slot::Slot;
use crate::{Cause, Class, Form, Known, Msg, Peer, Stored, SubmissionId, Time, View};

/// Time that a stopping host leaves to its shards to change hands, in milliseconds.
const LEAVE_MS: u64 = 10_000;

/// Decides who may start a submission whose id is the caller's own.
///
/// A state machine without input or output: events go in with the current
/// instant and the view of the hosts, effects come out.
#[derive(Debug)]
pub struct Shards {
    pub(super) core: Core,
    pub(super) slots: Vec<Slot>,
}

impl Shards {
    /// Makes the shards of a host that starts; they own nothing.
    pub fn new(setup: ShardSetup) -> Self {
        Self { core: Core::new(setup), slots: Vec::new() }
    }

    /// Takes in the rules; the number of shards is fixed by the first ones.
    pub fn configure(&mut self, rules: &Rules) {
        self.core.window_s = rules.window_s;
        self.core.witness = rules.witness;
        if self.slots.is_empty() {
            self.slots = (0..rules.shards).map(Slot::new).collect();
            self.core.wake(Time::ZERO);
        }
    }

    /// Asks for leave to start the submission `id`.
    ///
    /// An id granted once is never granted again; a ticket is answered at most
    /// once, perhaps among the effects of this very call.
    pub fn admit(
        &mut self,
        now: Time,
        view: &View,
        id: &SubmissionId,
        digest: u64,
        ticket: u64,
        out: &mut Vec<ShardEffect>,
    ) -> Admit {
        self.ask(Event { now, view, out }, id, Some(digest), ticket)
    }

    /// Asks whether this host is still the home of `id` and nobody recorded it.
    ///
    /// "Not run" is true of a caller's own id only after the grant of this
    /// ticket; nothing is recorded.
    pub fn confirm(
        &mut self,
        now: Time,
        view: &View,
        id: &SubmissionId,
        ticket: u64,
        out: &mut Vec<ShardEffect>,
    ) -> Admit {
        self.ask(Event { now, view, out }, id, None, ticket)
    }

    fn ask(
        &mut self,
        event: Event<'_>,
        id: &SubmissionId,
        digest: Option<u64>,
        ticket: u64,
    ) -> Admit {
        let shard = self.shard_of(id);
        let (Form::Dated(secs), Some(slot)) = (id.form(), self.slots.get_mut(shard)) else {
            return Admit::Refused(Class::Unknown, Cause::HomeAway);
        };
        let mut cx = event.with(&mut self.core);
        let admit = slot.admit(&mut cx, id, *secs, digest, ticket);
        if admit == Admit::Wait {
            let id = digest.map(|_| id.clone());
            cx.core.tickets.insert(ticket, Ticket { shard: shard as u32, id });
            slot.arm_stall(&mut cx, false);
            slot.settle(&mut cx);
        }
        admit
    }

    /// Withdraws a ticket: it is not answered any more.
    pub fn withdraw(&mut self, ticket: u64) {
        let Some(waiting) = self.core.tickets.remove(&ticket) else { return };
        let Some(id) = waiting.id else { return };
        if let Some(slot) = self.slots.get_mut(waiting.shard as usize) {
            slot.withdraw(ticket, &id);
        }
    }

    /// Returns the home of an id by the last record seen.
    pub fn home(&self, id: &SubmissionId) -> Option<&Peer> {
        self.slots.get(self.shard_of(id)).and_then(Slot::owner)
    }

    /// Returns what this host remembers of an id.
    pub fn known(&self, id: &SubmissionId) -> Option<&Known> {
        self.slots.get(self.shard_of(id)).and_then(|slot| slot.table.get(id))
    }

    /// Takes in a message of a peer about a shard; others are ignored.
    pub fn message(
        &mut self,
        now: Time,
        view: &View,
        from: &Peer,
        msg: Msg,
        out: &mut Vec<ShardEffect>,
    ) {
        let Some(slot) = shard_in(&msg).and_then(|shard| self.slots.get_mut(shard as usize)) else {
            return;
        };
        let mut cx = Event { now, view, out }.with(&mut self.core);
        match msg {
            Msg::Record { epoch, batch, ids, .. } => {
                slot.witness_batch(&mut cx, from, epoch, batch, ids);
            }
            Msg::Recorded { epoch, batch, .. } => slot.recorded(&mut cx, from, epoch, batch),
            Msg::Fenced { epoch, .. } => slot.fenced(&mut cx, from, epoch),
            Msg::Sync { epoch, ids, last, .. } => {
                slot.witness_part(&mut cx, from, epoch, ids, last);
            }
            Msg::Synced { epoch, .. } => slot.synced(&mut cx, from, epoch),
            Msg::Yield { epoch, .. } => slot.take_yield(epoch),
            _ => return,
        }
        slot.settle(&mut cx);
    }

    /// Takes in the end of a store call.
    pub fn stored(
        &mut self,
        now: Time,
        view: &View,
        token: u64,
        stored: Stored,
        out: &mut Vec<ShardEffect>,
    ) {
        let Some(shard) = self.core.calls.remove(&token) else { return };
        let Some(slot) = self.slots.get_mut(shard as usize) else { return };
        let mut cx = Event { now, view, out }.with(&mut self.core);
        slot.stored(&mut cx, token, stored);
        slot.settle(&mut cx);
    }

    /// Takes in a watched record, which may be stale, repeated or late.
    pub fn record(
        &mut self,
        now: Time,
        view: &View,
        shard: u32,
        revision: u64,
        value: &[u8],
        out: &mut Vec<ShardEffect>,
    ) {
        let Some(slot) = self.slots.get_mut(shard as usize) else { return };
        let mut cx = Event { now, view, out }.with(&mut self.core);
        slot.found(&mut cx, revision, value);
        slot.settle(&mut cx);
    }

    /// Takes in a change of the hosts or of the store's reach.
    pub fn view_changed(&mut self, now: Time, view: &View, out: &mut Vec<ShardEffect>) {
        let mut cx = Event { now, view, out }.with(&mut self.core);
        cx.open_store();
        for slot in &mut self.slots {
            slot.settle(&mut cx);
        }
        self.balance(now, view, out);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, view: &View, out: &mut Vec<ShardEffect>) {
        let mut cx = Event { now, view, out }.with(&mut self.core);
        cx.open_store();
        cx.core.due = if now < cx.core.open { cx.core.open } else { Time::NEVER };
        for slot in &mut self.slots {
            slot.tick(&mut cx);
        }
        self.balance(now, view, out);
    }

    /// Returns when [`Self::tick`] is due.
    pub fn deadline(&self) -> Option<Time> {
        (self.core.due != Time::NEVER).then_some(self.core.due)
    }

    /// Starts a planned stop: every shard is offered to its witness.
    ///
    /// While the store is down nothing can change hands. The host then need
    /// not stay: its witnesses have the tables and take over when the store is
    /// back, and until then the shards' ids are answered unknown.
    pub fn leave(&mut self, now: Time, view: &View, out: &mut Vec<ShardEffect>) {
        if !self.core.leaving {
            self.core.leaving = true;
            self.core.leave_by = now.after_ms(LEAVE_MS);
        }
        self.tick(now, view, out);
    }

    /// Returns how every shard stands.
    pub fn status(&self) -> Vec<ShardStatus> {
        self.slots.iter().map(|slot| slot.status(&self.core.me)).collect()
    }

    /// Returns the other halves of the shards that this host shares.
    pub fn partners(&self) -> impl Iterator<Item = &Peer> {
        let me = &self.core.me;
        let peers: BTreeSet<&Peer> =
            self.slots.iter().filter_map(|slot| slot.partner(me)).collect();
        peers.into_iter()
    }

    fn shard_of(&self, id: &SubmissionId) -> usize {
        id.shard(self.slots.len() as u32) as usize
    }
}

fn shard_in(msg: &Msg) -> Option<u32> {
    match msg {
        Msg::Record { shard, .. }
        | Msg::Recorded { shard, .. }
        | Msg::Fenced { shard, .. }
        | Msg::Sync { shard, .. }
        | Msg::Synced { shard, .. }
        | Msg::Yield { shard, .. } => Some(*shard),
        _ => None,
    }
}
