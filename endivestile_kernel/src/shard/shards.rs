//! State machine of all shards of a host.

use std::collections::BTreeSet;

use endivestile_config::model::Rules;

use crate::shard::context::{Env, SharedState, Ticket};
use crate::shard::effect::{Admission, ShardEffect, ShardSetup, ShardStatus};
use crate::shard::replica::Replica;
use crate::{Cause, Class, IdForm, KnownId, Msg, Peer, StoreResult, SubmissionId, Time, View};

/// Maximum time a draining host waits for the transfer of its shards, in milliseconds.
const DRAIN_TIMEOUT_MS: u64 = 10_000;

/// Decides which submissions with caller-chosen ids this host may start.
///
/// A state machine that does no I/O: each event comes with the current time
/// and the view of the hosts, and appends effects to a list.
#[derive(Debug)]
pub struct Shards {
    pub(super) shared: SharedState,
    pub(super) replicas: Vec<Replica>,
}

impl Shards {
    /// Creates the state of a host at startup, which is the home of no shard.
    pub fn new(setup: ShardSetup) -> Self {
        Self { shared: SharedState::new(setup), replicas: Vec::new() }
    }

    /// Applies the configured rules; only the first call sets the number of shards.
    pub fn configure(&mut self, rules: &Rules) {
        self.shared.window_s = rules.window_s;
        self.shared.witness_zone = rules.witness;
        if self.replicas.is_empty() {
            self.replicas = (0..rules.shards).map(Replica::new).collect();
            self.shared.wake_at(Time::ZERO);
        }
    }

    /// Requests admission of the submission `id`.
    ///
    /// An id is granted at most once. A ticket is answered at most once,
    /// possibly by an effect of this call.
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

    /// Requests confirmation that this host is still the home of `id` and that
    /// `id` is not recorded.
    ///
    /// Only after the grant of this ticket may a caller be answered "not run".
    /// Nothing is recorded.
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
        env: Env<'_>,
        id: &SubmissionId,
        digest: Option<u64>,
        ticket: u64,
    ) -> Admission {
        let shard = self.shard_index(id);
        let (IdForm::Dated(secs), Some(replica)) = (id.form(), self.replicas.get_mut(shard)) else {
            return Admission::Refused(Class::Unknown, Cause::HomeAway);
        };
        let mut cx = env.with(&mut self.shared);
        let admission = replica.admit(&mut cx, id, *secs, digest, ticket);
        if admission == Admission::Wait {
            let id = digest.map(|_| id.clone());
            cx.shared.tickets.insert(ticket, Ticket { shard: shard as u32, id });
            replica.update_stall_timer(&mut cx, false);
            replica.reconcile(&mut cx);
        }
        admission
    }

    /// Cancels a ticket, which is then not answered any more.
    pub fn cancel(&mut self, ticket: u64) {
        let Some(pending) = self.shared.tickets.remove(&ticket) else { return };
        let Some(id) = pending.id else { return };
        if let Some(replica) = self.replicas.get_mut(pending.shard as usize) {
            replica.cancel(ticket, &id);
        }
    }

    /// Returns the home of an id according to the last observed record.
    pub fn home_of(&self, id: &SubmissionId) -> Option<&Peer> {
        self.replicas.get(self.shard_index(id)).and_then(Replica::home_peer)
    }

    /// Returns this host's entry of an id.
    pub fn lookup(&self, id: &SubmissionId) -> Option<&KnownId> {
        self.replicas.get(self.shard_index(id)).and_then(|replica| replica.table.get(id))
    }

    /// Handles a message of a peer about a shard; ignores other messages.
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

    /// Handles the reply to a store call.
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

    /// Handles a watched record, which may be late, stale or repeated.
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

    /// Handles a change of the hosts' states or of the store's availability.
    pub fn handle_view_change(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        let mut cx = Env { now, view, effects }.with(&mut self.shared);
        cx.start_claim_delay();
        for replica in &mut self.replicas {
            replica.reconcile(&mut cx);
        }
        self.balance(now, view, effects);
    }

    /// Handles the timers that are due.
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

    /// Returns when [`Self::tick`] has to be called next.
    pub fn deadline(&self) -> Option<Time> {
        (self.shared.next_wake != Time::NEVER).then_some(self.shared.next_wake)
    }

    /// Starts to drain the host before a planned stop by offering every shard to
    /// its witness.
    ///
    /// While the store is down no shard can be transferred, but the host need not
    /// wait for long: its witnesses have the tables and take over once the store
    /// is back. Until then requests for these shards are answered "unknown".
    pub fn start_drain(&mut self, now: Time, view: &View, effects: &mut Vec<ShardEffect>) {
        if !self.shared.draining {
            self.shared.draining = true;
            self.shared.drain_deadline = now.after_ms(DRAIN_TIMEOUT_MS);
        }
        self.tick(now, view, effects);
    }

    /// Returns the status of every shard.
    pub fn status(&self) -> Vec<ShardStatus> {
        self.replicas.iter().map(|replica| replica.status(&self.shared.me)).collect()
    }

    /// Returns the witnesses of this host's shards and the homes it is a witness of.
    pub fn replica_peers(&self) -> impl Iterator<Item = &Peer> {
        let me = &self.shared.me;
        let peers: BTreeSet<&Peer> =
            self.replicas.iter().filter_map(|replica| replica.replica_peer(me)).collect();
        peers.into_iter()
    }

    fn shard_index(&self, id: &SubmissionId) -> usize {
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
