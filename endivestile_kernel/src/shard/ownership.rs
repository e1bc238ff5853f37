//! Decides when a host claims, takes over or renews the record of a shard.

use endivestile_config::model::WitnessZone;

use crate::shard::context::Context;
use crate::shard::record::{ShardRecord, floor_after_loss};
use crate::shard::replica::Replica;
use crate::{HostState, Peer, Time};

/// Delay between the loss of a table and a claim, in milliseconds; longer than
/// a configuration takes to reach every host.
const CLAIM_DELAY_MS: u64 = 15_000;

/// Next store operation of a shard.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StoreStep {
    /// Nothing to do.
    Idle,
    /// Read the record.
    Read,
    /// Claim a shard that has no record, or whose table is lost.
    Claim,
    /// Take the shard over as its witness.
    TakeOver,
    /// Replace the record as its home, with this witness.
    Renew(Option<Peer>),
}

impl Replica {
    /// Returns the next store operation.
    pub(crate) fn next_step(&self, cx: &Context<'_>) -> StoreStep {
        if self.needs_read {
            return StoreStep::Read;
        }
        let Some(observed) = &self.observed else { return self.unowned_step(cx) };
        let Some(record) = &observed.record else { return StoreStep::Idle };
        if observed.invalid {
            return StoreStep::Idle;
        }
        if self.fencing.synced_epoch > record.epoch {
            return self.catch_up_step();
        }
        if self.fencing.home_epoch == record.epoch {
            return self.home_step(cx, record);
        }
        let home = cx.view.state(&record.home);
        let unreachable = matches!(home, HostState::Suspect | HostState::Gone);
        let has_table = self.fencing.synced_epoch == record.epoch;
        // A raised fence blocks the home. The takeover has to be completed even if the
        // home was suspected wrongly, or no host would serve the shard.
        let takeover_begun = self.fencing.fence > record.epoch;
        if has_table && (unreachable || takeover_begun || self.yielded_epoch == record.epoch) {
            return StoreStep::TakeOver;
        }
        if self.may_claim(cx) { StoreStep::Claim } else { StoreStep::Idle }
    }

    fn unowned_step(&self, cx: &Context<'_>) -> StoreStep {
        // A home has sent its table, so a record exists.
        if self.fencing.synced_epoch > 0 {
            return self.catch_up_step();
        }
        let claim_now = cx.now >= cx.shared.first_claim && self.is_first_ranked(cx);
        if claim_now { StoreStep::Claim } else { StoreStep::Idle }
    }

    /// Returns the step when the watch lags behind a home that has sent its table.
    ///
    /// The newer record is needed only if this host was the home before, or if
    /// the new home has offered the shard to it.
    fn catch_up_step(&self) -> StoreStep {
        let needed =
            self.fencing.home_epoch != 0 || self.yielded_epoch == self.fencing.synced_epoch;
        if needed { StoreStep::Read } else { StoreStep::Idle }
    }

    fn home_step(&self, cx: &Context<'_>, record: &ShardRecord) -> StoreStep {
        let fenced = self.fencing.fence > self.fencing.home_epoch;
        if fenced && cx.now < self.renew_at {
            return StoreStep::Read;
        }
        let witness = self.wanted_witness(cx, record);
        if fenced || witness != record.witness {
            StoreStep::Renew(witness)
        } else {
            StoreStep::Idle
        }
    }

    /// Starts the claim delay when the shard's table is lost, or resets it.
    ///
    /// A host whose inventory lags a few seconds treats a newly added host as
    /// removed and would claim shards of a live pair. The delay gives it time to
    /// catch up.
    pub(crate) fn update_claim_timer(&mut self, cx: &Context<'_>) {
        if !self.is_table_lost(cx) {
            self.claim_at = Time::NEVER;
        } else if self.claim_at == Time::NEVER {
            self.claim_at = cx.now.after_ms(CLAIM_DELAY_MS);
        }
    }

