//! Planned ownership transfers, which balance the pools among the live hosts of a zone.
//!
//! Workers register one after another, hosts return after a restart, and the pools of a lost
//! owner go to one host. Without transfers, a zone of a hundred workers would stay with the
//! host that saw the first of them: its processor time would limit the zone while other hosts
//! had no workers to drive.

use std::cmp::Reverse;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::Fleet;
use crate::fleet::hosts::membership::Member;
use crate::fleet::lag::overloaded;
use crate::fleet::ownership::partition::{desired_owners, zone_of};
use crate::{Level, Peer, Time};

/// Interval between two checks of how a zone's pools are distributed, in milliseconds.
const BALANCE_INTERVAL_MS: u64 = 200;
/// Time without a change of any pool of the zone before the next transfer, in milliseconds.
const SETTLED_MS: u64 = 600;
/// Longest time for the runs of a pool to end before its transfer is abandoned, in
/// milliseconds.
const DRAIN_MS: u64 = 3_000;
/// Wait after an abandoned transfer, in milliseconds.
const RETRY_MS: u64 = 5_000;
/// Highest load of the target after a transfer, in percent of the source's load before it.
const TARGET_LOAD_PERCENT: u64 = 80;
/// Capacity that a host without pools needs to replace an owner, in percent of the owner's.
const REPLACEMENT_PERCENT: u32 = 150;

/// A planned ownership transfer whose pool is being drained.
#[derive(Debug, Clone)]
pub(crate) struct Transfer {
    /// The pool.
    pub(crate) pool: Name,
    /// The next owner.
    pub(crate) to: Peer,
    /// When the transfer is abandoned unless all runs of the pool have ended.
    deadline: Time,
}

/// A host's share of the pools of its zone, and its capacity in workers.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Share {
    host: Peer,
    pools: u32,
    capacity: u32,
    overloaded: bool,
}

impl Share {
    /// Returns the pools per worker of capacity, in millionths, with `more` pools added.
    fn load(&self, more: u32) -> u64 {
        u64::from(self.pools + more) * 1_000_000 / u64::from(self.capacity.max(1))
    }
}

/// Returns the source and the target of the next transfer, if one is needed.
fn next_transfer(shares: &[Share], workers: usize) -> Option<(&Share, &Share)> {
    let desired = desired_owners(workers, shares.iter().map(|share| share.capacity));
    let (owners, others): (Vec<&Share>, Vec<&Share>) =
        shares.iter().partition(|share| share.pools > 0);
    let fullest = *owners.iter().max_by_key(|share| (share.load(0), &share.host))?;
    let strongest = others.iter().max_by_key(|share| (share.capacity, &share.host)).copied();
    if owners.len() < desired || fullest.overloaded {
        let strongest = strongest.filter(|target| !target.overloaded);
        let target = strongest.filter(|target| target.load(1) <= fullest.load(0));
        if let Some(target) = target.filter(|_| fullest.pools > 1) {
            return Some((fullest, target));
        }
    }
    let weakest = *owners.iter().min_by_key(|share| (share.capacity, share.pools, &share.host))?;
    let replaces =
        |target: &&Share| target.capacity * 100 >= weakest.capacity * REPLACEMENT_PERCENT;
    if let Some(target) = strongest.filter(replaces) {
        return Some((weakest, target));
    }
    let source = if owners.len() > desired + 1 { weakest } else { fullest };
    let rest = owners.iter().filter(|share| share.host != source.host);
    let target = *rest.min_by_key(|share| (share.load(1), Reverse(share.capacity), &share.host))?;
    let evens_out = target.load(1) * 100 <= source.load(0) * TARGET_LOAD_PERCENT;
    (evens_out || owners.len() > desired + 1).then_some((source, target))
}

