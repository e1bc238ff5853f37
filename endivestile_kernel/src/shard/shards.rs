//! All shards of a host.

use std::collections::BTreeSet;

use endivestile_config::model::Rules;

use crate::shard::context::{Env, SharedState, Ticket};
use crate::shard::effect::{Admission, ShardEffect, ShardSetup, ShardStatus};
use crate::shard::replica::Replica;
use crate::{Cause, Class, IdForm, KnownId, Msg, Peer, StoreResult, SubmissionId, Time, View};

/// Time that a stopping host leaves to its shards to change hands, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 10_000;

/// Decides who may start a submission whose id is the caller's own.
///
/// A state machine without input or output: events go in with the current
/// instant and the view of the hosts, effects come out.
#[derive(Debug)]
pub struct Shards {
    pub(super) shared: SharedState,
    pub(super) replicas: Vec<Replica>,
}

impl Shards {
    /// Makes the shards of a host that starts; they own nothing.
    pub fn new(setup: ShardSetup) -> Self {
        Self { shared: SharedState::new(setup), replicas: Vec::new() }
    }

    /// Takes in the rules; the number of shards is fixed by the first ones.
    pub fn configure(&mut self, rules: &Rules) {
        self.shared.window_s = rules.window_s;
        self.shared.witness_zone = rules.witness;
        if self.replicas.is_empty() {
            self.replicas = (0..rules.shards).map(Replica::new).collect();
            self.shared.wake_at(Time::ZERO);
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
        effects: &mut Vec<ShardEffect>,
    ) -> Admission {
        self.request_admission(Env { now, view, effects }, id, Some(digest), ticket)
    }

    /// Asks whether this host is still the home of `id` and nobody recorded it.
    ///
    /// "Not run" is true of a caller's own id only after the grant of this
    /// ticket; nothing is recorded.
    pub fn confirm_not_run(
        &mut self,
        now: Time,
        view: &View,
        id: &SubmissionId,
        ticket: u64,
        effects: &mut Vec<ShardEffect>,
    ) -> Admission {
        self.request_admission(Env { now, view, effects }, id, None, ticket)
    }

    fn request_admission(
        &mut self,
        event: Env<'_>,
        id: &SubmissionId,
        digest: Option<u64>,
        ticket: u64,
    ) -> Admission {
        let shard = self.shard_of(id);
        let (IdForm::Dated(secs), Some(replica)) = (id.form(), self.replicas.get_mut(shard)) else {
            return Admission::Refused(Class::Unknown, Cause::HomeAway);
        };
        let mut cx = event.with(&mut self.shared);
        let admit = replica.admit(&mut cx, id, *secs, digest, ticket);
        if admit == Admission::Wait {
            let id = digest.map(|_| id.clone());
            cx.shared.tickets.insert(ticket, Ticket { shard: shard as u32, id });
            replica.update_stall_timer(&mut cx, false);
            replica.reconcile(&mut cx);
        }
        admit
    }

    /// Withdraws a ticket: it is not answered any more.
    pub fn cancel(&mut self, ticket: u64) {
        let Some(waiting) = self.shared.tickets.remove(&ticket) else { return };
        let Some(id) = waiting.id else { return };
        if let Some(replica) = self.replicas.get_mut(waiting.shard as usize) {
            replica.cancel(ticket, &id);
        }
    }

    /// Returns the home of an id by the last record seen.
    pub fn home_of(&self, id: &SubmissionId) -> Option<&Peer> {
        self.replicas.get(self.shard_of(id)).and_then(Replica::home)
    }

    /// Returns what this host remembers of an id.
    pub fn lookup(&self, id: &SubmissionId) -> Option<&KnownId> {
        self.replicas.get(self.shard_of(id)).and_then(|replica| replica.table.get(id))
    }

    /// Takes in a message of a peer about a shard; others are ignored.
    pub fn handle_message(
        &mut self,
        now: Time,
        view: &View,
        from: &Peer,
        msg: Msg,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(replica) =
            message_shard(&msg).and_then(|shard| self.replicas.get_mut(shard as usize))
        else {
            return;
        };
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        match msg {
            Msg::Record { epoch, batch, ids, .. } => {
                replica.handle_batch(&mut cx, from, epoch, batch, ids);
            }
            Msg::Recorded { epoch, batch, .. } => {
                replica.handle_recorded(&mut cx, from, epoch, batch)
            }
            Msg::Fenced { epoch, .. } => replica.handle_fenced(&mut cx, from, epoch),
            Msg::Sync { epoch, ids, last, .. } => {
                replica.handle_sync(&mut cx, from, epoch, ids, last);
            }
            Msg::Synced { epoch, .. } => replica.handle_synced(&mut cx, from, epoch),
            Msg::Yield { epoch, .. } => replica.handle_yield(epoch),
            _ => return,
        }
        replica.reconcile(&mut cx);
    }

    /// Takes in the end of a store call.
    pub fn handle_store_reply(
        &mut self,
        now: Time,
        view: &View,
        token: u64,
        stored: StoreResult,
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(shard) = self.shared.open_calls.remove(&token) else { return };
        let Some(replica) = self.replicas.get_mut(shard as usize) else { return };
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        replica.handle_store_reply(&mut cx, token, stored);
        replica.reconcile(&mut cx);
    }

    /// Takes in a watched record, which may be stale, repeated or late.
    pub fn handle_watch_event(
        &mut self,
        now: Time,
        view: &View,
        shard: u32,
        revision: u64,
        value: &[u8],
        effects: &mut Vec<ShardEffect>,
    ) {
        let Some(replica) = self.replicas.get_mut(shard as usize) else { return };
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        replica.apply_value(&mut cx, revision, value);
        replica.reconcile(&mut cx);
    }

    /// Takes in a change of the hosts or of the store's reach.
    pub fn handle_view_change(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        cx.start_claim_delay();
        for replica in &mut self.replicas {
            replica.reconcile(&mut cx);
        }
        self.balance(now, view, effects);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        cx.start_claim_delay();
        cx.shared.next_wake =
            if now < cx.shared.first_claim { cx.shared.first_claim } else { Time::NEVER };
        for replica in &mut self.replicas {
            replica.tick(&mut cx);
        }
        self.balance(now, view, effects);
    }

    /// Returns when [`Self::tick`] is due.
    pub fn deadline(&self) -> Option<Time> {
        (self.shared.next_wake != Time::NEVER).then_some(self.shared.next_wake)
    }

    /// Starts a planned stop: every shard is offered to its witness.
    ///
    /// While the store is down nothing can change hands. The host then need
    /// not stay: its witnesses have the tables and take over when the store is
    /// back, and until then the shards' ids are answered unknown.
    pub fn start_drain(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        if !self.shared.draining {
            self.shared.draining = true;
            self.shared.drain_deadline = now.after_ms(DRAIN_TIMEOUT_MS);
        }
        self.tick(now, view, effects);
    }

    /// Returns how every shard stands.
    pub fn status(&self) -> Vec<ShardStatus> {
        self.replicas.iter().map(|replica| replica.status(&self.shared.me)).collect()
    }

    /// Returns the other halves of the shards that this host shares.
    pub fn replica_peers(&self) -> impl Iterator<Item = &Peer> {
        let me = &self.shared.me;
        let peers: BTreeSet<&Peer> =
            self.replicas.iter().filter_map(|replica| replica.replica_peer(me)).collect();
        peers.into_iter()
    }

    fn shard_of(&self, id: &SubmissionId) -> usize {
        id.shard(self.replicas.len() as u32) as usize
    }
}

fn message_shard(msg: &Msg) -> Option<u32> {
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
