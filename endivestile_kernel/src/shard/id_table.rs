//! The ids that a home or witness remembers.

use std::borrow::Borrow;
use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hash, Hasher};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{KnownId, SubmissionId, Time};

/// Remembered ids of one shard.
///
/// The hash is fixed, so that a scenario repeats exactly; an entry holds its
/// id once.
#[derive(Debug, Default)]
pub(crate) struct IdTable {
    entries: HashSet<Entry, BuildHasherDefault<IdHasher>>,
}

impl IdTable {
    /// Returns what is remembered of an id.
    pub(crate) fn get(&self, id: &SubmissionId) -> Option<&KnownId> {
        self.entries.get(id).map(|entry| &entry.0)
    }

    /// Remembers an id, in place of what was remembered of it.
    pub(crate) fn insert(&mut self, known: KnownId) {
        self.entries.replace(Entry(known));
    }

    /// Forgets every id.
    pub(crate) fn clear(&mut self) {
        self.entries = HashSet::default();
    }

    /// Forgets the ids whose time has come.
    ///
    /// An id is kept for the window and two margins after its arrival, on the
    /// host's own monotonic clock. It was dated at most one margin after its
    /// arrival, and clocks differ by less than the other: when it is forgotten,
    /// every home refuses it as expired, so forgetting never means starting again.
    pub(crate) fn forget(&mut self, now: Time) {
        self.entries.retain(|entry| entry.0.forget > now);
    }

    /// Returns the number of ids.
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the remembered ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &KnownId> {
        self.entries.iter().map(|entry| &entry.0)
    }
}

/// An id, compared by its text alone.
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

/// Hasher without a random seed.
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
