//! Tickets that wait for a shard.

use std::collections::BTreeSet;

use crate::shard::core::Cx;
use crate::shard::slot::Slot;
use crate::{Cause, HostState, SubmissionId, Time};

/// Longest wait of a ticket without any progress of its shard, in milliseconds.
///
/// A change of ownership takes a few store calls; if it takes longer, the
/// caller is better told at once.
const STALL_MS: u64 = 1_000;

/// An id that waits.
#[derive(Debug)]
pub(crate) struct Pending {
    /// Digest of the submission.
    pub(crate) digest: u64,
    /// Whom to tell; none when the ticket was withdrawn or refused while the
    /// id was on its way to the witness.
    pub(crate) ticket: Option<u64>,
    /// When the id may be forgotten.
    pub(crate) forget: Time,
}

impl Slot {
    /// Returns why a ticket would wait for nothing, if it would.
    pub(crate) fn blocked(&self, cx: &Cx<'_>) -> Option<Cause> {
        if cx.view.store || self.standing.may_start(None) {
            return None;
        }
        // Without the store neither a fence nor a dead witness can be mended.
        if self.standing.home == 0 || self.standing.fence > self.standing.home {
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
        match self.standing.home != 0 && self.standing.fence <= self.standing.home {
            true => Cause::WitnessAway,
            false => Cause::ShardMoving,
        }
    }

    /// Returns whether any ticket waits.
    pub(crate) fn is_waiting(&self) -> bool {
        !self.pending.is_empty() || !self.asks.is_empty() || self.flight.is_some()
    }

    /// Notes that something waits, or goes on waiting after progress.
    pub(crate) fn arm_stall(&mut self, cx: &mut Cx<'_>, progress: bool) {
        if !self.is_waiting() {
            self.stall = Time::NEVER;
        } else if progress || self.stall == Time::NEVER {
            self.stall = cx.now.after_ms(STALL_MS);
            cx.core.wake(self.stall);
        }
    }

    /// Refuses every waiting ticket.
    ///
    /// Ids in a batch on its way stay: the witness may have recorded them.
    pub(crate) fn refuse_waiting(&mut self, cx: &mut Cx<'_>, cause: Cause) {
        for ticket in self.take_tickets() {
            cx.refuse(ticket, cause);
        }
    }

    /// Sends every waiting ticket back for admission.
    pub(crate) fn move_waiting(&mut self, cx: &mut Cx<'_>) {
        for ticket in self.take_tickets() {
            cx.moved(ticket);
        }
        self.flight = None;
        self.pending.clear();
    }

    /// Removes the ticket of an id.
    ///
    /// The id keeps its place in the queue, so that a wave of cancellations
    /// costs no search each.
    pub(crate) fn withdraw(&mut self, ticket: u64, id: &SubmissionId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.ticket.take_if(|own| *own == ticket);
        }
    }

    fn take_tickets(&mut self) -> Vec<u64> {
        let mut tickets: Vec<u64> =
            self.pending.values_mut().filter_map(|pending| pending.ticket.take()).collect();
        tickets.append(&mut self.asks);
        if let Some(flight) = &mut self.flight {
            tickets.append(&mut flight.asks);
        }
        self.queue.clear();
        self.keep_sent();
        self.stall = Time::NEVER;
        tickets
    }

    /// Forgets the ids that are in no batch.
    fn keep_sent(&mut self) {
        let sent: BTreeSet<&SubmissionId> =
            self.flight.iter().flat_map(|flight| &flight.ids).map(|known| &known.id).collect();
        self.pending.retain(|id, _| sent.contains(id));
    }
}
