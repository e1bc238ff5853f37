//! Who owns which workers: one owner for each part of a zone.
//!
//! The owner stands in a record of the store that is changed only under the
//! condition of its revision. The record carries no lease: the store may drop
//! leases unseen, and an owner that cannot reach the store must go on serving.
//! Each change raises the epoch, and the epoch is the high part of the fencing
//! token; so a former owner's orders are refused by every worker that a later
//! one has spoken to.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::fleet::ownership::partition::zone_of;
use crate::{Peer, StoreResult, Time};

/// Prefix of the records' keys.
pub const POOL_KEY_PREFIX: &str = "endivestile/pools/";
/// Prefix of the keys of hosts' registrations.
pub const HOST_KEY_PREFIX: &str = "endivestile/hosts/";
/// Bits of the fencing token below the epoch.
const EPOCH_SHIFT: u32 = 20;
/// Pause before a change of a record is tried again that got no answer or found
/// another record, in milliseconds.
const SWAP_RETRY_MS: u64 = 400;
/// Time for which an owner's word counts that it lives, in milliseconds.
const CONFIRMED_MS: u64 = 2_000;
/// Time for which a former owner is remembered, in milliseconds: several times
/// longer than anything that it ordered may run on.
const FORMER_MS: u64 = 5_000;

/// Record of a pool in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OwnershipRecord {
    /// The owner.
    pub(crate) owner: Peer,
    /// Grows with every change of the owner.
    pub(crate) epoch: u64,
    /// A host that cannot hear the owner and asks whether it lives; an owner
    /// that does takes this out again.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) challenge: Option<Peer>,
}

/// A change of a record on its way.
#[derive(Debug, Clone)]
struct Swap {
    token: u64,
    record: OwnershipRecord,
    sent: Time,
    due: Time,
}

/// What is known of one pool.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    /// Revision of the record, 0 for none.
    pub(crate) revision: u64,
    /// The record.
    pub(crate) record: Option<OwnershipRecord>,
    /// Owners before the present one, and when that was known here.
    former: Vec<(Peer, Time)>,
    /// When the record last changed, as far as is known here.
    pub(crate) changed_at: Time,
    /// Since when its owner is looked for in vain.
    pub(crate) vacant_since: Option<Time>,
    /// A worker showed a higher token than that of the record.
    pub(crate) fenced: bool,
    /// Since when this host, of another zone, reaches the workers.
    pub(crate) reachable_since: Option<Time>,
    /// Until when the owner's own word counts that it lives.
    pub(crate) confirmed_until: Time,
    /// When this host asked in the record whether the owner lives, and how long
    /// the store took for that, in milliseconds.
    pub(crate) own_challenge: Option<(Time, u64)>,
    /// What this host was given by the owner's word alone: the record tells of it later.
    word: Option<Word>,
    swap: Option<Swap>,
}

/// An owner's word that a pool is another host's from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Word {
    /// Epoch of the record under which it was given.
    epoch: u64,
    /// Fencing token that it gave.
    token: u64,
    /// Whether this host has it; it has given it away otherwise.
    mine: bool,
}

impl Pool {
    /// Takes the record over; returns whether its owner or epoch changed.
    fn take(&mut self, now: Time, record: Option<OwnershipRecord>) -> bool {
        let owner = |record: &Option<OwnershipRecord>| {
            record.as_ref().map(|record| (record.owner.clone(), record.epoch))
        };
        let changed = owner(&record) != owner(&self.record);
        let challenged = self.record.as_ref().is_some_and(|record| record.challenge.is_some());
        let cleared = record.as_ref().is_some_and(|record| record.challenge.is_none());
        if changed {
            self.former.retain(|(_, at)| at.after_ms(FORMER_MS) > now);
            self.former.extend(self.record.take().map(|old| (old.owner, now)));
            self.changed_at = now;
            self.vacant_since = None;
            self.fenced = false;
        } else if challenged && cleared {
            // Only the owner takes a challenge out.
            self.confirmed_until = now.after_ms(CONFIRMED_MS);
            self.vacant_since = None;
        }
        if cleared {
            self.own_challenge = None;
        }
        let epoch = record.as_ref().map_or(0, |record| record.epoch);
        self.word = self.word.filter(|word| word.epoch >= epoch);
        self.record = record;
        self.swap = self.swap.take().filter(|swap| swap.due > now && !changed);
        changed
    }

