//! Matching of waiting tasks with workers when capacity is scarce: the size index of the queue,
//! reservations, the choice of the worker, and runs that cannot end in time.

use std::collections::BTreeSet;

use endivestile_config::model::Name;
use endivestile_kernel::fleet::{
    AwaitedRun, Conditions, NoMatch, Prospect, Queue, QueueKey, Reservation, Round, RunView,
    SizeClass, TaskView, UsualRange, WorkerView, choose_worker, reserve_worker,
};
use endivestile_kernel::{Need, Time};
use proptest::prelude::*;

const NOW: Time = Time::from_micros(10_000_000);
/// Sizes of the tasks on a deployment with workers of 64 and 96 cores.
const USUAL: UsualRange = UsualRange { smallest: 26_000, largest: 48_000, smallest_memory_mb: 64 };

fn cores(cores: u32) -> Need {
    Need { cpu_milli: cores * 1_000, memory_mb: 64, accelerators: 0 }
}

fn worker(id: &str, capacity: u32, free: u32, speed: f64) -> WorkerView {
    let need = |cores: u32| Need { memory_mb: 65_536, ..self::cores(cores) };
    WorkerView {
        id: Name::from(id),
        free: need(free),
        capacity: need(capacity),
        speed,
        labels: Vec::new(),
        allowed: true,
        allowed_late: true,
        probe: false,
        runs: Vec::new(),
        reserved_at: Time::NEVER,
    }
}

/// Returns a task that runs 200 ms and has to end within a second.
fn task(need: u32) -> TaskView<'static> {
    TaskView {
        need: cores(need),
        run_us: 200_000.0,
        latest_end: NOW.after_ms(1_000),
        margin: 1.0,
        late: false,
        required_label: None,
        near_label: None,
        remote_factor: 1.5,
        full_workers: &[],
    }
}

fn conditions(scarce: bool) -> Conditions {
    Conditions { now: NOW, usual: Some(USUAL), scarce, late_behind: false }
}

fn chosen(scarce: bool, task: &TaskView<'_>, workers: &[WorkerView]) -> Result<String, NoMatch> {
    choose_worker(&conditions(scarce), task, workers).map(|worker| worker.id.to_string())
}

/// Returns a run that ends `ms` after now.
fn run_until(need: u32, ms: u64) -> RunView {
    let sent = Time::from_micros(NOW.as_micros() - 50_000);
    RunView { need: cores(need), sent, percent: 0, seen: sent, expected_end: NOW.after_ms(ms) }
}

fn push(queue: &mut Queue<u32>, rank: u64, need: u32, task: u32) -> QueueKey {
    queue.push(false, (0, Time::from_micros(rank)), (&cores(need), None), task)
}

/// Runs a round in which every task that gets a worker is started; returns the started tasks
/// and the number of tasks that were tried.
fn dispatch(
    queue: &mut Queue<u32>,
    needs: &[u32],
    mut workers: Vec<WorkerView>,
) -> (Vec<u32>, u32) {
    let mut round = Round::new(NOW, workers.clone(), Some(USUAL), queue.cpu_milli());
    let (mut started, mut tried) = (Vec::new(), 0);
    while let Some((key, number)) = round.next(queue) {
        tried += 1;
        let need = needs[number as usize];
        let view = task(need);
        match round.choose(&view).map(|worker| worker.id.clone()) {
            Ok(id) => {
                queue.remove(&key);
                started.push(number);
                let worker = workers.iter_mut().find(|worker| worker.id == id).expect("a worker");
                worker.free.cpu_milli -= need * 1_000;
                worker.runs.push(run_until(need, 200));
                round.update(worker.clone());
            }
            Err(_) => {
                if round.at_head() {
                    round.reserve(None, &view, || workers.clone());
                }
                round.miss(key, &SizeClass::of(&cores(need), None));
            }
        }
    }
    (started, tried)
}

/// Guards against giving up a search after some tasks that do not fit: 300 tasks of 48 cores
/// wait ahead of one of 26, and 30 cores are free.
#[test]
fn queue_small_task_behind_large_ones() {
    let mut queue = Queue::default();
    let mut needs = vec![48; 300];
    needs.push(26);
    for (number, need) in needs.iter().enumerate() {
        push(&mut queue, number as u64, *need, number as u32);
    }
    let (started, tried) = dispatch(&mut queue, &needs, vec![worker("a", 64, 30, 1.0)]);
    assert_eq!(started, [300]);
    assert!(tried < 12, "{tried} tasks tried");
}

