//! Ownership of worker pools: each pool of a zone has one owner.
//!
//! A record in the store names the owner; it is changed only by compare-and-swap on its
//! revision. The record has no store lease: the store may drop leases without notice, and an
//! owner that cannot reach the store has to keep serving. Every change of the owner increments
//! the epoch, which forms the high bits of the fencing token, so a worker that was contacted by
//! a later owner rejects the orders of former ones.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::fleet::ownership::partition::zone_of;
use crate::{Peer, StoreResult, Time};

/// Prefix of the keys of ownership records.
pub const POOL_KEY_PREFIX: &str = "endivestile/pools/";
/// Prefix of the keys of host registrations.
pub const HOST_KEY_PREFIX: &str = "endivestile/hosts/";
/// Number of bits of the fencing token below the epoch.
const EPOCH_SHIFT: u32 = 20;
/// Wait before a swap is retried after a lost answer or a conflict, in milliseconds.
const SWAP_RETRY_MS: u64 = 400;
/// Time for which an owner counts as alive after it answered a challenge, in milliseconds.
const CONFIRMATION_MS: u64 = 2_000;
/// Time for which a former owner is remembered, in milliseconds: several times as long as
/// anything that it ordered may continue to run.
const FORMER_OWNER_MS: u64 = 5_000;

/// Ownership record of a pool in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnershipRecord {
    /// The owner.
    pub(crate) owner: Peer,
    /// Incremented with every change of the owner.
    pub(crate) epoch: u64,
    /// A host that receives no frames from the owner and asks whether it is alive; a live
    /// owner clears the field.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) challenge: Option<Peer>,
}

/// A swap of a record in flight.
#[derive(Debug, Clone)]
struct Swap {
    op_id: u64,
    record: OwnershipRecord,
    sent: Time,
    due: Time,
}

/// State of one pool as seen by this host.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Revision of the record, 0 for none.
    pub(crate) revision: u64,
    /// The record.
    pub(crate) record: Option<OwnershipRecord>,
    /// Former owners, and when the record that replaced each of them was applied here.
    former_owners: Vec<(Peer, Time)>,
    /// When a record with a new owner or epoch was last applied here.
    pub(crate) changed_at: Time,
    /// Since when the pool has been without a live owner; none while it has one.
    pub(crate) vacant_since: Option<Time>,
    /// Whether a worker rejected this host's token because it has seen a higher one.
    pub(crate) fenced: bool,
    /// Since when this host, of another zone, has reached the pool's workers.
    pub(crate) reachable_since: Option<Time>,
    /// Until when the owner counts as alive because it answered a challenge.
    pub(crate) confirmed_until: Time,
    /// When this host's challenge was written, and how long the store took, in milliseconds.
    pub(crate) own_challenge: Option<(Time, u64)>,
    /// Latest grant issued or accepted here, until a record of a later epoch is read.
    grant: Option<Grant>,
    swap: Option<Swap>,
}

/// Right to a pool that its owner passed to another host without the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Grant {
    /// Epoch of the record under which it was issued.
    epoch: u64,
    /// Fencing token that it confers.
    token: u64,
    /// Whether this host received the grant; otherwise it issued it.
    to_me: bool,
}

impl Pool {
    /// Replaces the record; returns whether the owner or epoch changed.
    fn set_record(&mut self, now: Time, record: Option<OwnershipRecord>) -> bool {
        let owner = |record: &Option<OwnershipRecord>| {
            record.as_ref().map(|record| (record.owner.clone(), record.epoch))
        };
        let changed = owner(&record) != owner(&self.record);
        let challenged = self.record.as_ref().is_some_and(|record| record.challenge.is_some());
        let cleared = record.as_ref().is_some_and(|record| record.challenge.is_none());
        if changed {
            self.former_owners.retain(|(_, at)| at.after_ms(FORMER_OWNER_MS) > now);
            self.former_owners.extend(self.record.take().map(|old| (old.owner, now)));
            self.changed_at = now;
            self.vacant_since = None;
            self.fenced = false;
        } else if challenged && cleared {
            // Only the owner clears a challenge.
            self.confirmed_until = now.after_ms(CONFIRMATION_MS);
            self.vacant_since = None;
        }
        if cleared {
            self.own_challenge = None;
        }
        let epoch = record.as_ref().map_or(0, |record| record.epoch);
        self.grant = self.grant.filter(|grant| grant.epoch >= epoch);
        self.record = record;
        self.swap = self.swap.take().filter(|swap| swap.due > now && !changed);
        changed
    }

    /// Returns whether a challenge to the owner is unanswered.
    pub(crate) fn challenged(&self) -> bool {
        self.record.as_ref().is_some_and(|record| record.challenge.is_some())
    }

