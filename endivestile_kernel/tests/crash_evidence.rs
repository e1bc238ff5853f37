//! What may be done with tasks whose workers were lost: start, start alone, wait or give up.

use endivestile_config::model::Name;
use endivestile_kernel::Time;
use endivestile_kernel::fleet::{CrashEvidence, CrashVerdict, LostWorker, TaskKey};

fn ms(at: u64) -> Time {
    Time::ZERO.after_ms(at)
}

fn key(job: usize) -> TaskKey {
    TaskKey { job: Name::from(format!("j{job}")), step: 0, task: 0 }
}

fn worker(number: usize) -> Name {
    Name::from(format!("w{number}"))
}

/// Returns the loss of a worker's first incarnation under the first tasks of these jobs.
fn lost(number: usize, at: u64, jobs: &[usize], alone: bool, crashed: bool) -> LostWorker {
    let tasks = jobs.iter().map(|job| (key(*job), alone)).collect();
    LostWorker { worker: worker(number), incarnation: 1, at: ms(at), crashed, tasks }
}

/// Records a crash at a time in milliseconds.
fn crash(evidence: &mut CrashEvidence, number: usize, at: u64, jobs: &[usize], alone: bool) {
    evidence.record(ms(at), &lost(number, at, jobs, alone, true));
}

/// Guards against a task that crashes one worker after another.
#[test]
fn task_crashes_alone() {
    let mut evidence = CrashEvidence::default();
    crash(&mut evidence, 0, 0, &[1, 2], false);
    assert_eq!(evidence.verdict(ms(1), &key(1)), CrashVerdict::StartAlone);
    assert_eq!(evidence.verdict(ms(1), &key(3)), CrashVerdict::Start);
    crash(&mut evidence, 1, 3_000, &[1], true);
    assert_eq!(evidence.verdict(ms(3_001), &key(1)), CrashVerdict::StartAlone);
    crash(&mut evidence, 2, 6_000, &[1], true);
    assert_eq!(evidence.verdict(ms(6_001), &key(1)), CrashVerdict::GiveUp);
    assert_eq!(evidence.verdict(ms(6_001), &key(2)), CrashVerdict::StartAlone);
}

/// Guards against a limit that only runs alone reach: where evidence was lost, a task may have
/// run beside others each time.
#[test]
fn task_crashes_beside_others() {
    let mut evidence = CrashEvidence::default();
    for (number, at) in [(0, 0), (1, 5_000), (2, 10_000)] {
        assert_ne!(evidence.verdict(ms(at), &key(1)), CrashVerdict::GiveUp);
        crash(&mut evidence, number, at, &[1, 10 + number], false);
    }
    assert_eq!(evidence.verdict(ms(10_001), &key(1)), CrashVerdict::GiveUp);
    assert_eq!(evidence.verdict(ms(10_001), &key(11)), CrashVerdict::StartAlone);
}

/// Guards against a wave of crashing jobs that is taken for a common cause in every round, and
/// against an innocent task beside one of them that is given up.
#[test]
fn crash_wave_many_jobs() {
    let mut evidence = CrashEvidence::default();
    let (jobs, innocent) = (40, 1_000);
    for job in 0..jobs {
        crash(&mut evidence, job, job as u64 * 10, &[job, innocent + job], false);
    }
    assert_eq!(evidence.verdict(ms(500), &key(0)), CrashVerdict::Start);
    for job in 0..jobs {
        let jobs = [job, innocent + job];
        crash(&mut evidence, 100 + job, 1_000 + job as u64 * 10, &jobs[..1 + job % 2], false);
    }
    assert_eq!(evidence.verdict(ms(1_500), &key(0)), CrashVerdict::StartAlone);
    assert_eq!(evidence.verdict(ms(1_500), &key(innocent)), CrashVerdict::Start);
    assert_eq!(evidence.verdict(ms(1_500), &key(innocent + 1)), CrashVerdict::StartAlone);
    // Runs alone crash one after another, within the time in which crashes count as one.
    for job in 0..jobs {
        crash(&mut evidence, 200 + job, 2_000 + job as u64 * 100, &[job], true);
        assert_eq!(evidence.verdict(ms(9_000), &key(job)), CrashVerdict::GiveUp);
    }
    assert_eq!(evidence.verdict(ms(9_000), &key(innocent + 1)), CrashVerdict::StartAlone);
}

/// Guards against tasks that are suspected because their rack failed, whenever its workers return.
#[test]
fn rack_fails_innocent_tasks() {
    let mut evidence = CrashEvidence::default();
    for number in 0..20 {
        let jobs = [3 * number, 3 * number + 1, 3 * number + 2];
        evidence.record(ms(700), &lost(number, number as u64 * 20, &jobs, false, false));
    }
    for number in 0..20 {
        assert!(evidence.is_unclear(&worker(number)));
        assert_eq!(evidence.observe(&worker(number), 2).len(), 3);
        assert!(!evidence.is_unclear(&worker(number)));
    }
    assert!((0..60).all(|job| evidence.verdict(ms(9_000), &key(job)) == CrashVerdict::Start));
    // Another crash under one of them counts, and the earlier one with it.
    crash(&mut evidence, 50, 9_000, &[7], false);
    assert_eq!(evidence.verdict(ms(9_001), &key(7)), CrashVerdict::StartAlone);
}

