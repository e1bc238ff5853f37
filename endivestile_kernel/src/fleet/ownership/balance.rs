//! Planned transfers of pools between the live owners of a zone.
//!
//! The load that this answers: workers register one after another, hosts come back after
//! a restart, and what a lost owner leaves goes to one host. Without transfers a zone of a
//! hundred workers stays with the one host that saw the first of them, and that
//! host's processor time binds while others have nothing to drive.

use std::cmp::Reverse;

use endivestile_config::Mechanism;
use endivestile_config::model::Name;

use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::Fleet;
use crate::fleet::hosts::membership::Member;
use crate::fleet::lag::overloaded;
use crate::fleet::ownership::partition::{desired_owners, zone_of};
use crate::{Level, Peer, Time};

/// Time between two looks at a zone's shares, in milliseconds.
const LOOK_MS: u64 = 200;
/// Time for which no pool of the zone may have changed before the next transfer, in
/// milliseconds.
const SETTLED_MS: u64 = 600;
/// Longest time for the runs of a pool to end before its transfer is given up, in
/// milliseconds.
const DRAIN_MS: u64 = 3_000;
/// Pause after a transfer that was given up, in milliseconds.
const RETRY_MS: u64 = 5_000;
/// Part of the giver's load, in percent, that the taker's may reach at most.
const EVEN_PERCENT: u64 = 80;
/// How many percent of an owner's capacity a host without pools needs to replace it.
const STRONGER_PERCENT: u32 = 150;

/// A pool on its way to another host.
#[derive(Debug, Clone)]
pub(crate) struct Transfer {
    /// The pool.
    pub(crate) pool: Name,
    /// Its next owner.
    pub(crate) to: Peer,
    /// Until when its runs may end.
    limit: Time,
}

/// What one host of a zone drives and could drive.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Share {
    host: Peer,
    pools: u32,
    capacity: u32,
    overloaded: bool,
}

impl Share {
    /// Returns pools for each worker that the host can drive, in millionths.
    fn load(&self, more: u32) -> u64 {
        u64::from(self.pools + more) * 1_000_000 / u64::from(self.capacity.max(1))
    }
}

/// Returns the owner that is to give a pool away and the host that is to take it.
fn next_transfer(shares: &[Share], workers: usize) -> Option<(&Share, &Share)> {
    let wanted = desired_owners(workers, shares.iter().map(|share| share.capacity));
    let (owners, others): (Vec<&Share>, Vec<&Share>) =
        shares.iter().partition(|share| share.pools > 0);
    let fullest = *owners.iter().max_by_key(|share| (share.load(0), &share.host))?;
    let strongest = others.iter().max_by_key(|share| (share.capacity, &share.host)).copied();
    if owners.len() < wanted || fullest.overloaded {
        let strongest = strongest.filter(|taker| !taker.overloaded);
        let taker = strongest.filter(|taker| taker.load(1) <= fullest.load(0));
        if let Some(taker) = taker.filter(|_| fullest.pools > 1) {
            return Some((fullest, taker));
        }
    }
    let weakest = *owners.iter().min_by_key(|share| (share.capacity, share.pools, &share.host))?;
    let replaces = |taker: &&Share| taker.capacity * 100 >= weakest.capacity * STRONGER_PERCENT;
    if let Some(taker) = strongest.filter(replaces) {
        return Some((weakest, taker));
    }
    let giver = if owners.len() > wanted + 1 { weakest } else { fullest };
    let rest = owners.iter().filter(|share| share.host != giver.host);
    let taker = *rest.min_by_key(|share| (share.load(1), Reverse(share.capacity), &share.host))?;
    let evens = taker.load(1) * 100 <= giver.load(0) * EVEN_PERCENT;
    (evens || owners.len() > wanted + 1).then_some((giver, taker))
}

impl Fleet {
    /// Begins a planned transfer if this host is to give a pool away, or goes on with it.
    pub(crate) fn balance(&mut self, now: Time) {
        if let Some(transfer) = self.transfer.clone() {
            return self.go_on(now, &transfer);
        }
        if self.balance_due > now || !self.setup.policy.has(Mechanism::Balance) {
            return;
        }
        self.balance_due = now.after_ms(LOOK_MS);
        if !self.scheduler.owns_workers() || !self.steady(now) {
            return;
        }
        if let Some((pool, to)) = self.planned(now) {
            let pairs = vec![("pool", pool.to_string()), ("to", to.to_string())];
            self.log(Level::Info, "transfer_planned", pairs);
            self.scheduler.set_transferring(Some(&pool));
            self.transfer = Some(Transfer { pool, to, limit: now.after_ms(DRAIN_MS) });
        }
    }

    /// Hands the pool on once nothing runs there; gives the transfer up when that takes long.
    fn go_on(&mut self, now: Time, transfer: &Transfer) {
        let pool = &transfer.pool;
        let known = self.pools.by_name.get(pool);
        let mine = known.is_some_and(|pool| pool.owned_by(&self.setup.me));
        let ready =
            self.members.is_alive(now, &transfer.to, UNREACHABLE_MS) && self.store_since.is_some();
        if !mine || self.leaving || !ready || transfer.limit <= now {
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

    /// Returns whether nothing else is going on in this zone: all pools have live owners.
    fn steady(&self, now: Time) -> bool {
        let long = self.store_since.is_some_and(|since| since.after_ms(UNREACHABLE_MS) <= now);
        let zone = &*self.setup.zone;
        let mut names = self.pool_names.iter().filter(|name| zone_of(name) == zone);
        long && !self.leaving
            && names.all(|name| {
                let Some(pool) = self.pools.by_name.get(name) else { return false };
                let live = |owner: &Peer| self.members.is_alive(now, owner, UNREACHABLE_MS);
                let owned = pool.record.as_ref().is_some_and(|record| live(&record.owner));
                let word = pool.owned_by_grant();
                owned && !word && !pool.challenged() && pool.changed_at.after_ms(SETTLED_MS) <= now
            })
    }

    /// Returns the pool that this host is to give away now, and to whom.
    fn planned(&self, now: Time) -> Option<(Name, Peer)> {
        let zone = &self.setup.zone;
        let owners = self.pools.owners(zone);
        let pools = |peer: &Peer| owners.get(peer).copied().unwrap_or(0);
        let may = |member: &&Member| {
            member.zone == *zone && !member.leaving && member.is_alive(now, UNREACHABLE_MS)
        };
        let mut shares: Vec<Share> = self
            .members
            .all()
            .filter(may)
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
        let (giver, taker) = next_transfer(&shares, workers)?;
        let own = self.pools.owned(me).filter(|(name, _)| zone_of(name) == &**zone);
        let mine: Vec<&Name> = own.map(|(name, _)| name).collect();
        let least = mine.into_iter().min_by_key(|name| self.scheduler.runs_in_pool(name))?;
        (giver.host == *me).then(|| (least.clone(), taker.host.clone()))
    }
}
