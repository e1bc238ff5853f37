//! Bytes of what a kernel remembers and holds.

use endivestile_kernel::SubmissionId;

use crate::heap;
use crate::inventory::{self, Size};
use crate::outcome::Outcome;
use crate::pair::Pair;
use crate::rig::{Rig, WALL_S};

/// Submissions remembered.
const IDS: usize = 100_000;
/// Zones of the target.
const ZONES: usize = 26;

/// Prints one line per kind of state.
pub(crate) fn measure() -> Outcome {
    println!("| state | bytes |");
    println!("|---|---|");
    remembered();
    minted();
    queued();
    backends();
    Ok(())
}

/// Submits dated ids at either host of a pair; each is remembered by its home and its witness.
fn remembered() {
    let mut pair = Pair::new(50);
    let before = heap::in_use();
    for serial in 0..IDS {
        let now = pair.rigs[0].now.after_us(2);
        pair.tick(now);
        let id = SubmissionId::parse(&format!("{WALL_S}:order-{serial:012}")).ok();
        pair.rigs[serial % 2].submit(id, 1);
        pair.settle();
        while pair.rigs[0].end() || pair.rigs[1].end() {
            pair.settle();
        }
    }
    let answers: u64 = pair.rigs.iter().map(|rig| rig.answers).sum();
    let each = (heap::in_use() - before) / IDS;
    println!("| submission under a caller's id, home and witness together ({answers}) | {each} |");
}

fn minted() {
    let mut rig = Rig::new(0, 1);
    rig.configure(&inventory::config(Size { zones: 1, hosts: 1, workers: 50 }));
    let before = heap::in_use();
    for _ in 0..IDS {
        rig.now = rig.now.after_us(2);
        let id = rig.kernel.mint(rig.now, 1).pop();
        rig.submit(id, 1);
        rig.end();
    }
    let each = (heap::in_use() - before) / IDS;
    println!("| submission under a minted id, its host ({}) | {each} |", rig.answers);
}

fn queued() {
    let mut rig = Rig::new(0, 1);
    rig.configure(&inventory::config(Size { zones: 1, hosts: 1, workers: 1 }));
    let before = heap::in_use();
    for _ in 0..IDS / 200 {
        rig.submit(None, 200);
    }
    let each = (heap::in_use() - before) / IDS;
    println!("| queued task of a job of 200 ({} run) | {each} |", rig.open());
}

fn backends() {
    for (zones, hosts) in [(1, 1), (ZONES, 208)] {
        let bytes = |workers| {
            let before = heap::in_use();
            let mut rig = Rig::new(0, zones);
            rig.configure(&inventory::config(Size { zones, hosts, workers }));
            (1..hosts).for_each(|at| rig.register(at, zones, false));
            heap::in_use() - before
        };
        let (none, all) = (bytes(0), bytes(4_400));
        println!("| worker of the inventory, {hosts} hosts | {} |", (all - none) / 4_400);
        println!("| kernel with no worker, {hosts} hosts | {none} |");
    }
}
