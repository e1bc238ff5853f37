//! Decides whether an id is granted, queued, forwarded or refused.

use crate::shard::context::Context;
use crate::shard::effect::Admission;
use crate::shard::pending::PendingId;
use crate::shard::record::expired;
use crate::shard::replica::Replica;
use crate::{Cause, Class, HostState, KnownId, SubmissionId};

impl Replica {
    /// Admits an id dated `secs`, or without a digest only confirms that it did not run.
    pub(crate) fn admit(
        &mut self,
        cx: &mut Context<'_>,
        id: &SubmissionId,
        secs: u64,
        digest: Option<u64>,
        ticket: u64,
    ) -> Admission {
        let decided = if self.fencing.home_epoch != 0 {
            self.check_at_home(cx, id, secs)
        } else {
            self.check_elsewhere(cx)
        };
        if let Some(admission) = decided {
            return admission;
        }
        match digest {
            Some(digest) => self.enqueue(cx, id, digest, ticket),
            None => self.enqueue_confirmation(cx, id, ticket),
        }
    }

    /// Decides on an id at its home; returns none if the id has to be queued.
    fn check_at_home(&self, cx: &Context<'_>, id: &SubmissionId, secs: u64) -> Option<Admission> {
        if let Some(known) = self.table.get(id) {
            return Some(Admission::Known(known.clone()));
        }
        let floor = self.record().map_or(0, |record| record.floor);
        if secs <= floor || expired(secs, cx.shared.wall_s(cx.now), cx.shared.window_s) {
            return Some(refused(Cause::Expired));
        }
        self.blocked_cause(cx).map(refused)
    }

    /// Decides on an id at a host that is not its home; returns none if the host
    /// is about to become the home.
    fn check_elsewhere(&self, cx: &Context<'_>) -> Option<Admission> {
        let Some(observed) = &self.observed else { return self.check_unowned(cx) };
        let Some(record) = &observed.record else { return Some(refused(Cause::ShardMoving)) };
        let home = cx.view.state(&record.home);
        let reachable = matches!(home, HostState::Live | HostState::Leaving);
        // A fence above the record means that this host has begun a takeover.
        if reachable && self.fencing.fence <= record.epoch {
            return Some(Admission::Forward(record.home.clone()));
        }
        if let Some(cause) = self.blocked_cause(cx) {
            return Some(refused(cause));
        }
        if self.fencing.synced_epoch == record.epoch || self.may_claim(cx) {
            return None;
        }
        let suspected = home == HostState::Suspect;
        Some(refused(if suspected { Cause::HomeAway } else { Cause::ShardMoving }))
    }

    fn check_unowned(&self, cx: &Context<'_>) -> Option<Admission> {
        if let Some(cause) = self.blocked_cause(cx) {
            return Some(refused(cause));
        }
        if self.is_first_ranked(cx) {
            return None;
        }
        let first = cx.view.ranked(&self.rank_key()).first().map(|host| host.peer.clone());
        match first {
            Some(peer) if peer != cx.shared.me => Some(Admission::Forward(peer)),
            _ => Some(refused(Cause::ShardMoving)),
        }
    }

    /// Queues an id, or returns the entry of an earlier ticket for the same id.
    fn enqueue(
        &mut self,
        cx: &Context<'_>,
        id: &SubmissionId,
        digest: u64,
        ticket: u64,
    ) -> Admission {
        if let Some(known) = self.find_waiting(cx, id) {
            return Admission::Known(known);
        }
        let pending = PendingId { digest, ticket: Some(ticket), forget_at: cx.retention_end() };
        let previous = self.pending.insert(id.clone(), pending);
        // A cancelled id is still queued or in flight; another body has to be sent again.
        if previous.is_none_or(|previous| previous.digest != digest) {
            self.queue.push(id.clone());
        }
        Admission::Wait
    }

    fn enqueue_confirmation(
        &mut self,
        cx: &Context<'_>,
        id: &SubmissionId,
        ticket: u64,
    ) -> Admission {
        if let Some(known) = self.find_waiting(cx, id) {
            return Admission::Known(known);
        }
        self.confirmations.push(ticket);
        Admission::Wait
    }

    /// Returns the entry of an id for which another ticket is waiting.
    fn find_waiting(&self, cx: &Context<'_>, id: &SubmissionId) -> Option<KnownId> {
        let pending = self.pending.get(id).filter(|pending| pending.ticket.is_some())?;
        Some(KnownId {
            id: id.clone(),
            digest: pending.digest,
            runner: cx.shared.me.clone(),
            forget: pending.forget_at,
        })
    }
}

fn refused(cause: Cause) -> Admission {
    Admission::Refused(Class::Unknown, cause)
}