/// Guards against a search whose cost grows with the queue: of thousands of tasks that fit by
/// size but find only a worker that is too slow, a bounded number is tried.
#[test]
fn queue_tasks_too_slow_bounded() {
    for length in [100_u32, 10_000] {
        let mut queue = Queue::default();
        let needs: Vec<u32> = (0..length).map(|number| 26 + number % 22).collect();
        for (number, need) in needs.iter().enumerate() {
            push(&mut queue, number as u64, *need, number as u32);
        }
        let (started, tried) = dispatch(&mut queue, &needs, vec![worker("a", 96, 96, 0.1)]);
        assert_eq!(started, Vec::<u32>::new());
        assert!(tried <= 20, "{tried} of {length} tasks tried");
    }
}

/// Guards against late jobs that take free capacity which on-time tasks in the queue do not fit,
/// and which on-time jobs would use milliseconds later. Only workers that are too slow for
/// those serve late jobs.
#[test]
fn queue_late_task_behind_others() {
    for (speed, expected) in [(1.0, Err(NoMatch::NoCapacity)), (0.2, Ok("a"))] {
        let workers = [worker("a", 64, 30, speed)];
        let mut conditions = conditions(true);
        conditions.late_behind = true;
        let late = TaskView { late: true, latest_end: NOW.after_ms(2_000), ..task(26) };
        let found = choose_worker(&conditions, &late, &workers).map(|worker| &*worker.id);
        assert_eq!(found, expected);
    }
}

#[derive(Debug, Clone)]
enum Step {
    Push { late: bool, rank: u64, need: u32, memory: u32, label: bool },
    Remove(usize),
    Requeue(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (any::<bool>(), 0..50_u64, 0..200_000_u32, 0..5_000_u32, any::<bool>()).prop_map(
            |(late, rank, need, memory, label)| Step::Push { late, rank, need, memory, label }
        ),
        1 => any::<usize>().prop_map(Step::Remove),
        1 => any::<usize>().prop_map(Step::Requeue),
    ]
}

proptest! {
    /// Guards against a size index that loses tasks: after any changes each task of the queue is
    /// in exactly one size class, and a search that admits all classes finds every task in order.
    #[test]
    fn queue_each_task_in_one_place(steps in prop::collection::vec(step(), 1..200)) {
        let mut queue: Queue<u32> = Queue::default();
        let mut queued: Vec<(QueueKey, u32, Need, Option<Name>)> = Vec::new();
        for (number, step) in (0..).zip(steps) {
            match step {
                Step::Push { late, rank, need, memory, label } => {
                    let need = Need { cpu_milli: need, memory_mb: memory, accelerators: 0 };
                    let label = label.then(|| Name::from("gpu"));
                    let rank = (0, Time::from_micros(rank));
                    let key = queue.push(late, rank, (&need, label.as_ref()), number);
                    queued.push((key, number, need, label));
                }
                Step::Remove(at) if !queued.is_empty() => {
                    let (key, ..) = queued.swap_remove(at % queued.len());
                    queue.remove(&key);
                    queue.remove(&key);
                }
                Step::Requeue(at) if !queued.is_empty() => {
                    let (key, task, need, label) = queued.swap_remove(at % queued.len());
                    queue.remove(&key);
                    let key = queue.push(true, key.rank, (&need, label.as_ref()), task);
                    queued.push((key, task, need, label));
                }
                _ => {}
            }
            prop_assert_eq!(queue.misplaced(), 0);
            prop_assert_eq!(queue.len(), queued.len());
        }
        let cpu: u64 = queued.iter().map(|(_, _, need, _)| u64::from(need.cpu_milli)).sum();
        prop_assert_eq!(queue.cpu_milli(), cpu);
        queued.sort_by_key(|(key, ..)| *key);
        let (mut position, mut found) = (None, Vec::new());
        while let Some((key, task)) = queue.next_fitting(position, |_| true) {
            found.push((key, task));
            position = Some(key);
        }
        let expected: Vec<_> = queued.iter().map(|(key, task, ..)| (*key, *task)).collect();
        prop_assert_eq!(found, expected);
    }

    /// Guards against a class whose lower bound is above a task in it, which would hide the task
    /// from a search for what fits.
    #[test]
    fn class_not_above_its_tasks(cpu_milli in any::<u32>(), memory_mb in any::<u32>()) {
        let need = Need { cpu_milli, memory_mb, accelerators: 3 };
        let smallest = SizeClass::of(&need, None).smallest();
        prop_assert!(smallest.cpu_milli <= cpu_milli);
        prop_assert!(u64::from(cpu_milli) <= u64::from(smallest.cpu_milli) * 17 / 16 + 1);
        prop_assert!(smallest.memory_mb <= memory_mb);
        prop_assert_eq!(smallest.accelerators, 3);
    }
}

