//! Backends that fail, leave, change their speed or return.

mod place_fake;

use endivestile_kernel::{Cause, Condition, Outcome, Time};
use place_fake::{Mode, Simulation, new_order, servers};
use test_case::test_case;

/// Submits one task every `gap_ms` for `span_ms`; returns the number after the last
/// one.
fn stream(sim: &mut Simulation, first: u64, gap_ms: u64, span_ms: u64) -> u64 {
    let mut run = first;
    let end = sim.now.after_ms(span_ms);
    while sim.now < end {
        sim.submit_many(run, 1, "a", 100_000);
        run += 1;
        sim.run_ms(gap_ms);
    }
    run
}

fn rejected(sim: &Simulation) -> usize {
    let failed =
        |outcome: &Outcome| matches!(outcome, Outcome::Rejected { .. } | Outcome::Lost { .. });
    sim.ended.iter().filter(|(_, _, outcome)| failed(outcome)).count()
}

fn condition(sim: &Simulation, name: &str) -> Option<Condition> {
    let all = sim.placer.status(sim.now);
    all.iter().find(|status| status.name.as_ref() == name).map(|status| status.health)
}

// A backend server fails every task after 1 ms, so that it always has free slots
// and looks the fastest. Whole jobs would fail on it.
#[test_case(Mode::Fails)]
#[test_case(Mode::LosesAnswer)]
fn end_fails_immediately(mode: Mode) {
    let mut sim = Simulation::new(servers(10, 4));
    let next = stream(&mut sim, 0, 4, 2_000);
    sim.set_mode("b0003", mode);
    let last = stream(&mut sim, next, 4, 30_000);
    let failed = rejected(&sim);
    assert!(failed <= 20, "{failed} of {last} failed");
    assert!(matches!(condition(&sim, "b0003"), Some(Condition::Out | Condition::Trial)));
}

// A backend server fails tasks from the first one on, before any run time is
// known.
#[test]
fn end_fails_from_first_task() {
    let mut sim = Simulation::new(servers(4, 8));
    sim.set_mode("b0000", Mode::Fails);
    sim.submit_many(0, 200, "a", 100_000);
    sim.run_ms(20_000);
    let failed = rejected(&sim);
    assert!(failed <= 12, "{failed} of 200 failed");
}

// A backend server fails its tasks only after they have run. Each one started
// before its ejection is an error for a caller.
#[test]
fn end_fails_slowly() {
    let mut sim = Simulation::new(servers(4, 8));
    sim.set_mode("b0000", Mode::FailsSlowly);
    sim.submit_many(0, 200, "a", 100_000);
    sim.run_ms(250);
    let failed = rejected(&sim);
    assert!(failed <= 8, "{failed} failed");
}

// A failed backend server is repaired. It must get its share of the work again.
#[test]
fn end_repaired_backend_returns() {
    let mut sim = Simulation::new(servers(2, 2));
    sim.set_mode("b0000", Mode::Fails);
    let next = stream(&mut sim, 0, 40, 10_000);
    sim.set_mode("b0000", Mode::Runs(1.0));
    let next = stream(&mut sim, next, 40, 20_000);
    assert_eq!(condition(&sim, "b0000"), Some(Condition::Up));
    let before = sim.starts_on("b0000");
    stream(&mut sim, next, 40, 4_000);
    let share = sim.starts_on("b0000") - before;
    assert!((40..=60).contains(&share), "{share} of 100");
}

// Tasks fail wherever they run. Ejecting one backend server after another for that
// would stop all work.
#[test]
fn end_poisoned_tasks() {
    let mut sim = Simulation::new(servers(6, 4));
    for at in 0..6 {
        sim.set_mode(&format!("b{at:04}"), Mode::Fails);
    }
    sim.submit_many(0, 300, "a", 100_000);
    sim.run_ms(2_000);
    let out = sim.notes.iter().filter(|(_, note)| note.event == "back_end_out").count();
    assert!(out <= 3, "{out} ejections of 6 backends");
}