impl Fleet {
    /// Starts a planned transfer if this host should give a pool away, or continues the one that
    /// is under way.
    pub(crate) fn balance(&mut self, now: Time) {
        if let Some(transfer) = self.transfer.clone() {
            return self.continue_transfer(now, &transfer);
        }
        if self.balance_due > now || !self.setup.policy.has(Mechanism::Balance) {
            return;
        }
        self.balance_due = now.after_ms(BALANCE_INTERVAL_MS);
        if !self.scheduler.owns_workers() || !self.zone_stable(now) {
            return;
        }
        if let Some((pool, to)) = self.plan_transfer(now) {
            let pairs = vec![("pool", pool.to_string()), ("to", to.to_string())];
            self.log(Level::Info, "transfer_planned", pairs);
            self.scheduler.set_transferring(Some(&pool));
            self.transfer = Some(Transfer { pool, to, deadline: now.after_ms(DRAIN_MS) });
        }
    }

    /// Transfers the pool once nothing runs there; abandons the transfer if that takes too long.
    fn continue_transfer(&mut self, now: Time, transfer: &Transfer) {
        let pool = &transfer.pool;
        let known = self.pools.by_name.get(pool);
        let mine = known.is_some_and(|pool| pool.owned_by(&self.setup.me));
        let ready =
            self.members.is_alive(now, &transfer.to, UNREACHABLE_MS) && self.store_since.is_some();
        if !mine || self.leaving || !ready || transfer.deadline <= now {
            if mine {
                let pairs = vec![("pool", pool.to_string()), ("to", transfer.to.to_string())];
                self.log(Level::Info, "transfer_given_up", pairs);
                self.balance_due = now.after_ms(RETRY_MS);
            }
            self.scheduler.set_transferring(None);
            self.transfer = None;
            return;
        }
        let changing = known.is_some_and(|pool| pool.swap_pending(now));
        if !changing && self.scheduler.pool_idle(pool) {
            self.transfer_pool(now, pool, &transfer.to);
        }
    }

    /// Returns whether this zone is stable: every pool has a live owner and no recent change.
    fn zone_stable(&self, now: Time) -> bool {
        let connected = self.store_since.is_some_and(|since| since.after_ms(UNREACHABLE_MS) <= now);
        let zone = &*self.setup.zone;
        let mut names = self.pool_names.iter().filter(|name| zone_of(name) == zone);
        connected
            && !self.leaving
            && names.all(|name| {
                let Some(pool) = self.pools.by_name.get(name) else { return false };
                let alive = |owner: &Peer| self.members.is_alive(now, owner, UNREACHABLE_MS);
                let owned = pool.record.as_ref().is_some_and(|record| alive(&record.owner));
                let unrecorded = pool.owned_by_grant();
                owned
                    && !unrecorded
                    && !pool.challenged()
                    && pool.changed_at.after_ms(SETTLED_MS) <= now
            })
    }

    /// Returns the pool that this host should give away now, and the next owner.
    fn plan_transfer(&self, now: Time) -> Option<(Name, Peer)> {
        let zone = &self.setup.zone;
        let owners = self.pools.owners(zone);
        let pools = |peer: &Peer| owners.get(peer).copied().unwrap_or(0);
        let eligible = |member: &&Member| {
            member.zone == *zone && !member.leaving && member.is_alive(now, UNREACHABLE_MS)
        };
        let mut shares: Vec<Share> = self
            .members
            .all()
            .filter(eligible)
            .map(|member| Share {
                host: member.peer.clone(),
                pools: pools(&member.peer),
                capacity: member.capacity(),
                overloaded: overloaded(member.report.lag_ms),
            })
            .collect();
        let me = &self.setup.me;
        shares.push(Share {
            host: me.clone(),
            pools: pools(me),
            capacity: self.setup.capacity(),
            overloaded: overloaded(self.scheduler.lag.ms()),
        });
        let workers = self.workers.iter().filter(|(entry, _)| entry.zone == *zone).count();
        let (source, target) = next_transfer(&shares, workers)?;
        let own = self.pools.owned(me).filter(|(name, _)| zone_of(name) == &**zone);
        let mine: Vec<&Name> = own.map(|(name, _)| name).collect();
        let idlest = mine.into_iter().min_by_key(|name| self.scheduler.runs_in_pool(name))?;
        (source.host == *me).then(|| (idlest.clone(), target.host.clone()))
    }
}