/// Guards against a class index without order: more cores are never in a lower class.
#[test]
fn class_grows_with_size() {
    let classes: Vec<SizeClass> = (1..200).map(|size| SizeClass::of(&cores(size), None)).collect();
    assert!(classes.is_sorted());
    let usual: BTreeSet<&SizeClass> = classes[25..48].iter().collect();
    assert!(usual.len() <= 15, "{} classes", usual.len());
}

/// Guards against a remainder that no usual task fits: of two workers of equal speed, the one
/// whose remainder fits a task is chosen, also if more remains there.
#[test]
fn worker_usable_remainder() {
    let workers = [worker("a", 64, 64, 1.0), worker("b", 96, 96, 1.0)];
    // 64 - 40 leaves 24 cores, which no task fits; 96 - 40 leaves two of 28.
    assert_eq!(chosen(false, &task(40), &workers), Ok("b".to_owned()));
    // 64 - 34 leaves 30, and the larger worker stays free for two tasks of up to 48.
    assert_eq!(chosen(false, &task(34), &workers), Ok("a".to_owned()));
}

/// Guards against a remainder that counts as usable although no combination of tasks fills it.
#[test]
fn remainder_wasted() {
    let memory = |free: u32, memory_mb: u32| Need { memory_mb, ..cores(free) };
    assert_eq!(USUAL.wasted(&memory(24, 1_000)), 24_000);
    assert_eq!(USUAL.wasted(&memory(30, 1_000)), 0);
    assert_eq!(USUAL.wasted(&memory(50, 1_000)), 2_000);
    assert_eq!(USUAL.wasted(&memory(96, 1_000)), 0);
    assert_eq!(USUAL.wasted(&memory(96, 10)), 96_000);
}

/// Guards against fast workers that are occupied by tasks which could run elsewhere: under
/// scarcity a task gets the slowest worker on which it ends in time with a margin.
#[test]
fn worker_fast_one_kept() {
    let workers = [worker("slow", 64, 64, 0.6), worker("fast", 64, 64, 1.6)];
    assert_eq!(chosen(true, &task(30), &workers), Ok("slow".to_owned()));
    assert_eq!(chosen(false, &task(30), &workers), Ok("fast".to_owned()));
    let urgent = TaskView { latest_end: NOW.after_ms(350), ..task(30) };
    assert_eq!(chosen(true, &urgent, &workers), Ok("fast".to_owned()));
}

/// Guards against a worker that is due for a probe of its health and gets a task while a healthy
/// one has free capacity.
#[test]
fn worker_probe_last() {
    let probe = WorkerView { probe: true, ..worker("probe", 64, 64, 0.6) };
    let workers = [probe, worker("healthy", 96, 96, 1.0)];
    assert_eq!(chosen(true, &task(30), &workers), Ok("healthy".to_owned()));
    assert_eq!(chosen(true, &task(30), &workers[..1]), Ok("probe".to_owned()));
}

/// Guards against a task on a worker without its label, and against one far from its data that
/// would end too late there.
#[test]
fn worker_labels() {
    let rack = Name::from("rack-1");
    let near = WorkerView { labels: vec![rack.clone()], ..worker("near", 64, 20, 1.0) };
    let workers = [near, worker("far", 64, 64, 1.0)];
    let required = TaskView { required_label: Some(&rack), ..task(30) };
    assert_eq!(chosen(false, &required, &workers), Err(NoMatch::NoCapacity));
    let preferred = TaskView { near_label: Some(&rack), ..task(30) };
    assert_eq!(chosen(false, &preferred, &workers), Ok("far".to_owned()));
    let urgent = TaskView { latest_end: NOW.after_ms(250), ..preferred };
    assert_eq!(chosen(false, &urgent, &workers), Err(NoMatch::TooSlow));
    let full = [Name::from("far")];
    let limited = TaskView { full_workers: &full, ..task(30) };
    assert_eq!(chosen(false, &limited, &workers), Err(NoMatch::NoCapacity));
}

/// Guards against small tasks that delay a large one ahead: the worker that will first have
/// capacity for it is reserved, and tasks behind get it only if they end before.
#[test]
fn reservation_delays_no_task_ahead() {
    let soon = WorkerView { runs: vec![run_until(34, 100)], ..worker("soon", 64, 30, 1.0) };
    let later = WorkerView { runs: vec![run_until(34, 400)], ..worker("later", 64, 30, 1.0) };
    let workers = [soon, later];
    let reservation = reserve_worker(NOW, &task(48), &workers, |_| false);
    let soon = Some(Name::from("soon"));
    assert_eq!(reservation, Reservation { worker: soon, at: NOW.after_ms(100) });

    let mut round = Round::new(NOW, workers.to_vec(), Some(USUAL), 1_000_000);
    round.reserve(None, &task(48), || workers.to_vec());
    let on = |run_us: f64| {
        let found = round.choose(&TaskView { run_us, ..task(28) });
        found.map(|worker| worker.id.to_string())
    };
    // Ends after the reservation; the other worker is not reserved.
    assert_eq!(on(200_000.0), Ok("later".to_owned()));
    // With only the reserved worker, a task has to end before with a margin of a quarter.
    let mut round = Round::new(NOW, workers[..1].to_vec(), Some(USUAL), 1_000_000);
    round.reserve(None, &task(48), || workers.to_vec());
    let on = |run_us: f64| round.choose(&TaskView { run_us, ..task(28) }).map(|_| ());
    assert_eq!(on(90_000.0), Err(NoMatch::Reserved));
    assert_eq!(on(70_000.0), Ok(()));
}

