//! How the workers of a zone are divided among its hosts.
//!
//! A host of a fraction of a core places some hundred starts a second, and a
//! zone may have hundreds of workers. So the workers of a zone stand in a fixed
//! number of parts, each with an owner of its own; a host may own several. One
//! owner of all parts places best, since it sees all room, so a small zone has
//! one owner, and a large one as many as its workers need.

use std::cmp::Reverse;

use endivestile_config::model::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Parts of a zone. At the size to be carried, 170 workers a zone and 4,230
/// starts a second there, a part is 21 workers and 529 starts a second, which is
/// a fifth of a core. The number is in the records' keys: hosts that disagree on
/// it would drive the same workers.
pub(crate) const POOLS_PER_ZONE: u64 = 8;
/// Workers that one owner takes at most before a zone gets another one.
const OWNER_WORKERS: u32 = 30;
/// Processor time that driving one worker takes, in thousandths of a core.
const WORKER_CPU_MILLI: u32 = 10;
/// Bytes on the owner's link that driving one worker takes, in kilobits a second.
const WORKER_LINK_KBPS: u32 = 150;

/// Returns the pool of a worker: its zone and part.
pub(crate) fn pool_of(zone: &str, worker: &str) -> Name {
    let part = xxh3_64(worker.as_bytes()) % POOLS_PER_ZONE;
    Name::from(format!("{zone}/{part}"))
}

/// Returns the zone of a pool.
pub(crate) fn zone_of(pool: &str) -> &str {
    pool.rsplit_once('/').map_or(pool, |(zone, _)| zone)
}

/// Returns the number of a pool within its zone.
pub(crate) fn pool_index(pool: &str) -> usize {
    pool.rsplit_once('/').and_then(|(_, part)| part.parse().ok()).unwrap_or(0)
}

/// Returns how many workers a host can drive; a figure of 0 is not known and limits nothing.
pub(crate) fn host_capacity(cpu_milli: u32, link_kbps: u32) -> u32 {
    let limit = |figure: u32, each: u32| if figure == 0 { OWNER_WORKERS } else { figure / each };
    let least = limit(cpu_milli, WORKER_CPU_MILLI).min(limit(link_kbps, WORKER_LINK_KBPS));
    least.clamp(1, OWNER_WORKERS)
}

/// Returns how many of its hosts a zone with so many workers is to have as owners, given
/// what each host can drive.
pub(crate) fn desired_owners(workers: usize, capacities: impl Iterator<Item = u32>) -> usize {
    let mut capacities: Vec<u32> = capacities.collect();
    capacities.sort_unstable_by_key(|capacity| Reverse(*capacity));
    let mut left = workers as u64;
    let enough = capacities.iter().position(|capacity| {
        left = left.saturating_sub(u64::from(*capacity));
        left == 0
    });
    enough.map_or(capacities.len(), |at| at + 1).clamp(1, POOLS_PER_ZONE as usize)
}
