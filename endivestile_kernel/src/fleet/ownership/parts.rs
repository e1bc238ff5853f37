//! How the workers of a zone are divided among its hosts.
//!
//! A host of a fraction of a core places some hundred starts a second, and a
//! zone may have hundreds of workers. So the workers of a zone stand in a fixed
//! number of parts, each with an owner of its own; a host may own several. One
//! owner of all parts places best, since it sees all room, so a small zone has
//! one owner, and a large one as many as its workers need.

use endivestile_config::model::Name;
use xxhash_rust::xxh3::xxh3_64;

/// Parts of a zone. At the size to be carried, 170 workers a zone and 4,230
/// starts a second there, a part is 21 workers and 529 starts a second, which is
/// a fifth of a core. The number is in the records' keys: hosts that disagree on
/// it would drive the same workers.
pub(crate) const PARTS: u64 = 8;
/// Workers that one owner takes before a zone gets another one: some seventy
/// places, enough for a job of the usual width to find room at once.
const OWNER_WORKERS: usize = 30;

/// Returns the pool of a worker: its zone and part.
pub(crate) fn pool_of(zone: &str, worker: &str) -> Name {
    let part = xxh3_64(worker.as_bytes()) % PARTS;
    Name::from(format!("{zone}/{part}"))
}

/// Returns the zone of a pool.
pub(crate) fn zone_of(pool: &str) -> &str {
    pool.rsplit_once('/').map_or(pool, |(zone, _)| zone)
}

/// Returns the number of a pool within its zone.
pub(crate) fn part_of(pool: &str) -> usize {
    pool.rsplit_once('/').and_then(|(_, part)| part.parse().ok()).unwrap_or(0)
}

/// Returns how many owners a zone with so many workers is to have.
pub(crate) fn owners_wanted(workers: usize) -> usize {
    workers.div_ceil(OWNER_WORKERS).clamp(1, PARTS as usize)
}
