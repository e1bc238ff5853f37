//! Division of a zone's workers into pools, and the number of owners that a zone needs.
//!
//! A host with a fraction of a core starts some hundred tasks a second, and a zone may have
//! hundreds of workers. The workers of a zone are therefore divided into a fixed number of
//! pools, each with one owner; a host may own several pools. A single owner places best, since
//! it sees the free capacity of all workers, so a small zone has one owner and a large one as
//! many as its workers need.

use std::cmp::Reverse;

use endivestile_config::model::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Number of pools in a zone.
///
/// At the target size of 170 workers and 4,230 starts a second in a zone, a pool has 21 workers
/// and 529 starts a second, a fifth of a core. Ownership records are keyed by pool: hosts that
/// disagree on the number would drive the same workers.
pub(crate) const POOLS_PER_ZONE: u64 = 8;
/// Most workers that one owner drives before its zone gets another owner.
const MAX_OWNER_WORKERS: u32 = 30;
/// Processor time for driving one worker, in thousandths of a core.
const WORKER_CPU_MILLI: u32 = 10;
/// Bandwidth of the owner's link for driving one worker, in kilobits a second.
const WORKER_LINK_KBPS: u32 = 150;

/// Returns the pool of a worker, `zone/index`.
pub(crate) fn pool_of(zone: &str, worker: &str) -> Name {
    let part = xxh3_64(worker.as_bytes()) % POOLS_PER_ZONE;
    Name::from(format!("{zone}/{part}"))
}

/// Returns the zone of a pool.
pub(crate) fn zone_of(pool: &str) -> &str {
    pool.rsplit_once('/').map_or(pool, |(zone, _)| zone)
}

/// Returns the index of a pool within its zone.
pub(crate) fn pool_index(pool: &str) -> usize {
    pool.rsplit_once('/').and_then(|(_, index)| index.parse().ok()).unwrap_or(0)
}

/// Returns how many workers a host can drive; a resource given as 0 is unknown and sets no limit.
pub(crate) fn host_capacity(cpu_milli: u32, link_kbps: u32) -> u32 {
    let limit = |available: u32, per_worker: u32| {
        if available == 0 { MAX_OWNER_WORKERS } else { available / per_worker }
    };
    let least = limit(cpu_milli, WORKER_CPU_MILLI).min(limit(link_kbps, WORKER_LINK_KBPS));
    least.clamp(1, MAX_OWNER_WORKERS)
}

/// Returns how many hosts of a zone should own its workers, given the number of workers that
/// each host can drive.
pub(crate) fn desired_owners(workers: usize, capacities: impl Iterator<Item = u32>) -> usize {
    let mut capacities: Vec<u32> = capacities.collect();
    capacities.sort_unstable_by_key(|capacity| Reverse(*capacity));
    let mut remaining = workers as u64;
    let last = capacities.iter().position(|capacity| {
        remaining = remaining.saturating_sub(u64::from(*capacity));
        remaining == 0
    });
    last.map_or(capacities.len(), |at| at + 1).clamp(1, POOLS_PER_ZONE as usize)
}