    /// Returns whether this host, `me`, owns the pool.
    pub(crate) fn owned_by(&self, me: &Peer) -> bool {
        let recorded = self.record.as_ref().is_some_and(|record| record.owner == *me);
        !self.fenced && self.grant.map_or(recorded, |grant| grant.to_me)
    }

    /// Returns whether this host owns the pool by a grant that the record does not show yet.
    pub(crate) fn owned_by_grant(&self) -> bool {
        !self.fenced && self.grant.is_some_and(|grant| grant.to_me)
    }

    /// Grants the pool to another host; returns the epoch and the fencing token of the grant.
    pub(crate) fn issue_grant(&mut self) -> (u64, u64) {
        let epoch = self.record.as_ref().map_or(0, |record| record.epoch);
        let token = self.token() + 1;
        self.grant = Some(Grant { epoch, token, to_me: false });
        (epoch, token)
    }

    /// Accepts a grant unless a later record or grant is known; returns whether it was accepted.
    pub(crate) fn accept_grant(&mut self, epoch: u64, token: u64) -> bool {
        let later = self.record.as_ref().is_some_and(|record| record.epoch > epoch);
        if later || self.grant.is_some_and(|grant| grant.token >= token) {
            return false;
        }
        self.grant = Some(Grant { epoch, token, to_me: true });
        self.fenced = false;
        true
    }

    /// Returns the owner that the swap in flight would set.
    pub(crate) fn pending_owner(&self) -> Option<&Peer> {
        self.swap.as_ref().map(|swap| &swap.record.owner)
    }

    /// Returns whether a peer owns the pool or recently did.
    fn recently_owned_by(&self, peer: &Peer) -> bool {
        let owner = self.record.as_ref().map(|record| &record.owner);
        owner == Some(peer) || self.former_owners.iter().any(|(former, _)| former == peer)
    }

    /// Returns the fencing token of the latest grant, or else the first of the record's epoch.
    pub(crate) fn token(&self) -> u64 {
        let first = self.record.as_ref().map_or(0, |record| record.epoch << EPOCH_SHIFT);
        self.grant.map_or(first, |grant| grant.token.max(first))
    }

    /// Returns whether a swap of the record is in flight.
    pub(crate) fn swap_pending(&self, now: Time) -> bool {
        self.swap.as_ref().is_some_and(|swap| swap.due > now)
    }
}

/// A compare-and-swap of an ownership record, to be sent to the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecordSwap {
    /// Number of the store call.
    pub(crate) op_id: u64,
    /// The pool.
    pub(crate) pool: Name,
    /// Expected revision of the record.
    pub(crate) revision: u64,
    /// The new record, as JSON.
    pub(crate) value: Bytes,
}

/// All pools.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// Pools by their names, `zone/index`.
    pub(crate) by_name: BTreeMap<Name, Pool>,
    last_op: u64,
}

impl Pools {
    /// Applies a record read from the store; returns whether the owner or epoch changed.
    ///
    /// Fails if the record cannot be parsed.
    pub(crate) fn apply_record(
        &mut self,
        now: Time,
        name: &Name,
        revision: u64,
        value: &[u8],
    ) -> Result<bool, serde_json::Error> {
        let pool = self.by_name.entry(name.clone()).or_default();
        if revision <= pool.revision {
            return Ok(false);
        }
        pool.revision = revision;
        let record: Option<OwnershipRecord> =
            if value.is_empty() { None } else { Some(serde_json::from_slice(value)?) };
        Ok(pool.set_record(now, record))
    }

    /// Starts a swap that makes `owner` the owner of a pool.
    pub(crate) fn swap_owner(
        &mut self,
        now: Time,
        name: &Name,
        owner: &Peer,
    ) -> Option<RecordSwap> {
        let epoch = self.by_name.get(name)?.record.as_ref().map_or(0, |record| record.epoch) + 1;
        self.start_swap(now, name, OwnershipRecord { owner: owner.clone(), epoch, challenge: None })
    }

    /// Starts a swap that sets a challenge to the owner, or clears it.
    pub(crate) fn swap_challenge(
        &mut self,
        now: Time,
        name: &Name,
        challenge: Option<Peer>,
    ) -> Option<RecordSwap> {
        let record = self.by_name.get(name)?.record.clone()?;
        self.start_swap(now, name, OwnershipRecord { challenge, ..record })
    }

    fn start_swap(
        &mut self,
        now: Time,
        name: &Name,
        record: OwnershipRecord,
    ) -> Option<RecordSwap> {
        let pool = self.by_name.get_mut(name)?;
        self.last_op += 1;
        let value = serde_json::to_vec(&record).ok()?;
        let due = now.after_ms(SWAP_RETRY_MS);
        pool.swap = Some(Swap { op_id: self.last_op, record, sent: now, due });
        let revision = pool.revision;
        Some(RecordSwap { op_id: self.last_op, pool: name.clone(), revision, value: value.into() })
    }