// A backend server refuses connections. No task starts there, so each runs
// elsewhere without an error for its caller.
#[test]
fn end_unreachable_runs_elsewhere() {
    let mut sim = Simulation::new(servers(4, 4));
    sim.set_mode("b0000", Mode::Refuses);
    let sent = stream(&mut sim, 0, 10, 5_000);
    sim.run_ms(1_000);
    assert_eq!(sim.count_done() as u64, sent);
    let tried = sim.starts_on("b0000");
    assert!(tried <= 12, "{tried} tries in 5 s");
}

// All backends refuse connections. The tasks are returned as not run at once
// instead of being retried to no effect.
#[test]
fn end_all_unreachable() {
    let mut sim = Simulation::new(servers(3, 2));
    for at in 0..3 {
        sim.set_mode(&format!("b{at:04}"), Mode::Refuses);
    }
    sim.submit_many(0, 30, "a", 100_000);
    sim.run_ms(50);
    assert_eq!(sim.count_outcomes(&Outcome::NotRun(Cause::NoBackend)), 30);
}

// Another placer uses the same slots for a moment. The backend server reports that
// it is full; the task has not started and must not be lost.
#[test]
fn end_busy_is_requeued() {
    let mut sim = Simulation::new(servers(2, 4));
    sim.set_mode("b0000", Mode::Busy);
    let sent = stream(&mut sim, 0, 50, 5_000);
    sim.run_ms(1_000);
    assert_eq!(sim.count_done() as u64, sent);
    let refused = sim.starts_on("b0000");
    assert!(refused <= 60, "{refused} refusals for {sent} tasks");
    sim.set_mode("b0000", Mode::Runs(1.0));
    let before = sim.starts_on("b0000");
    sim.run_ms(5_000);
    sim.submit_many(9_000, 8, "a", 100_000);
    assert_eq!(sim.starts_on("b0000") - before, 4);
}

// The platform lists a backend server as leaving, or an operator stops it. Work
// started there would be cut off when it goes down.
#[test]
fn leaving_gets_no_new_work() {
    let mut sim = Simulation::new(servers(2, 2));
    let next = stream(&mut sim, 0, 50, 1_000);
    sim.set_leaving("b0001", true);
    let before = sim.starts_on("b0001");
    let next = stream(&mut sim, next, 50, 5_000);
    assert_eq!(sim.starts_on("b0001"), before);
    assert_eq!(condition(&sim, "b0001"), Some(Condition::Leaving));
    sim.set_leaving("b0001", false);
    stream(&mut sim, next, 50, 2_000);
    assert!(sim.starts_on("b0001") > before);
}

// The backend server reports that it is leaving before the platform's list does.
#[test]
fn leaving_reported_by_backend() {
    let mut sim = Simulation::new(servers(2, 2));
    sim.set_mode("b0001", Mode::Leaving);
    let sent = stream(&mut sim, 0, 60, 10_000);
    sim.run_ms(1_000);
    assert_eq!(sim.count_done() as u64, sent);
    let asked = sim.starts_on("b0001");
    assert!(asked <= 10, "{asked} tasks offered to the leaving one");
}

#[test]
fn leaving_last_backend_returns_tasks() {
    let mut sim = Simulation::new(servers(1, 1));
    sim.submit_many(0, 3, "a", 100_000);
    sim.set_leaving("b0000", true);
    assert_eq!(sim.count_outcomes(&Outcome::NotRun(Cause::NoBackend)), 2);
    sim.run_ms(1_000);
    assert_eq!(sim.count_done(), 1);
}

