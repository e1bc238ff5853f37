//! Bytes of what a kernel remembers and holds.

use endivestile_kernel::SubmissionId;

use crate::harness::{KernelHarness, WALL_S};
use crate::heap;
use crate::inventory::{self, Size};
use crate::pair::KernelPair;
use crate::result::MeasureResult;

/// Submissions remembered.
const IDS: usize = 100_000;
/// Zones of the target.
const ZONES: usize = 26;

/// Prints one line per kind of state.
pub(crate) fn measure() -> MeasureResult {
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
    let mut pair = KernelPair::new(50);
    let before = heap::in_use();
    for serial in 0..IDS {
        let now = pair.harnesses[0].now.after_us(2);
        pair.advance_to(now);
        let id = SubmissionId::parse(&format!("{WALL_S}:order-{serial:012}")).ok();
        pair.harnesses[serial % 2].submit(id, 1);
        pair.deliver_all();
        while pair.harnesses[0].finish_attempt() || pair.harnesses[1].finish_attempt() {
            pair.deliver_all();
        }
    }
    let answers: u64 = pair.harnesses.iter().map(|harness| harness.answers).sum();
    let each = (heap::in_use() - before) / IDS;
    println!("| submission under a caller's id, home and witness together ({answers}) | {each} |");
}

fn minted() {
    let mut harness = KernelHarness::new(0, 1);
    harness.configure(&inventory::config(Size { zones: 1, hosts: 1, workers: 50 }));
    let before = heap::in_use();
    for _ in 0..IDS {
        harness.now = harness.now.after_us(2);
        let id = harness.kernel.mint(harness.now, 1).pop();
        harness.submit(id, 1);
        harness.finish_attempt();
    }
    let each = (heap::in_use() - before) / IDS;
    println!("| submission under a minted id, its host ({}) | {each} |", harness.answers);
}

fn queued() {
    let mut harness = KernelHarness::new(0, 1);
    harness.configure(&inventory::config(Size { zones: 1, hosts: 1, workers: 1 }));
    let before = heap::in_use();
    for _ in 0..IDS / 200 {
        harness.submit(None, 200);
    }
    let each = (heap::in_use() - before) / IDS;
    println!("| queued task of a job of 200 ({} run) | {each} |", harness.open_attempts());
}

fn backends() {
    for (zones, hosts) in [(1, 1), (ZONES, 208)] {
        let bytes = |workers| {
            let before = heap::in_use();
            let mut harness = KernelHarness::new(0, zones);
            harness.configure(&inventory::config(Size { zones, hosts, workers }));
            (1..hosts).for_each(|at| harness.register(at, zones, false));
            heap::in_use() - before
        };
        let (none, all) = (bytes(0), bytes(4_400));
        println!("| worker of the inventory, {hosts} hosts | {} |", (all - none) / 4_400);
        println!("| kernel with no worker, {hosts} hosts | {none} |");
    }
}
