//! What a shard needs of the platform's store next.

use endivestile_config::model::WitnessZone;

use crate::shard::context::Context;
use crate::shard::record::{ShardRecord, floor_after_loss};
use crate::shard::replica::Replica;
use crate::{HostState, Peer, Time};

/// Time from the loss of a table to a claim, in milliseconds: longer than a
/// configuration takes to be in force everywhere.
const CLAIM_DELAY_MS: u64 = 15_000;

/// The next step towards the store.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum StoreStep {
    /// None.
    Idle,
    /// Read the record.
    Read,
    /// Claim a shard that nobody owns, or whose table is lost.
    Claim,
    /// Take over as its witness.
    TakeOver,
    /// Write the record anew as its home, with this witness.
    Renew(Option<Peer>),
}

impl Replica {
    /// Returns the next step towards the store.
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
        let silent = matches!(home, HostState::Suspect | HostState::Gone);
        let holds = self.fencing.synced_epoch == record.epoch;
        // A fence once raised keeps the home out: the take-over has to be finished
        // even if the home was suspected wrongly, or the shard would serve nobody.
        let begun = self.fencing.fence > record.epoch;
        if holds && (silent || begun || self.yielded_epoch == record.epoch) {
            return StoreStep::TakeOver;
        }
        if self.may_claim(cx) { StoreStep::Claim } else { StoreStep::Idle }
    }

    fn unowned_step(&self, cx: &Context<'_>) -> StoreStep {
        // A home sent its table, so that a record exists.
        if self.fencing.synced_epoch > 0 {
            return self.catch_up_step();
        }
        let claims = cx.now >= cx.shared.first_claim && self.is_first_ranked(cx);
        if claims { StoreStep::Claim } else { StoreStep::Idle }
    }

    /// The watch is behind the home that sent a table. It matters only if this
    /// host was the home before, or if that home gives up.
    fn catch_up_step(&self) -> StoreStep {
        let matters =
            self.fencing.home_epoch != 0 || self.yielded_epoch == self.fencing.synced_epoch;
        if matters { StoreStep::Read } else { StoreStep::Idle }
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

    /// Notes since when the shard's table is lost for good.
    ///
    /// A host whose inventory is some seconds behind takes a host that was
    /// added meanwhile for one that was taken out, and would claim the shards
    /// of a pair that lives; it waits until it must have caught up.
    pub(crate) fn update_claim_timer(&mut self, cx: &Context<'_>) {
        if !self.is_table_lost(cx) {
            self.claim_at = Time::NEVER;
        } else if self.claim_at == Time::NEVER {
            self.claim_at = cx.now.after_ms(CLAIM_DELAY_MS);
        }
    }

    /// Returns whether the home and whoever holds its table are gone.
    fn is_table_lost(&self, cx: &Context<'_>) -> bool {
        let Some(record) = self.record() else { return false };
        let holder = match &record.witness {
            Some(peer) if *peer == cx.shared.me => self.fencing.synced_epoch == record.epoch,
            // One that is only suspected may be serving on behind a cut.
            Some(peer) => cx.view.state(peer) != HostState::Gone,
            None => false,
        };
        cx.view.state(&record.home) == HostState::Gone && !holder
    }

    /// Returns whether this host is the one to claim a shard whose table is lost.
    pub(crate) fn may_claim(&self, cx: &Context<'_>) -> bool {
        let witness = self.record().and_then(|record| record.witness.as_ref());
        let first = || witness == Some(&cx.shared.me) || self.is_first_ranked(cx);
        cx.now >= self.claim_at && first()
    }

    /// Returns whether this host is the one to claim the shard.
    pub(crate) fn is_first_ranked(&self, cx: &Context<'_>) -> bool {
        let first = cx.view.ranked(&self.rank_key()).first().map(|host| &host.peer);
        first == Some(&cx.shared.me) && !cx.shared.draining
    }

    /// Returns the key by which hosts are ranked for the shard.
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
        let leaving = current.filter(|peer| cx.view.state(peer) == HostState::Leaving);
        self.choose_witness(cx).or(leaving)
    }

    /// Chooses a witness: in the preferred zone if it has a live host, else anywhere.
    fn choose_witness(&self, cx: &Context<'_>) -> Option<Peer> {
        let ranked = cx.view.ranked(&self.rank_key());
        let others = || ranked.iter().filter(|host| host.peer != cx.shared.me);
        let same = cx.shared.witness_zone == WitnessZone::Same;
        let preferred = others().find(|host| (host.zone == cx.shared.zone) == same);
        preferred.or_else(|| others().next()).map(|host| host.peer.clone())
    }

    /// Claims the shard.
    pub(crate) fn claim(&mut self, cx: &mut Context<'_>) {
        let old = self.record().map(|record| (record.epoch, record.floor));
        let (epoch, floor) = match old {
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

    /// Writes the record anew as its home.
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
        self.write(cx, ShardRecord { home, witness, epoch, floor, write });
    }
}

fn is_live(cx: &Context<'_>, peer: &Peer) -> bool {
    cx.view.state(peer) == HostState::Live
}