// A backend accepted a task and its answer was lost: the task may have run.
// Starting it again could charge a payment twice.
#[test]
fn end_lost_never_starts_again() {
    let mut sim = Simulation::new(servers(2, 2));
    sim.set_mode("b0000", Mode::LosesAnswer);
    sim.set_mode("b0001", Mode::LosesAnswer);
    sim.submit_many(0, 2, "a", 100_000);
    sim.run_ms(5_000);
    for run in 0..2 {
        assert!(matches!(sim.outcome(run), Some(Outcome::Lost { .. })));
        assert_eq!(sim.starts.iter().filter(|start| start.key.run == run).count(), 1);
    }
}

// A rack's switch fails. Without detection of racks, each of its backend servers
// would lose a full set of tasks before its own failures show.
#[test]
fn end_rack_fails_as_a_whole() {
    let mut sim = Simulation::new(servers(16, 8));
    let next = stream(&mut sim, 0, 2, 2_000);
    let failed = rejected(&sim);
    for at in 4..8 {
        sim.set_mode(&format!("b{at:04}"), Mode::LosesAnswer);
    }
    stream(&mut sim, next, 2, 1_000);
    let lost = rejected(&sim) - failed;
    assert!(lost <= 24, "{lost} lost");
    assert!(sim.notes.iter().any(|(_, note)| note.event == "rack_doubted"));
}

// A fast backend server becomes ten times slower without failing. Tasks started
// there would delay their whole jobs.
#[test]
fn speed_falls() {
    let mut sim = Simulation::new(servers(8, 4));
    let next = stream(&mut sim, 0, 8, 5_000);
    sim.set_mode("b0002", Mode::Runs(10.0));
    let next = stream(&mut sim, next, 8, 5_000);
    let before = sim.starts_on("b0002");
    let last = stream(&mut sim, next, 8, 10_000);
    let slow = sim.starts_on("b0002") - before;
    assert!((slow as u64) < (last - next) / 50, "{slow} of {} on the slow one", last - next);
}

// The fastest backend server stops answering but accepts tasks. Since no task ends
// there, its run time stays the shortest and it would get a task for every slot.
#[test]
fn speed_unknown_while_tasks_hang() {
    let mut sim = Simulation::new(servers(8, 8));
    sim.set_mode("b0002", Mode::Runs(0.5));
    let next = stream(&mut sim, 0, 8, 5_000);
    sim.run_ms(1_000);
    sim.set_mode("b0002", Mode::Hangs);
    let before = sim.starts_on("b0002");
    stream(&mut sim, next, 100, 4_000);
    let hung = sim.starts_on("b0002") - before;
    assert!((1..=4).contains(&hung), "{hung} tasks hang");
}

// A slow backend server is replaced by a fast one of the same name. Without tasks
// its new run time would never be learned.
#[test]
fn speed_rises() {
    let mut sim = Simulation::new(servers(4, 4));
    sim.set_mode("b0002", Mode::Runs(8.0));
    let next = stream(&mut sim, 0, 12, 10_000);
    sim.set_mode("b0002", Mode::Runs(0.5));
    let next = stream(&mut sim, next, 12, 120_000);
    let before = sim.starts_on("b0002");
    let last = stream(&mut sim, next, 12, 5_000);
    let share = sim.starts_on("b0002") - before;
    assert!(share as u64 * 4 > last - next, "{share} of {}", last - next);
}

// A new backend server joins a running service. It must get tasks, but few until
// its run time is known.
#[test]
fn speed_unknown_is_tried() {
    let mut config = servers(4, 8);
    let server = config.servers.remove("b0003").expect("listed");
    let mut sim = Simulation::new(config.clone());
    let next = stream(&mut sim, 0, 10, 5_000);
    config.servers.insert("b0003".into(), server);
    config.revision += 1;
    sim.config = config;
    sim.configure();
    sim.set_mode("b0003", Mode::Runs(20.0));
    stream(&mut sim, next, 10, 1_500);
    let tried = sim.starts_on("b0003");
    assert!((1..=4).contains(&tried), "{tried} tasks before its speed is known");
    assert!(sim.placer.expected_end(sim.now, &new_order(Time::ZERO, 0, "a", 1).task).is_some());
}
