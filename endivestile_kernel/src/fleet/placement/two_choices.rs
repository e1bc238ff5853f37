//! Which of several owners of a zone gets a job.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::Peer;

/// Two owners drawn at random, each as often as it has pools.
///
/// The load that this answers: all hosts of a zone hear of a free place within
/// the same tenth of a second. If each sent its jobs to the owner with the most
/// room, they would all go there at once, and wait while the others stand idle.
/// The better of two at random keeps the queues nearly as even, and goes wrong
/// only for the jobs that drew the same two.
#[derive(Debug)]
pub(crate) struct TwoChoices<'a> {
    first: Option<(&'a Peer, u32)>,
    second: Option<(&'a Peer, u32)>,
}

impl<'a> TwoChoices<'a> {
    /// Draws two by a number that differs from job to job.
    pub(crate) fn draw(owners: &BTreeMap<&'a Peer, u32>, number: u64) -> Self {
        let hash = xxh3_64(&number.to_le_bytes());
        Self { first: draw(owners, hash as u32), second: draw(owners, (hash >> 32) as u32) }
    }

    /// Returns the one with more room for each of its pools.
    pub(crate) fn less_loaded(&self, spare: impl Fn(&Peer) -> i64) -> Option<&'a Peer> {
        let (first, second) = (self.first?, self.second?);
        let room = |(peer, pools): (&Peer, u32)| spare(peer) / i64::from(pools.max(1));
        let better = if room(second) > room(first) { second } else { first };
        Some(better.0)
    }
}

fn draw<'a>(owners: &BTreeMap<&'a Peer, u32>, hash: u32) -> Option<(&'a Peer, u32)> {
    let whole: u32 = owners.values().sum();
    let mut at = hash.checked_rem(whole)?;
    for (peer, pools) in owners {
        if at < *pools {
            return Some((peer, *pools));
        }
        at -= pools;
    }
    None
}
