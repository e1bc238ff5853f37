//! Tickets that wait for admission to a shard.

use std::collections::BTreeSet;

use crate::shard::context::Context;
use crate::shard::replica::Replica;
use crate::{Cause, HostState, SubmissionId, Time};

/// Maximum time a ticket waits while its shard makes no progress, in milliseconds.
///
/// A change of the home takes a few store calls. If it takes longer, a refusal
/// is more useful to the caller than a longer wait.
const STALL_TIMEOUT_MS: u64 = 1_000;

/// An id that waits for admission.
#[derive(Debug)]
pub(crate) struct PendingId {
    /// Digest of the submission.
    pub(crate) digest: u64,
    /// Ticket to answer; none if it was cancelled or refused while the id was
    /// queued or in flight to the witness.
    pub(crate) ticket: Option<u64>,
    /// When the id may be dropped from the table.
    pub(crate) forget_at: Time,
}

impl Replica {
    /// Returns the cause if a ticket would wait to no effect, else none.
    pub(crate) fn blocked_cause(&self, cx: &Context<'_>) -> Option<Cause> {
        if cx.view.store_available || self.fencing.may_start(None) {
            return None;
        }
        // Without the store no lost witness can be replaced and no fence resolved.
        if self.fencing.home_epoch == 0 || self.fencing.fence > self.fencing.home_epoch {
            return Some(Cause::ShardMoving);
        }
        let witness = self.record().and_then(|record| record.witness.as_ref())?;
        match cx.view.state(witness) {
            HostState::Live | HostState::Leaving => None,
            HostState::Suspect | HostState::Gone => Some(Cause::WitnessAway),
        }
    }

    /// Returns the cause of a stall.
    pub(crate) fn stall_cause(&self) -> Cause {
        match self.fencing.home_epoch != 0 && self.fencing.fence <= self.fencing.home_epoch {
            true => Cause::WitnessAway,
            false => Cause::ShardMoving,
        }
    }

    /// Returns whether any id or ticket is waiting.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.pending.is_empty() || !self.confirmations.is_empty() || self.in_flight.is_some()
    }

    /// Starts the stall timer if something waits; `progress` restarts it.
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
    /// Ids in flight stay pending, since the witness may have recorded them.
    pub(crate) fn refuse_waiting(&mut self, cx: &mut Context<'_>, cause: Cause) {
        for ticket in self.take_tickets() {
            cx.refuse(ticket, cause);
        }
    }

    /// Returns every waiting ticket to the kernel for another admission.
    pub(crate) fn readmit_waiting(&mut self, cx: &mut Context<'_>) {
        for ticket in self.take_tickets() {
            cx.readmit(ticket);
        }
        self.in_flight = None;
        self.pending.clear();
    }

    /// Cancels the ticket of an id.
    ///
    /// The id stays in the queue; searching it for each of many cancellations
    /// would be slow.
    pub(crate) fn cancel(&mut self, ticket: u64, id: &SubmissionId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.ticket.take_if(|pending_ticket| *pending_ticket == ticket);
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

    /// Drops the pending ids that are not in flight.
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
