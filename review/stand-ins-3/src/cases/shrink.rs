//! LIMIT: the capacity of minions shrinks while the store turns away the host that owns them.

use std::time::{Duration, Instant};

use super::sleep_ms;
use crate::deployment::{Deployment, NotRun, job};

/// Time for which the store turns the owner away, in milliseconds.
const TURNED_AWAY_MS: u64 = 7_000;
/// Time from a shrink until it counts: `StableWindowMs` and one beat, in milliseconds.
const COUNTS_AFTER_MS: u64 = 3_000 + 1_500;
/// Processor capacity of the minions before and after the shrink, in thousandths of a core.
const CAPACITY: [u64; 2] = [32_000, 16_000];

pub fn run(record: &str, trouble: bool) -> Result<bool, NotRun> {
    let mut it = Deployment::start(record, &[], 1_500);
    let minions = ["m1", "m2"];
    minions.iter().for_each(|id| it.workers.add("z1", id, CAPACITY[0]));
    for name in ["e1", "e2", "e3"] {
        it.add_host(name, "z1")?;
    }
    it.wait_until_serving()?;
    let owner = it.owner()?;
    it.record.write(&format!("the minions belong to {}", it.hosts[owner].name));
    let turned_away = Instant::now();
    if trouble {
        it.store.set_refused(owner, true);
        it.record.write("the store turns that host away (429) and serves the others");
    }
    sleep_ms(500);
    minions.iter().for_each(|id| it.workers.set_capacity(id, CAPACITY[1]));
    let shrunk = Instant::now();
    let mut number = 0;
    while turned_away.elapsed() < Duration::from_millis(TURNED_AWAY_MS) {
        number += 1;
        let id = format!("bb{number:014x}");
        let host = number % it.hosts.len();
        it.call(host, &id, 1_500, &job(&[(4, 200, 14_000)]));
    }
    it.store.set_refused(owner, false);
    let counts = shrunk + Duration::from_millis(COUNTS_AFTER_MS);
    let late: Vec<_> = it.workers.starts().into_iter().filter(|start| start.at > counts).collect();
    let over = late.iter().filter(|start| start.used > start.capacity).count();
    it.record.write(&format!(
        "{} starts later than {COUNTS_AFTER_MS} ms after the shrink, {over} of them over the capacity",
        late.len()
    ));
    if late.is_empty() {
        return Err(NotRun("nothing was started after the shrink".to_owned()));
    }
    Ok(over == 0)
}
