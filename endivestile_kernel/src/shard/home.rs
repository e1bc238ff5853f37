//! A home: batches of ids to the witness, and the copy of the table.

use crate::shard::core::Cx;
use crate::shard::rule::Backing;
use crate::shard::slot::Slot;
use crate::{HostState, Known, Metric, Msg, Peer};

/// Most ids of one batch.
const BATCH: usize = 512;
/// Most ids of one part of a table.
const PART: usize = 512;
/// Time that a fenced home leaves to the witness's swap, in milliseconds.
const RENEW_MS: u64 = 1_000;

/// A batch on its way to the witness.
#[derive(Debug)]
pub(crate) struct Flight {
    /// Number of the batch.
    pub(crate) batch: u64,
    /// The ids.
    pub(crate) ids: Vec<Known>,
    /// Tickets that are only to be confirmed.
    pub(crate) asks: Vec<u64>,
}

impl Slot {
    /// Sends the next batch, or grants what waits when no witness is needed.
    pub(crate) fn pump(&mut self, cx: &mut Cx<'_>) {
        if self.standing.home == 0 || (self.queue.is_empty() && self.asks.is_empty()) {
            return;
        }
        if self.standing.may_start(None) {
            self.grant_alone(cx);
        } else if self.flight.is_none() && self.standing.may_record() {
            self.send_batch(cx);
        }
    }

    fn grant_alone(&mut self, cx: &mut Cx<'_>) {
        let ids = self.next_ids(&cx.core.me, usize::MAX);
        let asks = std::mem::take(&mut self.asks);
        self.grant_all(cx, Flight { batch: 0, ids, asks });
    }

    fn send_batch(&mut self, cx: &mut Cx<'_>) {
        let Some(to) = self.record().and_then(|record| record.witness.clone()) else { return };
        let ids = self.next_ids(&cx.core.me, BATCH);
        let asks = std::mem::take(&mut self.asks);
        let batch = cx.next_batch();
        let (shard, epoch) = (self.shard, self.standing.home);
        cx.send(to, Msg::Record { shard, epoch, batch, ids: ids.clone() });
        cx.count(Metric::Records, 1);
        self.flight = Some(Flight { batch, ids, asks });
    }

    fn next_ids(&mut self, me: &Peer, most: usize) -> Vec<Known> {
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
            ids.push(Known { id, digest, runner: me.clone(), forget });
        }
        ids
    }

    /// Takes in the witness's acknowledgement of a batch.
    pub(crate) fn recorded(&mut self, cx: &mut Cx<'_>, from: &Peer, epoch: u64, batch: u64) {
        if !self.is_from_witness(from) || !self.standing.may_start(Some(epoch)) {
            return;
        }
        // An acknowledgement of a batch from before a renewal proves nothing now.
        if let Some(flight) = self.flight.take_if(|flight| flight.batch == batch) {
            self.grant_all(cx, flight);
            self.pump(cx);
        }
    }

    fn grant_all(&mut self, cx: &mut Cx<'_>, flight: Flight) {
        for known in flight.ids {
            self.grant_id(cx, known);
        }
        for ask in flight.asks {
            cx.grant(ask);
        }
        self.arm_stall(cx, true);
    }

    fn grant_id(&mut self, cx: &mut Cx<'_>, known: Known) {
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
    pub(crate) fn fenced(&mut self, cx: &mut Cx<'_>, from: &Peer, epoch: u64) {
        let home = self.standing.home;
        if home == 0 || epoch <= home || !self.is_from_witness(from) {
            return;
        }
        if self.standing.fence <= home {
            self.renew_at = cx.now.after_ms(RENEW_MS);
            self.retry = None;
        }
        self.standing.home_fenced(epoch);
        self.reread = true;
    }

    /// Puts everything that waits back into the queue, after a renewal.
    pub(crate) fn requeue(&mut self) {
        if let Some(flight) = self.flight.take() {
            self.asks.extend(flight.asks);
        }
        self.pending.retain(|_, pending| pending.ticket.is_some());
        self.queue = self.pending.keys().cloned().collect();
    }

    /// Copies the table to a new witness, once an epoch.
    pub(crate) fn send_table(&mut self, cx: &mut Cx<'_>) {
        let epoch = self.standing.home;
        let missing = self.standing.backing == Backing::Missing;
        if epoch == 0 || !missing || self.sync_sent == epoch || self.standing.fence > epoch {
            return;
        }
        let Some(to) = self.record().and_then(|record| record.witness.clone()) else { return };
        if cx.view.state(&to) == HostState::Gone {
            return;
        }
        self.sync_sent = epoch;
        self.table.forget(cx.now);
        let ids: Vec<Known> = self.table.iter().cloned().collect();
        let parts: Vec<&[Known]> =
            if ids.is_empty() { vec![&[]] } else { ids.chunks(PART).collect() };
        for (index, part) in parts.iter().enumerate() {
            let last = index + 1 == parts.len();
            let msg = Msg::Sync { shard: self.shard, epoch, ids: part.to_vec(), last };
            cx.send(to.clone(), msg);
        }
    }

    /// Takes in that the witness holds the whole table.
    pub(crate) fn synced(&mut self, cx: &mut Cx<'_>, from: &Peer, epoch: u64) {
        if self.is_from_witness(from) {
            self.standing.home_synced(epoch);
            self.arm_stall(cx, true);
        }
    }

    /// Offers the shard to its heir, once an epoch.
    ///
    /// The home goes on serving until the heir has raised its fence, so that
    /// a store outage at this moment costs nothing.
    pub(crate) fn send_yield(&mut self, cx: &mut Cx<'_>) {
        let epoch = self.standing.home;
        if self.heir.is_none() || !self.standing.may_record() || self.yield_sent == epoch {
            return;
        }
        let witness = self.record().and_then(|record| record.witness.clone());
        if witness != self.heir {
            return;
        }
        if let Some(to) = witness {
            self.yield_sent = epoch;
            cx.send(to, Msg::Yield { shard: self.shard, epoch });
        }
    }

    fn is_from_witness(&self, from: &Peer) -> bool {
        self.record().is_some_and(|record| record.witness.as_ref() == Some(from))
    }
}