/// Guards against a task ahead whose reservation moves to another worker with each dispatch, so
/// that each worker in turn is given to tasks behind.
#[test]
fn reservation_kept_until_due() {
    let workers = [WorkerView { runs: vec![run_until(34, 100)], ..worker("a", 64, 30, 1.0) }];
    let mut round = Round::new(NOW, workers.to_vec(), None, 0);
    let former = round.reserve(None, &task(48), || workers.to_vec());
    let sooner = [WorkerView { runs: vec![run_until(34, 20)], ..worker("b", 64, 30, 1.0) }];
    let mut round = Round::new(NOW, sooner.to_vec(), None, 0);
    let kept = round.reserve(Some(&former), &task(48), || sooner.to_vec());
    assert_eq!(former.worker, Some(Name::from("a")));
    assert_eq!(kept, former);
    let mut round = Round::new(NOW.after_ms(101), sooner.to_vec(), None, 0);
    let renewed = round.reserve(Some(&former), &task(48), || sooner.to_vec());
    assert_eq!(renewed.worker, Some(Name::from("b")));
}

/// Guards against two tasks ahead that wait for the same worker.
#[test]
fn reservation_of_one_task_each() {
    let at =
        |id: &str, ms: u64| WorkerView { runs: vec![run_until(64, ms)], ..worker(id, 64, 0, 1.0) };
    let workers = [at("a", 50), at("b", 80), at("c", 500)];
    let mut round = Round::new(NOW, Vec::new(), None, 0);
    let mut reserve = || round.reserve(None, &task(48), || workers.to_vec()).worker;
    for id in ["a", "b", "c"] {
        assert_eq!(reserve(), Some(Name::from(id)));
    }
    assert_eq!(reserve(), None);
}

/// Guards against a search of all workers with each dispatch for a task that can end in time on
/// none of them.
#[test]
fn reservation_none_not_searched_again() {
    let workers = [WorkerView { runs: vec![run_until(64, 990)], ..worker("a", 64, 0, 1.0) }];
    let mut round = Round::new(NOW, Vec::new(), None, 0);
    let none = round.reserve(None, &task(48), || workers.to_vec());
    assert_eq!(none.worker, None);
    let mut round = Round::new(NOW.after_ms(10), Vec::new(), None, 0);
    let kept = round.reserve(Some(&none), &task(48), || panic!("searched again"));
    assert_eq!(kept, none);
}

/// Guards against a reservation of a worker that hangs: a run that is overdue is expected to take
/// longer the older it is, and reported progress counts more than the estimate.
#[test]
fn reservation_overdue_run() {
    let run = RunView { expected_end: NOW, ..run_until(34, 0) };
    assert_eq!(run.expected_end(NOW.after_ms(350)), NOW.after_ms(450));
    let reported = RunView { percent: 50, seen: NOW, ..run };
    assert_eq!(reported.expected_end(NOW), NOW.after_ms(50));
}

/// Returns a run that was sent 400 ms ago and reported now.
fn awaited(percent: u8, deadline_ms: u64, new_run_ms: u64) -> Prospect {
    let run = AwaitedRun {
        sent: Time::from_micros(NOW.as_micros() - 400_000),
        seen: NOW,
        percent,
        deadline: NOW.after_ms(deadline_ms),
        new_run_us: new_run_ms * 1_000,
    };
    run.prospect(NOW)
}

/// Guards against runs that occupy capacity until their caller's deadline although their
/// reported progress shows that they cannot end, and against stopping those that may.
#[test]
fn run_cannot_end_in_time() {
    // 19% in 400 ms: 1.6 s remain at least.
    assert_eq!(awaited(19, 900, 1_000), Prospect::Hopeless);
    assert_eq!(awaited(19, 1_400, 1_300), Prospect::InTime);
    assert_eq!(awaited(19, 900, 200), Prospect::Restart);
    assert_eq!(awaited(99, 1, 200), Prospect::InTime);
    // Without any progress it has done less than a hundredth.
    assert_eq!(awaited(0, 2_000, 3_000), Prospect::Hopeless);
}
