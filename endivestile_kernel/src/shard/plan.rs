//! What a shard needs of the platform's store next.

use endivestile_config::model::WitnessZone;

use crate::shard::core::Cx;
use crate::shard::record::{ShardRecord, floor_at};
use crate::shard::slot::Slot;
use crate::{HostState, Peer, Time};

/// Time from the loss of a table to a claim, in milliseconds: longer than a
/// configuration takes to be in force everywhere.
const CLAIM_MS: u64 = 15_000;

/// The next step towards the store.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Step {
    /// None.
    Rest,
    /// Read the record.
    Read,
    /// Claim a shard that nobody owns, or whose table is lost.
    Claim,
    /// Take over as its witness.
    TakeOver,
    /// Write the record anew as its home, with this witness.
    Renew(Option<Peer>),
}

impl Slot {
    /// Returns the next step towards the store.
    pub(crate) fn next_step(&self, cx: &Cx<'_>) -> Step {
        if self.reread {
            return Step::Read;
        }
        let Some(seen) = &self.seen else { return self.unowned_step(cx) };
        let Some(record) = &seen.record else { return Step::Rest };
        if seen.broken {
            return Step::Rest;
        }
        if self.standing.synced > record.epoch {
            return self.behind_step();
        }
        if self.standing.home == record.epoch {
            return self.home_step(cx, record);
        }
        let home = cx.view.state(&record.home);
        let silent = matches!(home, HostState::Suspect | HostState::Gone);
        let holds = self.standing.synced == record.epoch;
        // A fence once raised keeps the home out: the take-over has to be finished
        // even if the home was suspected wrongly, or the shard would serve nobody.
        let begun = self.standing.fence > record.epoch;
        if holds && (silent || begun || self.yielded == record.epoch) {
            return Step::TakeOver;
        }
        if self.may_claim(cx) { Step::Claim } else { Step::Rest }
    }

    fn unowned_step(&self, cx: &Cx<'_>) -> Step {
        // A home sent its table, so that a record exists.
        if self.standing.synced > 0 {
            return self.behind_step();
        }
        let claims = cx.now >= cx.core.open && self.is_claimant(cx);
        if claims { Step::Claim } else { Step::Rest }
    }

    /// The watch is behind the home that sent a table. It matters only if this
    /// host was the home before, or if that home gives up.
    fn behind_step(&self) -> Step {
        let matters = self.standing.home != 0 || self.yielded == self.standing.synced;
        if matters { Step::Read } else { Step::Rest }
    }

    fn home_step(&self, cx: &Cx<'_>, record: &ShardRecord) -> Step {
        let fenced = self.standing.fence > self.standing.home;
        if fenced && cx.now < self.renew_at {
            return Step::Read;
        }
        let witness = self.wanted_witness(cx, record);
        if fenced || witness != record.witness { Step::Renew(witness) } else { Step::Rest }
    }

    /// Notes since when the shard's table is lost for good.
    ///
    /// A host whose inventory is some seconds behind takes a host that was
    /// added meanwhile for one that was taken out, and would claim the shards
    /// of a pair that lives; it waits until it must have caught up.
    pub(crate) fn watch_loss(&mut self, cx: &Cx<'_>) {
        if !self.is_lost(cx) {
            self.claim_at = Time::NEVER;
        } else if self.claim_at == Time::NEVER {
            self.claim_at = cx.now.after_ms(CLAIM_MS);
        }
    }

    /// Returns whether the home and whoever holds its table are gone.
    fn is_lost(&self, cx: &Cx<'_>) -> bool {
        let Some(record) = self.record() else { return false };
        let holder = match &record.witness {
            Some(peer) if *peer == cx.core.me => self.standing.synced == record.epoch,
            // One that is only suspected may be serving on behind a cut.
            Some(peer) => cx.view.state(peer) != HostState::Gone,
            None => false,
        };
        cx.view.state(&record.home) == HostState::Gone && !holder
    }

    /// Returns whether this host is the one to claim a shard whose table is lost.
    pub(crate) fn may_claim(&self, cx: &Cx<'_>) -> bool {
        let witness = self.record().and_then(|record| record.witness.as_ref());
        let first = || witness == Some(&cx.core.me) || self.is_claimant(cx);
        cx.now >= self.claim_at && first()
    }

    /// Returns whether this host is the one to claim the shard.
    pub(crate) fn is_claimant(&self, cx: &Cx<'_>) -> bool {
        let first = cx.view.ranked(&self.rank_key()).first().map(|host| &host.peer);
        first == Some(&cx.core.me) && !cx.core.leaving
    }

    /// Returns the key by which hosts are ranked for the shard.
    pub(crate) fn rank_key(&self) -> String {
        format!("shard {}", self.shard)
    }

    /// Returns the witness that the home should have.
    pub(crate) fn wanted_witness(&self, cx: &Cx<'_>, record: &ShardRecord) -> Option<Peer> {
        if let Some(heir) = self.heir.as_ref().filter(|heir| is_live(cx, heir)) {
            return Some(heir.clone());
        }
        let current = record.witness.clone();
        if current.as_ref().is_some_and(|peer| is_live(cx, peer)) {
            return current;
        }
        let leaving = current.filter(|peer| cx.view.state(peer) == HostState::Leaving);
        self.choose_witness(cx).or(leaving)
    }

    /// Chooses a witness: in the preferred zone if it has a live host, else anywhere.
    fn choose_witness(&self, cx: &Cx<'_>) -> Option<Peer> {
        let ranked = cx.view.ranked(&self.rank_key());
        let others = || ranked.iter().filter(|host| host.peer != cx.core.me);
        let same = cx.core.witness == WitnessZone::Same;
        let preferred = others().find(|host| (host.zone == cx.core.zone) == same);
        preferred.or_else(|| others().next()).map(|host| host.peer.clone())
    }

    /// Claims the shard.
    pub(crate) fn claim(&mut self, cx: &mut Cx<'_>) {
        let old = self.record().map(|record| (record.epoch, record.floor));
        let (epoch, floor) = match old {
            Some((epoch, floor)) => (epoch, floor.max(floor_at(cx.core.wall_s(cx.now)))),
            None => (0, 0),
        };
        let epoch = self.standing.claim(epoch);
        let witness = self.choose_witness(cx);
        self.write_as_home(cx, witness, epoch, floor);
    }

    /// Takes the shard over as its witness.
    pub(crate) fn take_over(&mut self, cx: &mut Cx<'_>) {
        let Some(record) = self.record() else { return };
        let (epoch, floor) = (record.epoch, record.floor);
        let Some(epoch) = self.standing.take_over(epoch) else { return };
        let witness = self.choose_witness(cx);
        self.write_as_home(cx, witness, epoch, floor);
    }

    /// Writes the record anew as its home.
    pub(crate) fn renew(&mut self, cx: &mut Cx<'_>, witness: Option<Peer>) {
        let Some(record) = self.record() else { return };
        let (epoch, floor) = (record.epoch, record.floor);
        let Some(epoch) = self.standing.renew(epoch) else { return };
        self.write_as_home(cx, witness, epoch, floor);
    }

    fn write_as_home(&mut self, cx: &mut Cx<'_>, witness: Option<Peer>, epoch: u64, floor: u64) {
        let write = cx.write_id();
        let home = cx.core.me.clone();
        self.write(cx, ShardRecord { home, witness, epoch, floor, write });
    }
}

fn is_live(cx: &Cx<'_>, peer: &Peer) -> bool {
    cx.view.state(peer) == HostState::Live
}
