//! Tickets that wait for a shard.

use std::collections::BTreeSet;

use crate::shard::context::Context;
use crate::shard::replica::Replica;
use crate::{Cause, HostState, SubmissionId, Time};

/// Longest wait of a ticket without any progress of its shard, in milliseconds.
///
/// A change of ownership takes a few store calls; if it takes longer, the
/// caller is better told at once.
const STALL_TIMEOUT_MS: u64 = 1_000;

/// An id that waits.
#[derive(Debug)]
pub(crate) struct PendingId {
    /// Digest of the submission.
    pub(crate) digest: u64,
    /// Whom to tell; none when the ticket was withdrawn or refused while the
    /// id was on its way to the witness.
    pub(crate) ticket: Option<u64>,
    /// When the id may be forgotten.
    pub(crate) forget: Time,
}

impl Replica {
    /// Returns why a ticket would wait for nothing, if it would.
    pub(crate) fn blocked_cause(&self, cx: &Context<'_>) -> Option<Cause> {
        if cx.view.store_available || self.fencing.may_start(None) {
            return None;
        }
        // Without the store neither a fence nor a dead witness can be mended.
        if self.fencing.home_epoch == 0 || self.fencing.fence > self.fencing.home_epoch {
            return Some(Cause::ShardMoving);
        }
        let witness = self.record().and_then(|record| record.witness.as_ref())?;
        match cx.view.state(witness) {
            HostState::Live | HostState::Leaving => None,
            HostState::Suspect | HostState::Gone => Some(Cause::WitnessAway),
        }
    }

    /// Returns why nothing went on.
    pub(crate) fn stall_cause(&self) -> Cause {
        match self.fencing.home_epoch != 0 && self.fencing.fence <= self.fencing.home_epoch {
            true => Cause::WitnessAway,
            false => Cause::ShardMoving,
        }
    }

    /// Returns whether any ticket waits.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.pending.is_empty() || !self.confirmations.is_empty() || self.in_flight.is_some()
    }

    /// Notes that something waits, or goes on waiting after progress.
    pub(crate) fn update_stall_timer(&mut self, cx: &mut Context<'_>, progress: bool) {
        if !self.has_waiting() {
            self.stall_at = Time::NEVER;
        } else if progress || self.stall_at == Time::NEVER {
            self.stall_at = cx.now.after_ms(STALL_TIMEOUT_MS);
            cx.shared.wake_at(self.stall_at);
        }
    }

    /// Refuses every waiting ticket.
    ///
    /// Ids in a batch on its way stay: the witness may have recorded them.
    pub(crate) fn refuse_waiting(&mut self, cx: &mut Context<'_>, cause: Cause) {
        for ticket in self.take_tickets() {
            cx.refuse(ticket, cause);
        }
    }

    /// Sends every waiting ticket back for admission.
    pub(crate) fn readmit_waiting(&mut self, cx: &mut Context<'_>) {
        for ticket in self.take_tickets() {
            cx.readmit(ticket);
        }
        self.in_flight = None;
        self.pending.clear();
    }

    /// Removes the ticket of an id.
    ///
    /// The id keeps its place in the queue, so that a wave of cancellations
    /// costs no search each.
    pub(crate) fn cancel(&mut self, ticket: u64, id: &SubmissionId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.ticket.take_if(|own| *own == ticket);
        }
    }

    fn take_tickets(&mut self) -> Vec<u64> {
        let mut tickets: Vec<u64> =
            self.pending.values_mut().filter_map(|pending| pending.ticket.take()).collect();
        tickets.append(&mut self.confirmations);
        if let Some(in_flight) = &mut self.in_flight {
            tickets.append(&mut in_flight.confirmations);
        }
        self.queue.clear();
        self.drop_unsent();
        self.stall_at = Time::NEVER;
        tickets
    }

    /// Forgets the ids that are in no batch.
    fn drop_unsent(&mut self) {
        let sent: BTreeSet<&SubmissionId> = self
            .in_flight
            .iter()
            .flat_map(|in_flight| &in_flight.ids)
            .map(|known| &known.id)
            .collect();
        self.pending.retain(|id, _| sent.contains(id));
    }
}
