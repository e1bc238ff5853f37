//! Asking a shard for leave to start.

use crate::shard::core::Cx;
use crate::shard::effect::Admit;
use crate::shard::record::expired;
use crate::shard::slot::Slot;
use crate::shard::wait::Pending;
use crate::{Cause, Class, HostState, Known, SubmissionId};

impl Slot {
    /// Judges an id dated `secs`; without a digest it is only to be confirmed.
    pub(crate) fn admit(
        &mut self,
        cx: &mut Cx<'_>,
        id: &SubmissionId,
        secs: u64,
        digest: Option<u64>,
        ticket: u64,
    ) -> Admit {
        let early = if self.standing.home != 0 {
            self.judge(cx, id, secs)
        } else {
            self.judge_elsewhere(cx)
        };
        if let Some(admit) = early {
            return admit;
        }
        match digest {
            Some(digest) => self.enqueue(cx, id, digest, ticket),
            None => self.enqueue_ask(cx, id, ticket),
        }
    }

    /// Judges an id at its home; none when it has to be recorded.
    fn judge(&self, cx: &Cx<'_>, id: &SubmissionId, secs: u64) -> Option<Admit> {
        if let Some(known) = self.table.get(id) {
            return Some(Admit::Known(known.clone()));
        }
        let floor = self.record().map_or(0, |record| record.floor);
        if secs <= floor || expired(secs, cx.core.wall_s(cx.now), cx.core.window_s) {
            return Some(unknown(Cause::Expired));
        }
        self.blocked(cx).map(unknown)
    }

    /// Judges an id on a host that is not its home; none when the host is about to be.
    fn judge_elsewhere(&self, cx: &Cx<'_>) -> Option<Admit> {
        let Some(seen) = &self.seen else { return self.judge_unowned(cx) };
        let Some(record) = &seen.record else { return Some(unknown(Cause::ShardMoving)) };
        let home = cx.view.state(&record.home);
        let answers = matches!(home, HostState::Live | HostState::Leaving);
        // Our own fence is above the record: a take-over of ours is under way.
        if answers && self.standing.fence <= record.epoch {
            return Some(Admit::Forward(record.home.clone()));
        }
        if let Some(cause) = self.blocked(cx) {
            return Some(unknown(cause));
        }
        if self.standing.synced == record.epoch || self.may_claim(cx) {
            return None;
        }
        let away = home == HostState::Suspect;
        Some(unknown(if away { Cause::HomeAway } else { Cause::ShardMoving }))
    }

    fn judge_unowned(&self, cx: &Cx<'_>) -> Option<Admit> {
        if let Some(cause) = self.blocked(cx) {
            return Some(unknown(cause));
        }
        if self.is_claimant(cx) {
            return None;
        }
        let first = cx.view.ranked(&self.rank_key()).first().map(|host| host.peer.clone());
        match first {
            Some(peer) if peer != cx.core.me => Some(Admit::Forward(peer)),
            _ => Some(unknown(Cause::ShardMoving)),
        }
    }

    /// Queues an id, or hands back what an earlier ticket of the same id waits for.
    fn enqueue(&mut self, cx: &Cx<'_>, id: &SubmissionId, digest: u64, ticket: u64) -> Admit {
        if let Some(known) = self.waiting(cx, id) {
            return Admit::Known(known);
        }
        let pending = Pending { digest, ticket: Some(ticket), forget: cx.forget_at() };
        let old = self.pending.insert(id.clone(), pending);
        // A withdrawn id keeps its place; with another body it goes out anew.
        if old.is_none_or(|old| old.digest != digest) {
            self.queue.push(id.clone());
        }
        Admit::Wait
    }

    fn enqueue_ask(&mut self, cx: &Cx<'_>, id: &SubmissionId, ticket: u64) -> Admit {
        if let Some(known) = self.waiting(cx, id) {
            return Admit::Known(known);
        }
        self.asks.push(ticket);
        Admit::Wait
    }

    /// Returns an id that waits on behalf of another ticket.
    fn waiting(&self, cx: &Cx<'_>, id: &SubmissionId) -> Option<Known> {
        let pending = self.pending.get(id).filter(|pending| pending.ticket.is_some())?;
        Some(Known {
            id: id.clone(),
            digest: pending.digest,
            runner: cx.core.me.clone(),
            forget: pending.forget,
        })
    }
}

fn unknown(cause: Cause) -> Admit {
    Admit::Refused(Class::Unknown, cause)
}
