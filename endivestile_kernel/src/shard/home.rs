//! Home side of a shard: replicates ids to the witness and grants tickets.

use crate::shard::context::Context;
use crate::shard::fencing::Replication;
use crate::shard::replica::Replica;
use crate::{HostState, KnownId, Metric, Msg, Peer};

/// Maximum number of ids in a batch.
const MAX_BATCH_IDS: usize = 512;
/// Maximum number of ids in one part of a table.
const MAX_PART_IDS: usize = 512;
/// Delay before a fenced home renews its record, in milliseconds.
///
/// It gives the witness time to complete the takeover that raised the fence.
const FENCED_RENEW_DELAY_MS: u64 = 1_000;

/// A batch of ids for the witness.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Number that the acknowledgement carries.
    pub(crate) number: u64,
    /// Ids to record.
    pub(crate) ids: Vec<KnownId>,
    /// Tickets of requests to confirm "not run".
    pub(crate) confirmations: Vec<u64>,
}

impl Replica {
    /// Sends the next batch, or grants all queued tickets if there is no witness.
    pub(crate) fn process_queue(&mut self, cx: &mut Context<'_>) {
        if self.fencing.home_epoch == 0 || (self.queue.is_empty() && self.confirmations.is_empty())
        {
            return;
        }
        if self.fencing.may_start(None) {
            self.grant_unreplicated(cx);
        } else if self.in_flight.is_none() && self.fencing.may_send_batch() {
            self.send_batch(cx);
        }
    }

    fn grant_unreplicated(&mut self, cx: &mut Context<'_>) {
        let ids = self.drain_queue(&cx.shared.me, usize::MAX);
        let confirmations = std::mem::take(&mut self.confirmations);
        self.grant_batch(cx, Batch { number: 0, ids, confirmations });
    }

    fn send_batch(&mut self, cx: &mut Context<'_>) {
        let Some(to) = self.record().and_then(|record| record.witness.clone()) else { return };
        let ids = self.drain_queue(&cx.shared.me, MAX_BATCH_IDS);
        let confirmations = std::mem::take(&mut self.confirmations);
        let number = cx.next_batch();
        let (shard, epoch) = (self.shard, self.fencing.home_epoch);
        cx.send(to, Msg::Record { shard, epoch, batch: number, ids: ids.clone() });
        cx.count(Metric::Records, 1);
        self.in_flight = Some(Batch { number, ids, confirmations });
    }

    fn drain_queue(&mut self, me: &Peer, limit: usize) -> Vec<KnownId> {
        let count = self.queue.len().min(limit);
        let mut ids = Vec::with_capacity(count);
        for id in self.queue.drain(..count) {
            let Some(pending) = self.pending.get(&id) else { continue };
            // Cancelled before it was sent, so that no other host has it.
            if pending.ticket.is_none() {
                self.pending.remove(&id);
                continue;
            }
            let (digest, forget) = (pending.digest, pending.forget_at);
            ids.push(KnownId { id, digest, runner: me.clone(), forget });
        }
        ids
    }

    /// Handles the witness's acknowledgement of a batch.
    pub(crate) fn handle_recorded(
        &mut self,
        cx: &mut Context<'_>,
        from: &Peer,
        epoch: u64,
        batch: u64,
    ) {
        if !self.is_witness(from) || !self.fencing.may_start(Some(epoch)) {
            return;
        }
        // Ignores acknowledgements of batches sent before a renewal of the record.
        if let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.number == batch) {
            self.grant_batch(cx, in_flight);
            self.process_queue(cx);
        }
    }

    fn grant_batch(&mut self, cx: &mut Context<'_>, granted: Batch) {
        for known in granted.ids {
            self.grant_id(cx, known);
        }
        for confirmation in granted.confirmations {
            cx.grant(confirmation);
        }
        self.update_stall_timer(cx, true);
    }

    fn grant_id(&mut self, cx: &mut Context<'_>, known: KnownId) {
        let Some(pending) = self.pending.get(&known.id) else { return };
        // The ticket was cancelled and the id submitted again with another body. The
        // witness has the old digest; the next batch replaces it.
        if pending.ticket.is_some() && pending.digest != known.digest {
            return;
        }
        let ticket = pending.ticket;
        self.pending.remove(&known.id);
        if let Some(ticket) = ticket {
            self.table.insert(known);
            cx.grant(ticket);
        }
    }

    /// Handles a rejection by a witness whose fence is at a later epoch.
    ///
    /// The record has changed or is about to. The home stops granting, since
    /// its successor may start the same ids, and reads the record again.
    pub(crate) fn handle_fenced(&mut self, cx: &mut Context<'_>, from: &Peer, epoch: u64) {
        let home_epoch = self.fencing.home_epoch;
        if home_epoch == 0 || epoch <= home_epoch || !self.is_witness(from) {
            return;
        }
        if self.fencing.fence <= home_epoch {
            self.renew_at = cx.now.after_ms(FENCED_RENEW_DELAY_MS);
            self.retry_at = None;
        }
        self.fencing.raise_fence(epoch);
        self.needs_read = true;
    }

    /// Returns waiting ids and confirmations to the queue after a renewal.
    pub(crate) fn requeue(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.confirmations.extend(in_flight.confirmations);
        }
        self.pending.retain(|_, pending| pending.ticket.is_some());
        self.queue = self.pending.keys().cloned().collect();
    }

    /// Sends the table to a new witness, once per epoch.
    pub(crate) fn send_table(&mut self, cx: &mut Context<'_>) {
        let epoch = self.fencing.home_epoch;
        let syncing = self.fencing.replication == Replication::Syncing;
        if epoch == 0 || !syncing || self.copied_epoch == epoch || self.fencing.fence > epoch {
            return;
        }
        let Some(to) = self.record().and_then(|record| record.witness.clone()) else { return };
        if cx.view.state(&to) == HostState::Gone {
            return;
        }
        self.copied_epoch = epoch;
        self.table.remove_expired(cx.now);
        let ids: Vec<KnownId> = self.table.iter().cloned().collect();
        let parts: Vec<&[KnownId]> =
            if ids.is_empty() { vec![&[]] } else { ids.chunks(MAX_PART_IDS).collect() };
        for (index, part) in parts.iter().enumerate() {
            let last = index + 1 == parts.len();
            let msg = Msg::Sync { shard: self.shard, epoch, ids: part.to_vec(), last };
            cx.send(to.clone(), msg);
        }
    }

    /// Handles the witness's confirmation that it has the whole table.
    pub(crate) fn handle_synced(&mut self, cx: &mut Context<'_>, from: &Peer, epoch: u64) {
        if self.is_witness(from) {
            self.fencing.witness_synced(epoch);
            self.update_stall_timer(cx, true);
        }
    }

    /// Offers the shard to its successor, once per epoch.
    ///
    /// The home keeps serving until the successor has raised its fence, so that
    /// a store outage at this point does not interrupt service.
    pub(crate) fn offer_shard(&mut self, cx: &mut Context<'_>) {
        let epoch = self.fencing.home_epoch;
        if self.successor.is_none() || !self.fencing.may_send_batch() || self.offered_epoch == epoch
        {
            return;
        }
        let witness = self.record().and_then(|record| record.witness.clone());
        if witness != self.successor {
            return;
        }
        if let Some(to) = witness {
            self.offered_epoch = epoch;
            cx.send(to, Msg::Yield { shard: self.shard, epoch });
        }
    }

    fn is_witness(&self, peer: &Peer) -> bool {
        self.record().is_some_and(|record| record.witness.as_ref() == Some(peer))
    }
}
