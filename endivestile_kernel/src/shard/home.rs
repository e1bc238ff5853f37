//! A home: batches of ids to the witness, and the copy of the table.

use crate::shard::context::Context;
use crate::shard::fencing::Replication;
use crate::shard::replica::Replica;
use crate::{HostState, KnownId, Metric, Msg, Peer};

/// Most ids of one batch.
const MAX_BATCH_IDS: usize = 512;
/// Most ids of one part of a table.
const MAX_PART_IDS: usize = 512;
/// Time that a fenced home leaves to the witness's swap, in milliseconds.
const FENCED_RENEW_DELAY_MS: u64 = 1_000;

/// A batch on its way to the witness.
#[derive(Debug)]
pub(crate) struct Batch {
    /// Number of the batch.
    pub(crate) number: u64,
    /// The ids.
    pub(crate) ids: Vec<KnownId>,
    /// Tickets that are only to be confirmed.
    pub(crate) confirmations: Vec<u64>,
}

impl Replica {
    /// Sends the next batch, or grants what waits when no witness is needed.
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

    fn drain_queue(&mut self, me: &Peer, most: usize) -> Vec<KnownId> {
        let count = self.queue.len().min(most);
        let mut ids = Vec::with_capacity(count);
        for id in self.queue.drain(..count) {
            let Some(pending) = self.pending.get(&id) else { continue };
            // Withdrawn before it was sent: nobody else has heard of it.
            if pending.ticket.is_none() {
                self.pending.remove(&id);
                continue;
            }
            let (digest, forget) = (pending.digest, pending.forget);
            ids.push(KnownId { id, digest, runner: me.clone(), forget });
        }
        ids
    }

    /// Takes in the witness's acknowledgement of a batch.
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
        // An acknowledgement of a batch from before a renewal proves nothing now.
        if let Some(in_flight) = self.in_flight.take_if(|in_flight| in_flight.number == batch) {
            self.grant_batch(cx, in_flight);
            self.process_queue(cx);
        }
    }

    fn grant_batch(&mut self, cx: &mut Context<'_>, batch: Batch) {
        for known in batch.ids {
            self.grant_id(cx, known);
        }
        for ticket in batch.confirmations {
            cx.grant(ticket);
        }
        self.update_stall_timer(cx, true);
    }

    fn grant_id(&mut self, cx: &mut Context<'_>, known: KnownId) {
        let Some(pending) = self.pending.get(&known.id) else { return };
        // The id was withdrawn and submitted anew with another body: the witness
        // has the old digest, and the next batch carries the new one.
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

    /// Takes in that the witness is at a later epoch.
    ///
    /// The record has moved or is about to: a home that went on would start
    /// what its successor starts. It reads the record before anything else.
    pub(crate) fn handle_fenced(&mut self, cx: &mut Context<'_>, from: &Peer, epoch: u64) {
        let home = self.fencing.home_epoch;
        if home == 0 || epoch <= home || !self.is_witness(from) {
            return;
        }
        if self.fencing.fence <= home {
            self.renew_at = cx.now.after_ms(FENCED_RENEW_DELAY_MS);
            self.retry_at = None;
        }
        self.fencing.raise_fence(epoch);
        self.needs_read = true;
    }

    /// Puts everything that waits back into the queue, after a renewal.
    pub(crate) fn requeue(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.confirmations.extend(in_flight.confirmations);
        }
        self.pending.retain(|_, pending| pending.ticket.is_some());
        self.queue = self.pending.keys().cloned().collect();
    }

    /// Copies the table to a new witness, once an epoch.
    pub(crate) fn send_table(&mut self, cx: &mut Context<'_>) {
        let epoch = self.fencing.home_epoch;
        let missing = self.fencing.replication == Replication::Syncing;
        if epoch == 0 || !missing || self.copied_epoch == epoch || self.fencing.fence > epoch {
            return;
        }
        let Some(to) = self.record().and_then(|record| record.witness.clone()) else { return };
        if cx.view.state(&to) == HostState::Gone {
            return;
        }
        self.copied_epoch = epoch;
        self.table.forget(cx.now);
        let ids: Vec<KnownId> = self.table.iter().cloned().collect();
        let parts: Vec<&[KnownId]> =
            if ids.is_empty() { vec![&[]] } else { ids.chunks(MAX_PART_IDS).collect() };
        for (index, part) in parts.iter().enumerate() {
            let last = index + 1 == parts.len();
            let msg = Msg::Sync { shard: self.shard, epoch, ids: part.to_vec(), last };
            cx.send(to.clone(), msg);
        }
    }

    /// Takes in that the witness holds the whole table.
    pub(crate) fn handle_synced(&mut self, cx: &mut Context<'_>, from: &Peer, epoch: u64) {
        if self.is_witness(from) {
            self.fencing.witness_synced(epoch);
            self.update_stall_timer(cx, true);
        }
    }

    /// Offers the shard to its successor, once an epoch.
    ///
    /// The home goes on serving until the successor has raised its fence, so that
    /// a store outage at this moment costs nothing.
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

    fn is_witness(&self, from: &Peer) -> bool {
        self.record().is_some_and(|record| record.witness.as_ref() == Some(from))
    }
}
