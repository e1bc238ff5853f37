//! Memory of a kernel per remembered submission, queued task and worker.

use endivestile_kernel::SubmissionId;

use crate::harness::{KernelHarness, WALL_S};
use crate::heap;
use crate::inventory::{self, Size};
use crate::pair::KernelPair;
use crate::result::MeasureResult;

/// Number of submissions or tasks over which the memory is averaged.
const COUNT: usize = 100_000;
/// Zones of the target deployment.
const ZONES: usize = 26;

/// Prints one row for each kind of state.
pub(crate) fn measure() -> MeasureResult {
    println!("| state | bytes |");
    println!("|---|---|");
    print_dated();
    print_minted();
    print_queued();
    print_workers();
    Ok(())
}

/// Submits dated ids to both hosts of a pair; home and witness both remember each.
fn print_dated() {
    let mut pair = KernelPair::new(50);
    let before = heap::in_use();
    for serial in 0..COUNT {
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
    let each = (heap::in_use() - before) / COUNT;
    println!("| submission under a caller's id, home and witness together ({answers}) | {each} |");
}

/// Submits ids that a single host issued, and which only it remembers.
fn print_minted() {
    let mut harness = KernelHarness::new(0, 1);
    harness.configure(&inventory::config(Size { zones: 1, hosts: 1, workers: 50 }));
    let before = heap::in_use();
    for _ in 0..COUNT {
        harness.now = harness.now.after_us(2);
        let id = harness.kernel.mint(harness.now, 1).pop();
        harness.submit(id, 1);
        harness.finish_attempt();
    }
    let each = (heap::in_use() - before) / COUNT;
    println!("| submission under a minted id, its host ({}) | {each} |", harness.answers);
}

/// Submits jobs to a host with one worker, so that nearly all tasks are queued.
fn print_queued() {
    let mut harness = KernelHarness::new(0, 1);
    harness.configure(&inventory::config(Size { zones: 1, hosts: 1, workers: 1 }));
    let before = heap::in_use();
    for _ in 0..COUNT / 200 {
        harness.submit(None, 200);
    }
    let each = (heap::in_use() - before) / COUNT;
    println!("| queued task of a job of 200 ({} run) | {each} |", harness.open_attempts());
}

/// Configures kernels without workers and with those of the target deployment.
fn print_workers() {
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
