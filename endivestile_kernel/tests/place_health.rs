//! Back ends that fail, leave, slow down or come back.

mod place_fake;

use endivestile_kernel::{Cause, Condition, Outcome, Time};
use place_fake::{Fake, Mode, order, servers};
use test_case::test_case;

/// Sends one task every `gap_ms` for `span_ms`.
fn stream(fake: &mut Fake, first: u64, gap_ms: u64, span_ms: u64) -> u64 {
    let mut run = first;
    let end = fake.now.after_ms(span_ms);
    while fake.now < end {
        fake.orders(run, 1, "a", 100_000);
        run += 1;
        fake.run_ms(gap_ms);
    }
    run
}

fn rejected(fake: &Fake) -> usize {
    let failed =
        |outcome: &Outcome| matches!(outcome, Outcome::Rejected { .. } | Outcome::Lost { .. });
    fake.ended.iter().filter(|(_, _, outcome)| failed(outcome)).count()
}

fn condition(fake: &Fake, name: &str) -> Option<Condition> {
    let all = fake.placer.status(fake.now);
    all.iter().find(|status| status.name.as_ref() == name).map(|status| status.health)
}

// A backend server fails every task in a millisecond, so that it always has
// free slots and looks the fastest. Whole jobs fail with its name.
#[test_case(Mode::Fails)]
#[test_case(Mode::Loses)]
fn end_fails_at_once(mode: Mode) {
    let mut fake = Fake::new(servers(10, 4));
    let next = stream(&mut fake, 0, 4, 2_000);
    fake.mode("b0003", mode);
    let last = stream(&mut fake, next, 4, 30_000);
    let failed = rejected(&fake);
    assert!(failed <= 20, "{failed} of {last} failed");
    assert!(matches!(condition(&fake, "b0003"), Some(Condition::Out | Condition::Trial)));
}

// A backend server fails tasks from its very first one, before anything is
// known of it.
#[test]
fn end_fails_from_cold() {
    let mut fake = Fake::new(servers(4, 8));
    fake.mode("b0000", Mode::Fails);
    fake.orders(0, 200, "a", 100_000);
    fake.run_ms(20_000);
    let failed = rejected(&fake);
    assert!(failed <= 12, "{failed} of 200 failed");
}

// A backend server fails its tasks only after they have run. Each one that
// starts before it is taken out is one more caller with an error.
#[test]
fn end_fails_slowly() {
    let mut fake = Fake::new(servers(4, 8));
    fake.mode("b0000", Mode::FailsSlowly);
    fake.orders(0, 200, "a", 100_000);
    fake.run_ms(250);
    let failed = rejected(&fake);
    assert!(failed <= 8, "{failed} failed");
}

// A failed backend server was repaired. It must get its share of work back, or
// the peak finds it idle.
#[test]
fn end_repaired_comes_back() {
    let mut fake = Fake::new(servers(2, 2));
    fake.mode("b0000", Mode::Fails);
    let next = stream(&mut fake, 0, 40, 10_000);
    fake.mode("b0000", Mode::Works(1.0));
    let next = stream(&mut fake, next, 40, 20_000);
    assert_eq!(condition(&fake, "b0000"), Some(Condition::Up));
    let before = fake.started_on("b0000");
    stream(&mut fake, next, 40, 4_000);
    let share = fake.started_on("b0000") - before;
    assert!((40..=60).contains(&share), "{share} of 100");
}

// A job's tasks fail wherever they run. Taking out one backend server after the
// other for that would stop everybody's work.
#[test]
fn end_poisoned_tasks() {
    let mut fake = Fake::new(servers(6, 4));
    for at in 0..6 {
        fake.mode(&format!("b{at:04}"), Mode::Fails);
    }
    fake.orders(0, 300, "a", 100_000);
    fake.run_ms(2_000);
    let out = fake.notes.iter().filter(|(_, note)| note.event == "back_end_out").count();
    assert!(out <= 3, "{out} times out of 6 back ends");
}

// A backend server's process is gone and its port refuses. No task has started
// there, so each runs elsewhere and its caller notices nothing.
#[test]
fn end_unreachable_runs_elsewhere() {
    let mut fake = Fake::new(servers(4, 4));
    fake.mode("b0000", Mode::Down);
    let sent = stream(&mut fake, 0, 10, 5_000);
    fake.run_ms(1_000);
    assert_eq!(fake.done() as u64, sent);
    let tried = fake.started_on("b0000");
    assert!(tried <= 12, "{tried} tries in 5 s");
}

// All back ends refuse. The tasks are given back at once as not run, and not
// held while the placer tries in vain.
#[test]
fn end_all_unreachable() {
    let mut fake = Fake::new(servers(3, 2));
    for at in 0..3 {
        fake.mode(&format!("b{at:04}"), Mode::Down);
    }
    fake.orders(0, 30, "a", 100_000);
    fake.run_ms(50);
    assert_eq!(fake.outcomes(&Outcome::NotRun(Cause::NoBackend)), 30);
}

// Another placer believes in the same slots for a moment. The backend server
// says that it is full; the task has not started and is not lost.
#[test]
fn end_busy_goes_back_to_the_front() {
    let mut fake = Fake::new(servers(2, 4));
    fake.mode("b0000", Mode::Busy);
    let sent = stream(&mut fake, 0, 50, 5_000);
    fake.run_ms(1_000);
    assert_eq!(fake.done() as u64, sent);
    let refused = fake.started_on("b0000");
    assert!(refused <= 60, "{refused} refusals for {sent} tasks");
    fake.mode("b0000", Mode::Works(1.0));
    let before = fake.started_on("b0000");
    fake.run_ms(5_000);
    fake.orders(9_000, 8, "a", 100_000);
    assert_eq!(fake.started_on("b0000") - before, 4);
}