    /// Returns whether the home and every other holder of its table are gone.
    fn is_table_lost(&self, cx: &Context<'_>) -> bool {
        let Some(record) = self.record() else { return false };
        let has_copy = match &record.witness {
            Some(peer) if *peer == cx.shared.me => self.fencing.synced_epoch == record.epoch,
            // A suspected witness may still be serving on the other side of a partition.
            Some(peer) => cx.view.state(peer) != HostState::Gone,
            None => false,
        };
        cx.view.state(&record.home) == HostState::Gone && !has_copy
    }

    /// Returns whether this host may claim the shard because its table is lost.
    pub(crate) fn may_claim(&self, cx: &Context<'_>) -> bool {
        let witness = self.record().and_then(|record| record.witness.as_ref());
        let is_candidate = || witness == Some(&cx.shared.me) || self.is_first_ranked(cx);
        cx.now >= self.claim_at && is_candidate()
    }

    /// Returns whether this host is first in the shard's rank order and not draining.
    pub(crate) fn is_first_ranked(&self, cx: &Context<'_>) -> bool {
        let first = cx.view.ranked(&self.rank_key()).first().map(|host| &host.peer);
        first == Some(&cx.shared.me) && !cx.shared.draining
    }

    /// Returns the key for rendezvous ranking of hosts for this shard.
    pub(crate) fn rank_key(&self) -> String {
        format!("shard {}", self.shard)
    }

    /// Returns the witness that the home should have.
    pub(crate) fn wanted_witness(&self, cx: &Context<'_>, record: &ShardRecord) -> Option<Peer> {
        if let Some(successor) = self.successor.as_ref().filter(|successor| is_live(cx, successor))
        {
            return Some(successor.clone());
        }
        let current = record.witness.clone();
        if current.as_ref().is_some_and(|peer| is_live(cx, peer)) {
            return current;
        }
        let leaving_witness = current.filter(|peer| cx.view.state(peer) == HostState::Leaving);
        self.choose_witness(cx).or(leaving_witness)
    }

    /// Chooses a live host as witness, if possible in the preferred zone.
    fn choose_witness(&self, cx: &Context<'_>) -> Option<Peer> {
        let ranked = cx.view.ranked(&self.rank_key());
        let others = || ranked.iter().filter(|host| host.peer != cx.shared.me);
        let same_zone = cx.shared.witness_zone == WitnessZone::Same;
        let preferred = others().find(|host| (host.zone == cx.shared.zone) == same_zone);
        preferred.or_else(|| others().next()).map(|host| host.peer.clone())
    }

    /// Claims the shard as its new home.
    pub(crate) fn claim(&mut self, cx: &mut Context<'_>) {
        let previous = self.record().map(|record| (record.epoch, record.floor));
        let (epoch, floor) = match previous {
            Some((epoch, floor)) => (epoch, floor.max(floor_after_loss(cx.shared.wall_s(cx.now)))),
            None => (0, 0),
        };
        let epoch = self.fencing.begin_claim(epoch);
        let witness = self.choose_witness(cx);
        self.write_as_home(cx, witness, epoch, floor);
    }

    /// Takes the shard over as its witness.
    pub(crate) fn take_over(&mut self, cx: &mut Context<'_>) {
        let Some(record) = self.record() else { return };
        let (epoch, floor) = (record.epoch, record.floor);
        let Some(epoch) = self.fencing.begin_takeover(epoch) else { return };
        let witness = self.choose_witness(cx);
        self.write_as_home(cx, witness, epoch, floor);
    }

    /// Replaces the record as its home.
    pub(crate) fn renew(&mut self, cx: &mut Context<'_>, witness: Option<Peer>) {
        let Some(record) = self.record() else { return };
        let (epoch, floor) = (record.epoch, record.floor);
        let Some(epoch) = self.fencing.renewal_epoch(epoch) else { return };
        self.write_as_home(cx, witness, epoch, floor);
    }

    fn write_as_home(
        &mut self,
        cx: &mut Context<'_>,
        witness: Option<Peer>,
        epoch: u64,
        floor: u64,
    ) {
        let write = cx.write_id();
        let home = cx.shared.me.clone();
        self.write_record(cx, ShardRecord { home, witness, epoch, floor, write });
    }
}

fn is_live(cx: &Context<'_>, peer: &Peer) -> bool {
    cx.view.state(peer) == HostState::Live
}
