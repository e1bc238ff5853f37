//! The capacity that an owner assumes for a worker whose capacity changes.

use endivestile_kernel::fleet::{CapacitySource, CapacityUse, WorkerCapacity};
use endivestile_kernel::{Need, Time};

/// A larger bound than any registration in these tests.
const ANY: Need = cores(1_000);

const fn cores(count: u32) -> Need {
    Need { cpu_milli: count * 1_000, memory_mb: count * 1_000, accelerators: 0 }
}

fn ms(at: u64) -> Time {
    Time::ZERO.after_ms(at)
}

/// Returns a run that the worker has confirmed.
fn run(need: Need, sent: u64, percent: u8) -> CapacityUse {
    CapacityUse { need: Some(need), sent: ms(sent), percent: Some(percent), stopping: false }
}

/// Guards against starts beyond a shrunk capacity while the runs from before still exceed it.
#[test]
fn shrink_full_load() {
    let mut worker = WorkerCapacity::new(ms(0), 1, cores(96));
    let mut runs = vec![run(cores(32), 0, 50), run(cores(32), 0, 50), run(cores(32), 0, 50)];
    assert!(worker.register(ms(100), 1, cores(64)));
    assert_eq!(worker.excess_cpu_milli(runs.clone()), 32_000);
    assert_eq!(worker.free(runs.clone()), cores(0));
    runs.pop();
    assert_eq!(worker.free(runs.clone()), cores(0));
    runs.pop();
    assert_eq!(worker.free(runs), cores(32));
}

/// Guards against a start that fits the free memory of a worker whose processors are exceeded.
#[test]
fn shrink_one_resource() {
    let mut worker = WorkerCapacity::new(ms(0), 1, cores(96));
    worker.register(ms(0), 1, Need { cpu_milli: 10_000, ..cores(96) });
    assert_eq!(worker.free([run(cores(32), 0, 50)]), cores(0));
}

/// Guards against the use of capacity that was taken back within a heartbeat.
#[test]
fn shrink_growth_last_counts() {
    let mut worker = WorkerCapacity::new(ms(0), 1, cores(64));
    worker.register(ms(10), 1, cores(32));
    worker.register(ms(20), 1, cores(96));
    assert_eq!(worker.free([]), cores(96));
    worker.register(ms(30), 1, cores(48));
    assert_eq!(worker.free([]), cores(48));
    assert_eq!(worker.age_ms(ms(90)), 60);
    assert!(!worker.register(ms(40), 1, cores(48)));
}

/// Guards against a start beyond the capacity of a restarted worker before its registration is
/// seen, and against a bound that stays once it is.
#[test]
fn restart_smaller_capacity() {
    let mut worker = WorkerCapacity::new(ms(0), 100, cores(96));
    assert!(worker.observe(ms(50), 200, cores(64)));
    assert_eq!((worker.assumed(), worker.source()), (cores(64), CapacitySource::Bound));
    // The registration of the former incarnation is read once more.
    assert!(!worker.register(ms(60), 100, cores(96)));
    assert_eq!(worker.assumed(), cores(64));
    assert!(worker.register(ms(70), 200, cores(32)));
    assert_eq!((worker.assumed(), worker.source()), (cores(32), CapacitySource::Registration));
    assert!(worker.register(ms(80), 200, cores(96)));
    assert_eq!(worker.assumed(), cores(96));
}

/// Guards against a bound above the former capacity when all other workers are larger.
#[test]
fn restart_smallest_worker() {
    let mut worker = WorkerCapacity::new(ms(0), 100, cores(32));
    assert!(!worker.observe(ms(50), 200, ANY));
    assert_eq!((worker.assumed(), worker.source()), (cores(32), CapacitySource::Bound));
}

/// Guards against runs of the former incarnation that still use the worker when the store shows
/// a larger new one first, and against a wait after the new one has replied.
#[test]
fn restart_registered_first() {
    let mut worker = WorkerCapacity::new(ms(0), 100, cores(32));
    assert!(!worker.register(ms(50), 200, cores(96)));
    assert_eq!(worker.assumed(), cores(32));
    assert!(worker.observe(ms(60), 200, ANY));
    assert_eq!((worker.assumed(), worker.source()), (cores(96), CapacitySource::Registration));
}

/// Guards against a bound that stays when the clock of a restarted worker is behind.
#[test]
fn restart_clock_behind() {
    let mut worker = WorkerCapacity::new(ms(0), 200, cores(96));
    worker.register(ms(50), 100, cores(64));
    assert_eq!(worker.assumed(), cores(64));
    worker.observe(ms(60), 100, ANY);
    assert_eq!((worker.assumed(), worker.source()), (cores(64), CapacitySource::Registration));
}

/// Guards against starts beside a former owner's run whose need is unknown, also after growth.
#[test]
fn new_owner_former_run() {
    let mut worker = WorkerCapacity::new(ms(0), 1, cores(32));
    let former = CapacityUse { need: None, sent: ms(0), percent: Some(50), stopping: true };
    assert_eq!(worker.free([former]), cores(0));
    worker.register(ms(50), 1, cores(96));
    assert_eq!(worker.free([former]), cores(0));
    assert_eq!(worker.free([]), cores(96));
}

/// Guards against capacity that counts as free while a start or a stop is under way.
#[test]
fn start_stop_under_way() {
    let worker = WorkerCapacity::new(ms(0), 1, cores(96));
    let sent = CapacityUse { percent: None, ..run(cores(32), 0, 0) };
    let stopping = CapacityUse { stopping: true, ..run(cores(48), 0, 0) };
    assert_eq!(worker.free([sent, stopping]), cores(16));
}

/// Guards against stopping runs for a shrink that is taken back within a heartbeat, and against
/// stopping more runs than needed or ones that have done much of their work.
#[test]
fn excess_stop_youngest() {
    let mut worker = WorkerCapacity::new(ms(0), 1, cores(96));
    let mut runs = [run(cores(32), 0, 2), run(cores(32), 10, 3), run(cores(32), 20, 10)];
    worker.register(ms(100), 1, cores(64));
    assert_eq!(worker.run_to_stop(ms(100), &runs), None);
    assert_eq!(worker.run_to_stop(ms(1_599), &runs), None);
    assert_eq!(worker.run_to_stop(ms(1_600), &runs), Some(1));
    runs[1].stopping = true;
    assert_eq!(worker.run_to_stop(ms(1_610), &runs), None);
    assert_eq!(worker.free(runs), cores(0));
    runs[0].percent = Some(10);
    worker.register(ms(1_700), 1, cores(32));
    assert_eq!(worker.run_to_stop(ms(5_000), &runs), None);
    assert_eq!(worker.run_to_stop(ms(9_000), &runs), None);
}

/// Guards against a stop that counts the excess from a shrink that was taken back.
#[test]
fn excess_flapping() {
    let mut worker = WorkerCapacity::new(ms(0), 1, cores(96));
    let runs = [run(cores(48), 0, 1), run(cores(48), 0, 1)];
    for round in 0..20 {
        let at = round * 1_500;
        worker.register(ms(at), 1, cores(48));
        for tick in (at..at + 1_450).step_by(50) {
            assert_eq!(worker.run_to_stop(ms(tick), &runs), None);
        }
        worker.register(ms(at + 1_450), 1, cores(96));
        assert_eq!(worker.run_to_stop(ms(at + 1_450), &runs), None);
    }
}
