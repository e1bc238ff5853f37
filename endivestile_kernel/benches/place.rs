//! Cost of placement decisions, and memory use of a placer.

use std::alloc::{GlobalAlloc, Layout, System};
use std::collections::BTreeSet;
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use criterion::{BenchmarkId, Criterion};
use endivestile_config::model::{Config, Name, Server, Service, Team, Worker};
use endivestile_kernel::{
    AttemptEnd, AttemptId, HostState, HostView, Need, Peer, PlaceEffect, PlaceRequest, Placer,
    PlacerSetup, Target, Task, TaskKey, Time, View,
};

const SLOTS: u32 = 8;
const TEAMS: usize = 170;

/// Allocator that counts the bytes in use.
struct CountingAllocator;

static ALLOCATED: AtomicUsize = AtomicUsize::new(0);

// SAFETY: all calls are forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.fetch_add(layout.size(), Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        ALLOCATED.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn name(prefix: &str, at: usize) -> Name {
    Name::from(format!("{prefix}{at:04}"))
}

fn address() -> Name {
    Name::from("127.0.0.1:2")
}

fn config(count: usize, workers: bool) -> Config {
    let mut config = Config::default();
    let mut names = Vec::new();
    for at in 0..count {
        let (zone, rack) = (Name::from("z"), name("r", at / 8));
        if workers {
            let accelerators = if at % 3 == 0 { 4 } else { 0 };
            let (cpu_milli, memory_mb) = (32_000, 64_000);
            let worker =
                Worker { zone, rack, address: address(), cpu_milli, memory_mb, accelerators };
            config.workers.insert(name("w", at), worker);
        } else {
            let server = Server { zone, rack, address: address(), slots: SLOTS, connections: 64 };
            config.servers.insert(name("b", at), server);
            names.push(name("b", at));
        }
    }
    config.services.insert(Name::from("s"), Service { servers: names, path: Name::from("/") });
    for at in 0..TEAMS {
        config.teams.insert(name("m", at), Team { limit: 10_000_000, weight: 1 });
    }
    config.rules.queue_limit = 10_000_000;
    config
}

fn view() -> View {
    let me = Peer::new("h", 1);
    let zone = Name::from("z");
    let (peer, state) = (me.clone(), HostState::Live);
    let host = HostView { peer, zone: zone.clone(), address: address(), weight: 1, state };
    View {
        me,
        zone,
        hosts: [(Name::from("h"), host)].into(),
        ended: BTreeSet::new(),
        store_available: true,
        has_inventory: true,
    }
}

/// A placer under load, and its running calls.
struct LoadedPlacer {
    placer: Placer,
    me: Peer,
    teams: Vec<Name>,
    running: std::collections::VecDeque<AttemptId>,
    task: Arc<Task>,
    now: Time,
    run: u64,
    out: Vec<PlaceEffect>,
}

impl LoadedPlacer {
    fn new(count: usize, workers: bool) -> Self {
        let me = Peer::new("h", 1);
        let mut placer = Placer::new(PlacerSetup { me: me.clone(), seed: 1 });
        let mut out = Vec::new();
        placer.configure(Time::ZERO, &config(count, workers), &view(), &mut out);
        let target = if workers {
            Target::Need(Need { cpu_milli: 4_000, memory_mb: 1_000, accelerators: 0 })
        } else {
            Target::Service(Name::from("s"))
        };
        let task = Arc::new(Task { target, work: Bytes::new(), declared_ms: 100 });
        let teams = (0..TEAMS).map(|at| name("m", at)).collect();
        let running = std::collections::VecDeque::new();
        Self { placer, me, teams, running, task, now: Time::ZERO, run: 0, out }
    }

    fn submit(&mut self) {
        self.run += 1;
        let order = PlaceRequest {
            key: TaskKey { run: self.run, index: 0, attempt: 0 },
            team: self.teams[self.run as usize % TEAMS].clone(),
            deadline: self.now.after_ms(100_000_000),
            arrived: self.now,
            remaining: 1,
            task: self.task.clone(),
        };
        self.placer.handle_order(self.now, &self.me, order, &mut self.out);
        self.collect_starts();
    }

    fn finish_oldest(&mut self) {
        let Some(attempt) = self.running.pop_front() else { return };
        self.placer.handle_end(
            self.now,
            attempt,
            AttemptEnd::Answered(Bytes::new()),
            &mut self.out,
        );
        self.collect_starts();
    }

    fn collect_starts(&mut self) {
        for effect in self.out.drain(..) {
            if let PlaceEffect::Start { attempt, .. } = black_box(effect) {
                self.running.push_back(attempt);
            }
        }
    }