// The platform lists a backend server as leaving, or an operator stops it. Work
// that still goes there is cut off when it goes down.
#[test]
fn leaving_gets_no_new_work() {
    let mut fake = Fake::new(servers(2, 2));
    let next = stream(&mut fake, 0, 50, 1_000);
    fake.leaving("b0001", true);
    let before = fake.started_on("b0001");
    let next = stream(&mut fake, next, 50, 5_000);
    assert_eq!(fake.started_on("b0001"), before);
    assert_eq!(condition(&fake, "b0001"), Some(Condition::Leaving));
    fake.leaving("b0001", false);
    stream(&mut fake, next, 50, 2_000);
    assert!(fake.started_on("b0001") > before);
}

// The list lags, and the backend server itself says first that it is leaving.
#[test]
fn leaving_by_its_own_answer() {
    let mut fake = Fake::new(servers(2, 2));
    fake.mode("b0001", Mode::Leaving);
    let sent = stream(&mut fake, 0, 60, 10_000);
    fake.run_ms(1_000);
    assert_eq!(fake.done() as u64, sent);
    let asked = fake.started_on("b0001");
    assert!(asked <= 10, "{asked} tasks offered to the leaving one");
}

#[test]
fn leaving_last_one_gives_back() {
    let mut fake = Fake::new(servers(1, 1));
    fake.orders(0, 3, "a", 100_000);
    fake.leaving("b0000", true);
    assert_eq!(fake.outcomes(&Outcome::NotRun(Cause::NoBackend)), 2);
    fake.run_ms(1_000);
    assert_eq!(fake.done(), 1);
}

// A back end took a task and its answer was lost: it may have run. Starting it
// again would charge a pitch twice.
#[test]
fn end_lost_never_starts_again() {
    let mut fake = Fake::new(servers(2, 2));
    fake.mode("b0000", Mode::Loses);
    fake.mode("b0001", Mode::Loses);
    fake.orders(0, 2, "a", 100_000);
    fake.run_ms(5_000);
    for run in 0..2 {
        assert!(matches!(fake.outcome(run), Some(Outcome::Lost { .. })));
        assert_eq!(fake.starts.iter().filter(|start| start.key.run == run).count(), 1);
    }
}

// A rack's switch fails. Each of its backend servers would lose a slotful of
// tasks before its own failures show.
#[test]
fn end_rack_fails_as_a_whole() {
    let mut fake = Fake::new(servers(16, 8));
    let next = stream(&mut fake, 0, 2, 2_000);
    let failed = rejected(&fake);
    for at in 4..8 {
        fake.mode(&format!("b{at:04}"), Mode::Loses);
    }
    stream(&mut fake, next, 2, 1_000);
    let lost = rejected(&fake) - failed;
    assert!(lost <= 24, "{lost} lost");
    assert!(fake.notes.iter().any(|(_, note)| note.event == "rack_doubted"));
}

// A fast backend server becomes ten times slower without failing. Tasks that
// still go there hold up their whole jobs.
#[test]
fn speed_falls() {
    let mut fake = Fake::new(servers(8, 4));
    let next = stream(&mut fake, 0, 8, 5_000);
    fake.mode("b0002", Mode::Works(10.0));
    let next = stream(&mut fake, next, 8, 5_000);
    let before = fake.started_on("b0002");
    let last = stream(&mut fake, next, 8, 10_000);
    let slow = fake.started_on("b0002") - before;
    assert!((slow as u64) < (last - next) / 50, "{slow} of {} on the slow one", last - next);
}

// The fastest backend server stops answering without refusing anything. As long as no
// task ends there it looks as fast as ever, and takes a task for every slot.
#[test]
fn speed_unknown_while_tasks_hang() {
    let mut fake = Fake::new(servers(8, 8));
    fake.mode("b0002", Mode::Works(0.5));
    let next = stream(&mut fake, 0, 8, 5_000);
    fake.run_ms(1_000);
    fake.mode("b0002", Mode::Hangs);
    let before = fake.started_on("b0002");
    stream(&mut fake, next, 100, 4_000);
    let hung = fake.started_on("b0002") - before;
    assert!((1..=4).contains(&hung), "{hung} tasks hang");
}

// A slow backend server was replaced by a fast one of the same name. Nobody
// sends it tasks, so nobody would learn of it.
#[test]
fn speed_rises() {
    let mut fake = Fake::new(servers(4, 4));
    fake.mode("b0002", Mode::Works(8.0));
    let next = stream(&mut fake, 0, 12, 10_000);
    fake.mode("b0002", Mode::Works(0.5));
    let next = stream(&mut fake, next, 12, 120_000);
    let before = fake.started_on("b0002");
    let last = stream(&mut fake, next, 12, 5_000);
    let share = fake.started_on("b0002") - before;
    assert!(share as u64 * 4 > last - next, "{share} of {}", last - next);
}

// A new backend server joins a running service. It must be tried, but not be
// flooded before its speed is known.
#[test]
fn speed_unknown_is_tried() {
    let mut config = servers(4, 8);
    let server = config.servers.remove("b0003").expect("listed");
    let mut fake = Fake::new(config.clone());
    let next = stream(&mut fake, 0, 10, 5_000);
    config.servers.insert("b0003".into(), server);
    config.revision += 1;
    fake.config = config;
    fake.configure();
    fake.mode("b0003", Mode::Works(20.0));
    stream(&mut fake, next, 10, 1_500);
    let tried = fake.started_on("b0003");
    assert!((1..=4).contains(&tried), "{tried} tasks before its speed is known");
    assert!(fake.placer.expected_end(fake.now, &order(Time::ZERO, 0, "a", 1).task).is_some());
}
