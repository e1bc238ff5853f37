//! Table of the ids that a home or witness has recorded.

use std::borrow::Borrow;
use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hash, Hasher};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{KnownId, SubmissionId, Time};

/// Recorded ids of one shard.
///
/// The hash has a fixed seed, so that scenarios are reproducible. A set of
/// whole entries avoids storing each id a second time as a map key.
#[derive(Debug, Default)]
pub(crate) struct IdTable {
    entries: HashSet<Entry, BuildHasherDefault<IdHasher>>,
}

impl IdTable {
    /// Returns the entry of an id.
    pub(crate) fn get(&self, id: &SubmissionId) -> Option<&KnownId> {
        self.entries.get(id).map(|entry| &entry.0)
    }

    /// Inserts an id, replacing an entry with the same id.
    pub(crate) fn insert(&mut self, known: KnownId) {
        self.entries.replace(Entry(known));
    }

    /// Removes all ids.
    pub(crate) fn clear(&mut self) {
        self.entries = HashSet::default();
    }

    /// Removes the ids whose retention has ended.
    ///
    /// An id is kept for the resubmission window plus twice the maximum clock
    /// skew after its arrival, measured on the host's monotonic clock. The id
    /// may be dated one skew after its arrival, and the clocks of two hosts
    /// differ by less than another. Every home therefore refuses a removed id
    /// as expired and cannot start it again.
    pub(crate) fn remove_expired(&mut self, now: Time) {
        self.entries.retain(|entry| entry.0.forget > now);
    }

    /// Returns the number of ids.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Iterates over all ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownId> {
        self.entries.iter().map(|entry| &entry.0)
    }
}

/// An entry that is compared and hashed by its id only.
#[derive(Debug)]
struct Entry(KnownId);

impl Borrow<SubmissionId> for Entry {
    fn borrow(&self) -> &SubmissionId {
        &self.0.id
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.0.id == other.0.id
    }
}

impl Eq for Entry {}

impl Hash for Entry {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.id.hash(state);
    }
}

/// Hasher with a fixed seed.
#[derive(Debug, Default)]
struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64_with_seed(bytes, self.0);
    }
}
