//! Cost of one pass over a queue of tasks of unequal size, by the length of the queue.
//!
//! `cargo bench -p endivestile_kernel --bench matching`

use std::hint::black_box;

use criterion::{BatchSize, BenchmarkId, Criterion};
use endivestile_config::model::Name;
use endivestile_kernel::fleet::{Queue, Round, RunView, SizeClass, TaskView, WorkerView};
use endivestile_kernel::{Need, Time};

/// Lengths of the queue.
const LENGTHS: [u32; 4] = [100, 1_000, 10_000, 100_000];
/// Workers of one owner.
const WORKERS: u32 = 120;
const NOW: Time = Time::from_micros(10_000_000);

/// Returns the need of a task of 26 to 48 cores.
fn need(number: u32) -> Need {
    Need { cpu_milli: 26_000 + number * 7_919 % 22_000, memory_mb: 64, accelerators: 0 }
}

fn queue(length: u32) -> Queue<u32> {
    let mut queue = Queue::default();
    for number in 0..length {
        let rank = (0, Time::from_micros(u64::from(number)));
        queue.push(false, rank, (&need(number), None), number);
    }
    queue
}

/// Returns workers of 64 cores of which one has 30 cores free, the others none.
fn workers() -> Vec<WorkerView> {
    let need = |cores: u32| Need { cpu_milli: cores * 1_000, memory_mb: 65_536, accelerators: 0 };
    let worker = |index: u32| {
        let busy = if index == 0 { 34 } else { 64 };
        let expected_end = NOW.after_ms(u64::from(index) + 20);
        let run = RunView { need: need(busy), sent: NOW, percent: 0, seen: NOW, expected_end };
        WorkerView {
            id: Name::from(format!("w{index}")),
            free: need(64 - busy),
            capacity: need(64),
            speed: 1.0,
            labels: Vec::new(),
            allowed: true,
            allowed_late: true,
            probe: false,
            runs: vec![run],
            reserved_at: Time::NEVER,
        }
    };
    (0..WORKERS).map(worker).collect()
}

fn task(need: Need, run_us: f64) -> TaskView<'static> {
    TaskView {
        need,
        run_us,
        latest_end: NOW.after_ms(1_000),
        margin: 1.0,
        late: false,
        required_label: None,
        near_label: None,
        remote_factor: 1.5,
        full_workers: &[],
    }
}

/// Tries tasks until the pass ends; returns how many got a worker.
fn pass(queue: &mut Queue<u32>, workers: &[WorkerView], run_us: f64) -> u32 {
    let free = workers.iter().filter(|worker| worker.free.cpu_milli >= 26_000).cloned().collect();
    let mut round = Round::new(NOW, free, None, queue.cpu_milli());
    let mut started = 0;
    while let Some((key, number)) = round.next(queue) {
        let need = need(number);
        let view = task(need, run_us);
        if let Ok(worker) = round.choose(&view).cloned() {
            queue.remove(&key);
            round.update(WorkerView { free: Need { cpu_milli: 0, ..worker.free }, ..worker });
            started += 1;
            continue;
        }
        if round.at_head() {
            round.reserve(None, &view, || workers.to_vec());
        }
        round.miss(key, &SizeClass::of(&need, None));
    }
    started
}

fn bench_pass(criterion: &mut Criterion) {
    let workers = workers();
    // A task fits and is started, or all that fit by size would run for too long.
    for (name, run_us) in [("start", 200_000.0), ("too_slow", 5_000_000.0)] {
        let mut group = criterion.benchmark_group(name);
        for length in LENGTHS {
            let mut queue = queue(length);
            group.bench_function(BenchmarkId::from_parameter(length), |bencher| {
                bencher.iter_batched(
                    || (),
                    |()| {
                        let started = pass(&mut queue, &workers, run_us);
                        // Keeps the length.
                        for number in 0..started {
                            let rank = (0, Time::from_micros(u64::from(length)));
                            queue.push(false, rank, (&need(number), None), number);
                        }
                        black_box(started)
                    },
                    BatchSize::SmallInput,
                );
            });
        }
        group.finish();
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_pass(&mut criterion);
    criterion.final_summary();
}