    /// Returns whether the owner is asked whether it lives.
    pub(crate) fn challenged(&self) -> bool {
        self.record.as_ref().is_some_and(|record| record.challenge.is_some())
    }

    /// Returns whether this host, `me`, owns it.
    pub(crate) fn owned_by(&self, me: &Peer) -> bool {
        let named = self.record.as_ref().is_some_and(|record| record.owner == *me);
        !self.fenced && self.word.map_or(named, |word| word.mine)
    }

    /// Returns whether this host owns it by the former owner's word alone.
    pub(crate) fn owned_by_grant(&self) -> bool {
        !self.fenced && self.word.is_some_and(|word| word.mine)
    }

    /// Gives it away; returns the epoch and the token under which it is the other's.
    pub(crate) fn issue_grant(&mut self) -> (u64, u64) {
        let epoch = self.record.as_ref().map_or(0, |record| record.epoch);
        let token = self.token() + 1;
        self.word = Some(Word { epoch, token, mine: false });
        (epoch, token)
    }

    /// Takes it at its owner's word, unless a later record or word is known; returns
    /// whether it is this host's now.
    pub(crate) fn accept_grant(&mut self, epoch: u64, token: u64) -> bool {
        let later = self.record.as_ref().is_some_and(|record| record.epoch > epoch);
        if later || self.word.is_some_and(|word| word.token >= token) {
            return false;
        }
        self.word = Some(Word { epoch, token, mine: true });
        self.fenced = false;
        true
    }

    /// Returns the host that a change of the record on its way names as owner.
    pub(crate) fn pending_owner(&self) -> Option<&Peer> {
        self.swap.as_ref().map(|swap| &swap.record.owner)
    }

    /// Returns whether a peer owns it or did so lately.
    fn held_by(&self, peer: &Peer) -> bool {
        let owner = self.record.as_ref().map(|record| &record.owner);
        owner == Some(peer) || self.former.iter().any(|(former, _)| former == peer)
    }

    /// Returns the fencing token of the record's epoch, or of the latest word under it.
    pub(crate) fn token(&self) -> u64 {
        let first = self.record.as_ref().map_or(0, |record| record.epoch << EPOCH_SHIFT);
        self.word.map_or(first, |word| word.token.max(first))
    }

    /// Returns whether a change of the record is on its way.
    pub(crate) fn swap_pending(&self, now: Time) -> bool {
        self.swap.as_ref().is_some_and(|swap| swap.due > now)
    }
}

/// A change of a record to be made in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecordSwap {
    /// Number of the call.
    pub(crate) call: u64,
    /// The pool.
    pub(crate) pool: Name,
    /// Revision on which it depends.
    pub(crate) revision: u64,
    /// The new record.
    pub(crate) value: Bytes,
}

/// All pools, by zone and part.
#[derive(Debug, Default)]
pub(crate) struct Pools {
    /// Pools.
    pub(crate) by_name: BTreeMap<Name, Pool>,
    token: u64,
}