    /// Applies the reply to a swap; returns the pool and whether its owner or epoch changed.
    ///
    /// A swap without an answer may have taken effect or may still do so. A record read later
    /// decides: the incarnation that it names is the owner, whichever attempt wrote it.
    pub(crate) fn apply_swap_result(
        &mut self,
        now: Time,
        op_id: u64,
        reply: &StoreResult,
    ) -> Option<(Name, bool)> {
        let found = self
            .by_name
            .iter_mut()
            .find(|(_, pool)| pool.swap.as_ref().is_some_and(|swap| swap.op_id == op_id));
        let (name, pool) = found?;
        let swap = pool.swap.take()?;
        match reply {
            StoreResult::Swapped(revision) if *revision > pool.revision => {
                pool.revision = *revision;
                let challenge = swap.record.challenge.is_some();
                let changed = pool.set_record(now, Some(swap.record));
                if challenge {
                    pool.own_challenge = Some((now, now.since(swap.sent).as_millis() as u64));
                }
                Some((name.clone(), changed))
            }
            // Kept so that the next attempt waits for the due time; the watch delivers the
            // conflicting record, or this one if the swap took effect.
            StoreResult::Lost | StoreResult::Raced => {
                pool.swap = Some(swap);
                Some((name.clone(), false))
            }
            _ => Some((name.clone(), false)),
        }
    }

    /// Returns the owner of a pool according to its record.
    pub(crate) fn owner(&self, name: &str) -> Option<&Peer> {
        self.by_name.get(name)?.record.as_ref().map(|record| &record.owner)
    }

    /// Returns the owners of a zone's pools, each with its number of pools there.
    pub(crate) fn owners(&self, zone: &str) -> BTreeMap<&Peer, u32> {
        self.owners_in_zones(|it| it == zone)
    }

    /// Returns the owners of the pools in matching zones, each with its number of pools there.
    pub(crate) fn owners_in_zones(&self, zone: impl Fn(&str) -> bool) -> BTreeMap<&Peer, u32> {
        let mut owners = BTreeMap::new();
        let here = self.by_name.iter().filter(|(name, _)| zone(zone_of(name)));
        for record in here.filter_map(|(_, pool)| pool.record.as_ref()) {
            *owners.entry(&record.owner).or_default() += 1;
        }
        owners
    }

    /// Returns whether a swap of any record is in flight, or waits to be tried again.
    pub(crate) fn any_swap(&self) -> bool {
        self.by_name.values().any(|pool| pool.swap.is_some() || pool.own_challenge.is_some())
    }

    /// Returns whether any pool of a zone has an owner.
    pub(crate) fn has_owner(&self, zone: &str) -> bool {
        self.by_name.iter().any(|(name, pool)| pool.record.is_some() && zone_of(name) == zone)
    }

    /// Returns the hosts that own pools, by zone.
    pub(crate) fn owners_by_zone(&self) -> BTreeMap<&str, BTreeSet<&Name>> {
        let mut owners: BTreeMap<&str, BTreeSet<&Name>> = BTreeMap::new();
        for (name, pool) in &self.by_name {
            if let Some(record) = &pool.record {
                owners.entry(zone_of(name)).or_default().insert(&record.owner.host);
            }
        }
        owners
    }

    /// Returns how many pools a host would own if it took over all of another's: its own and
    /// those that the other owns or recently owned.
    ///
    /// The other's pools count for every candidate alike, also while one of them is taking them
    /// over: otherwise the next candidate would come first as soon as one pool has a new owner,
    /// and the pools would be scattered.
    pub(crate) fn pools_after_takeover(&self, host: &str, other: &Peer) -> u32 {
        let owned_by = |pool: &&Pool| {
            let owner = pool.record.as_ref().map(|record| &*record.owner.host);
            pool.recently_owned_by(other) || owner == Some(host)
        };
        self.by_name.values().filter(owned_by).count() as u32
    }

    /// Returns the pools that this host, `me`, owns.
    pub(crate) fn owned(&self, me: &Peer) -> impl Iterator<Item = (&Name, &Pool)> {
        self.by_name.iter().filter(|(_, pool)| pool.owned_by(me))
    }

    /// Returns the host that took over all pools of a peer; none while the peer still owns one
    /// or when several hosts took them over.
    pub(crate) fn sole_successor(&self, peer: &Peer) -> Option<&Peer> {
        let pools = self.by_name.values().filter(|pool| pool.recently_owned_by(peer));
        let mut owners = pools.map(|pool| pool.record.as_ref().map(|record| &record.owner));
        let first = owners.next()??;
        (first != peer && owners.all(|owner| owner == Some(first))).then_some(first)
    }
}