    /// Fills all slots, queues `queued` more tasks, then runs enough tasks to learn run
    /// times.
    fn fill(&mut self, queued: usize) {
        loop {
            let before = self.running.len();
            self.submit();
            if self.running.len() == before {
                break;
            }
        }
        for _ in 0..queued {
            self.submit();
        }
        for _ in 0..self.running.len() * 4 {
            self.step();
        }
    }

    /// Queues a new task and ends the oldest running one, so that the next one starts.
    fn step(&mut self) {
        self.now = self.now.after_us(10 + self.run % 7);
        self.submit();
        self.finish_oldest();
    }
}

fn decisions(c: &mut Criterion) {
    for (kind, workers) in [("servers", false), ("workers", true)] {
        let mut group = c.benchmark_group(kind);
        group.sample_size(30).measurement_time(Duration::from_millis(800));
        group.warm_up_time(Duration::from_millis(200));
        for count in [50, 500, 4_400] {
            for queued in [10, 100, 1_000] {
                let mut load = LoadedPlacer::new(count, workers);
                load.fill(queued);
                let id = BenchmarkId::new(count.to_string(), queued);
                group.bench_function(id, |b| b.iter(|| load.step()));
            }
        }
        group.finish();
    }
}

fn cancel_waves(c: &mut Criterion) {
    let mut group = c.benchmark_group("cancel");
    group.sample_size(10).measurement_time(Duration::from_millis(800));
    for wave in [1_000, 10_000, 100_000] {
        group.bench_function(BenchmarkId::from_parameter(wave), |b| {
            b.iter_custom(|iterations| {
                let mut spent = Duration::ZERO;
                for _ in 0..iterations {
                    spent += cancel_wave(wave);
                }
                spent / wave as u32
            });
        });
    }
    group.finish();
}

fn cancel_wave(wave: usize) -> Duration {
    let mut load = LoadedPlacer::new(50, false);
    load.fill(wave);
    let keys: Vec<TaskKey> =
        (0..=load.run).map(|run| TaskKey { run, index: 0, attempt: 0 }).collect();
    let start = Instant::now();
    for key in keys {
        load.placer.handle_drop(load.now, &load.me, key, &mut load.out);
    }
    start.elapsed()
}

/// Changes of the view at the target size: 26 zones with 8 hosts and 169 workers
/// each.
fn view_changes(c: &mut Criterion) {
    let mut config = config(4_400, true);
    for (at, worker) in config.workers.values_mut().enumerate() {
        worker.zone = name("z", at % 26);
    }
    let hosts = (0..208).map(|at| {
        let (peer, zone) = (Peer::new(name("h", at), 1), name("z", at % 26));
        let state = HostState::Live;
        (name("h", at), HostView { peer, zone, address: address(), weight: 1, state })
    });
    let me = Peer::new(name("h", 0), 1);
    let hosts = hosts.collect();
    let zone = name("z", 0);
    let view = View {
        me: me.clone(),
        zone,
        hosts,
        ended: BTreeSet::new(),
        store_available: true,
        has_inventory: true,
    };
    let mut placer = Placer::new(PlacerSetup { me, seed: 1 });
    let mut out = Vec::new();
    placer.configure(Time::ZERO, &config, &view, &mut out);
    let mut group = c.benchmark_group("view");
    group.sample_size(20).measurement_time(Duration::from_millis(800));
    group.bench_function("changed", |b| b.iter(|| placer.handle_view(Time::ZERO, &view, &mut out)));
    group.bench_function("configure", |b| {
        b.iter(|| placer.configure(Time::ZERO, &config, &view, &mut out));
    });
    group.finish();
}

fn memory() {
    let before = ALLOCATED.load(Ordering::Relaxed);
    let mut load = LoadedPlacer::new(4_400, false);
    let base = ALLOCATED.load(Ordering::Relaxed);
    load.fill(0);
    let filled = ALLOCATED.load(Ordering::Relaxed);
    for _ in 0..100_000 {
        load.submit();
    }
    let queued = ALLOCATED.load(Ordering::Relaxed);
    println!("bytes per backend, configuration included: {}", (base - before) / 4_400);
    println!("bytes per running task: {}", (filled - base) / (4_400 * SLOTS as usize));
    println!("bytes per queued task: {}", (queued - filled) / 100_000);
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    decisions(&mut criterion);
    cancel_waves(&mut criterion);
    view_changes(&mut criterion);
    memory();
}