impl Pools {
    /// Takes in a record as the store has it; returns whether that is news.
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
        Ok(pool.take(now, record))
    }

    /// Starts a change that makes `owner` the owner of a pool.
    pub(crate) fn swap_owner(
        &mut self,
        now: Time,
        name: &Name,
        owner: &Peer,
    ) -> Option<RecordSwap> {
        let epoch = self.by_name.get(name)?.record.as_ref().map_or(0, |record| record.epoch) + 1;
        self.write(now, name, OwnershipRecord { owner: owner.clone(), epoch, challenge: None })
    }

    /// Starts a change that asks the owner whether it lives, or that answers.
    pub(crate) fn swap_challenge(
        &mut self,
        now: Time,
        name: &Name,
        challenge: Option<Peer>,
    ) -> Option<RecordSwap> {
        let record = self.by_name.get(name)?.record.clone()?;
        self.write(now, name, OwnershipRecord { challenge, ..record })
    }

    fn write(&mut self, now: Time, name: &Name, record: OwnershipRecord) -> Option<RecordSwap> {
        let pool = self.by_name.get_mut(name)?;
        self.token += 1;
        let value = serde_json::to_vec(&record).ok()?;
        let due = now.after_ms(SWAP_RETRY_MS);
        pool.swap = Some(Swap { token: self.token, record, sent: now, due });
        let revision = pool.revision;
        Some(RecordSwap { call: self.token, pool: name.clone(), revision, value: value.into() })
    }

    /// Takes in how a change ended; returns the pool and whether it took effect.
    ///
    /// A change without an answer may have taken effect or may yet do so. The
    /// store's record tells in time: a record that names an incarnation makes it
    /// the owner, however it came to stand there.
    pub(crate) fn apply_swap_result(
        &mut self,
        now: Time,
        token: u64,
        stored: &StoreResult,
    ) -> Option<(Name, bool)> {
        let found = self
            .by_name
            .iter_mut()
            .find(|(_, pool)| pool.swap.as_ref().is_some_and(|swap| swap.token == token));
        let (name, pool) = found?;
        let swap = pool.swap.take()?;
        match stored {
            StoreResult::Swapped(revision) if *revision > pool.revision => {
                pool.revision = *revision;
                let challenge = swap.record.challenge.is_some();
                let changed = pool.take(now, Some(swap.record));
                if challenge {
                    pool.own_challenge = Some((now, now.since(swap.sent).as_millis() as u64));
                }
                Some((name.clone(), changed))
            }
            // The next try waits for its due time; the watch brings the record
            // that stood in the way, or the change itself.
            StoreResult::Lost | StoreResult::Raced => {
                pool.swap = Some(swap);
                Some((name.clone(), false))
            }
            _ => Some((name.clone(), false)),
        }
    }

    /// Returns the owner of a pool by the store's record.
    pub(crate) fn owner(&self, name: &str) -> Option<&Peer> {
        self.by_name.get(name)?.record.as_ref().map(|record| &record.owner)
    }

    /// Returns the owners of a zone's workers, each with the number of its pools.
    pub(crate) fn owners(&self, zone: &str) -> BTreeMap<&Peer, u32> {
        self.owners_in_zones(|it| it == zone)
    }

    /// Returns the owners of some zones' workers, each with the number of its pools there.
    pub(crate) fn owners_in_zones(&self, zone: impl Fn(&str) -> bool) -> BTreeMap<&Peer, u32> {
        let mut owners = BTreeMap::new();
        let here = self.by_name.iter().filter(|(name, _)| zone(zone_of(name)));
        for record in here.filter_map(|(_, pool)| pool.record.as_ref()) {
            *owners.entry(&record.owner).or_default() += 1;
        }
        owners
    }

    /// Returns the hosts that own workers, by zone.
    pub(crate) fn owners_by_zone(&self) -> BTreeMap<&str, BTreeSet<&Name>> {
        let mut owners: BTreeMap<&str, BTreeSet<&Name>> = BTreeMap::new();
        for (name, pool) in &self.by_name {
            if let Some(record) = &pool.record {
                owners.entry(zone_of(name)).or_default().insert(&record.owner.host);
            }
        }
        owners
    }

    /// Returns how many pools a host would own that took all of another's: its own
    /// and those that the other owns or owned lately.
    ///
    /// What the other has left counts for every candidate alike, also while one of
    /// them is taking it: otherwise the next candidate's turn would come as soon as
    /// the first pool has changed hands, and the pools would be scattered.
    pub(crate) fn pools_after_takeover(&self, host: &str, other: &Peer) -> u32 {
        let owned_by = |pool: &&Pool| {
            let owner = pool.record.as_ref().map(|record| &*record.owner.host);
            pool.held_by(other) || owner == Some(host)
        };
        self.by_name.values().filter(owned_by).count() as u32
    }

    /// Returns the pools that a peer owns and that have not been taken from it.
    pub(crate) fn owned(&self, peer: &Peer) -> impl Iterator<Item = (&Name, &Pool)> {
        self.by_name.iter().filter(|(_, pool)| pool.owned_by(peer))
    }

    /// Returns the host that has taken over everything that a peer owned; none
    /// while something of it is still the peer's, or when several share it.
    pub(crate) fn sole_successor(&self, peer: &Peer) -> Option<&Peer> {
        let held = self.by_name.values().filter(|pool| pool.held_by(peer));
        let mut owners = held.map(|pool| pool.record.as_ref().map(|record| &record.owner));
        let first = owners.next()??;
        (first != peer && owners.all(|owner| owner == Some(first))).then_some(first)
    }
}
