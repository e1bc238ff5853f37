//! Choice between the owners of a zone for a job.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::Peer;

/// Two owners drawn at random, weighted by their number of pools.
///
/// All hosts of a zone learn of free capacity within the same tenth of a second. If each
/// sent its jobs to the least loaded owner, they would all queue there while the others are
/// idle. The less loaded of two random owners balances queues nearly as well and overloads
/// an owner only with the jobs that drew the same two.
#[derive(Debug)]
pub(crate) struct TwoChoices<'a> {
    first: Option<(&'a Peer, u32)>,
    second: Option<(&'a Peer, u32)>,
}

impl<'a> TwoChoices<'a> {
    /// Draws two owners, given their numbers of pools, by the hash of a job's number.
    pub(crate) fn draw(owners: &BTreeMap<&'a Peer, u32>, number: u64) -> Self {
        let hash = xxh3_64(&number.to_le_bytes());
        Self { first: draw(owners, hash as u32), second: draw(owners, (hash >> 32) as u32) }
    }

    /// Returns the owner with more free capacity per pool, where `spare` is the free capacity
    /// of a host less its waiting tasks.
    pub(crate) fn less_loaded(&self, spare: impl Fn(&Peer) -> i64) -> Option<&'a Peer> {
        let (first, second) = (self.first?, self.second?);
        let per_pool = |(peer, pools): (&Peer, u32)| spare(peer) / i64::from(pools.max(1));
        let chosen = if per_pool(second) > per_pool(first) { second } else { first };
        Some(chosen.0)
    }
}

/// Returns the owner of the pool that a hash selects.
fn draw<'a>(owners: &BTreeMap<&'a Peer, u32>, hash: u32) -> Option<(&'a Peer, u32)> {
    let total: u32 = owners.values().sum();
    let mut index = hash.checked_rem(total)?;
    for (peer, pools) in owners {
        if index < *pools {
            return Some((peer, *pools));
        }
        index -= pools;
    }
    None
}