/// Guards against a rack's failure that is not recognized because a crashing task is among it.
#[test]
fn rack_fails_beside_crash() {
    let mut evidence = CrashEvidence::default();
    crash(&mut evidence, 90, 0, &[99, 98], false);
    crash(&mut evidence, 91, 100, &[99, 97], false);
    for number in 0..4 {
        crash(&mut evidence, number, 200, &[number], false);
    }
    assert!((0..4).all(|job| evidence.verdict(ms(300), &key(job)) == CrashVerdict::Start));
    assert_eq!(evidence.verdict(ms(300), &key(99)), CrashVerdict::StartAlone);
}

/// Guards against spot workers that leave without notice and never return, one by one: their
/// tasks run alone once, and are not given up.
#[test]
fn spot_workers_leave() {
    let mut evidence = CrashEvidence::default();
    for number in 0..5 {
        let at = number as u64 * 5_000;
        evidence.record(ms(at), &lost(number, at, &[number, 10 + number], false, false));
        assert_eq!(evidence.verdict(ms(at), &key(number)), CrashVerdict::Start);
        assert_eq!(evidence.observe_registration(&worker(number), None).len(), 2);
        assert_eq!(evidence.verdict(ms(at), &key(number)), CrashVerdict::StartAlone);
    }
}

/// Guards against a network cut that looks like a crash: one loss changes nothing, and what was
/// lost is forgotten once the same incarnation replies.
#[test]
fn network_cut_no_crash() {
    let mut evidence = CrashEvidence::default();
    for number in 0..2 {
        evidence.record(ms(0), &lost(number, 0, &[1, 2 + number], false, false));
    }
    assert_eq!(evidence.verdict(ms(1), &key(2)), CrashVerdict::Start);
    assert_eq!(evidence.verdict(ms(1), &key(1)), CrashVerdict::StartAlone);
    assert!(evidence.observe(&worker(0), 1).is_empty());
    assert_eq!(evidence.verdict(ms(1), &key(1)), CrashVerdict::Start);
    assert!(evidence.observe(&worker(1), 1).is_empty());
    assert!(evidence.is_empty());
}

/// Guards against starting a task on and on while the workers under it are down or never return,
/// and against giving it up before they are known to have crashed.
#[test]
fn workers_down_unclear() {
    let mut evidence = CrashEvidence::default();
    for number in 0..3 {
        assert_ne!(evidence.verdict(ms(0), &key(1)), CrashVerdict::Wait);
        evidence.record(ms(0), &lost(number, 0, &[1], number > 0, false));
    }
    assert_eq!(evidence.verdict(ms(2_999), &key(1)), CrashVerdict::Wait);
    assert_eq!(evidence.verdict(ms(3_000), &key(1)), CrashVerdict::StartAlone);
    let mut gone = evidence.clone();
    for number in 3..5 {
        gone.record(ms(3_000), &lost(number, 0, &[1], true, false));
    }
    assert_eq!(gone.verdict(ms(50_000), &key(1)), CrashVerdict::Wait);
    assert_eq!(evidence.observe(&worker(1), 2), [key(1)]);
    assert_eq!(evidence.verdict(ms(1), &key(1)), CrashVerdict::Wait);
    evidence.observe_registration(&worker(2), Some(2));
    assert_eq!(evidence.verdict(ms(1), &key(1)), CrashVerdict::GiveUp);
}

/// Guards against a worker that flaps and counts several times for one incarnation, or not at
/// all for the next.
#[test]
fn flapping_worker() {
    let mut evidence = CrashEvidence::default();
    for _ in 0..3 {
        crash(&mut evidence, 0, 0, &[1], false);
    }
    assert_eq!(evidence.counts(&key(1)), (1, 1));
    let second = LostWorker { incarnation: 2, ..lost(0, 5_000, &[1], true, true) };
    evidence.record(ms(5_000), &second);
    assert_eq!(evidence.counts(&key(1)), (2, 2));
}

/// Guards against a resubmission, a forward or a transfer that starts without evidence, and
/// against a report that counts twice.
#[test]
fn report_merged_once() {
    let (mut owner, mut other) = (CrashEvidence::default(), CrashEvidence::default());
    owner.record(ms(0), &lost(0, 0, &[1], true, false));
    assert!(other.merge(ms(2), &owner.report(&key(1).job).expect("evidence")));
    assert_eq!(other.verdict(ms(2), &key(1)), CrashVerdict::Start);
    assert_eq!(owner.observe(&worker(0), 2), [key(1)]);
    let report = owner.report(&key(1).job).expect("evidence");
    assert!(other.merge(ms(3), &report));
    assert!(!other.merge(ms(4), &report));
    assert_eq!(other.counts(&key(1)), (1, 1));
    assert_eq!(other.verdict(ms(4), &key(1)), CrashVerdict::StartAlone);
    assert!(!owner.merge(ms(5), &other.report(&key(1).job).expect("the same evidence")));
}

/// Guards against evidence that outlives its task or its time, and against a wave that uses up
/// the memory.
#[test]
fn evidence_bounded() {
    let mut evidence = CrashEvidence::default();
    crash(&mut evidence, 0, 0, &[1], false);
    evidence.forget(&key(1));
    assert!(evidence.is_empty());
    for job in 0..1_025 {
        crash(&mut evidence, job, job as u64 * 10, &[job], true);
    }
    assert_eq!(evidence.verdict(ms(20_000), &key(0)), CrashVerdict::Start);
    assert_eq!(evidence.verdict(ms(20_000), &key(1)), CrashVerdict::StartAlone);
    assert_eq!(evidence.verdict(ms(60_010), &key(1)), CrashVerdict::Start);
    assert_eq!(evidence.verdict(ms(60_010), &key(2)), CrashVerdict::StartAlone);
}
