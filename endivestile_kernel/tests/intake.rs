//! Which connections a full process closes or refuses.

#![allow(clippy::unwrap_used, reason = "a test fails by panic")]

use endivestile_kernel::Time;
use endivestile_kernel::intake::{ConnId, GRANT_BYTES, Intake, IntakeLimits, Machine, Verdict};
use test_case::test_case;

const MIB: u64 = 1 << 20;
/// Bytes in the pool of the tests' listener.
const POOL: usize = 100_000;

fn at(ms: u64) -> Time {
    Time::ZERO.after_ms(ms)
}

/// A listener of four connections.
fn intake() -> Intake {
    Intake::new(IntakeLimits { connections: 4, pool_bytes: POOL })
}

/// Opens connections, one a millisecond.
fn open_all<const N: usize>(intake: &mut Intake) -> [ConnId; N] {
    std::array::from_fn(|ms| intake.open(at(ms as u64)).unwrap())
}

#[test]
fn open_full_closes_longest_waiting() {
    let mut intake = intake();
    let [first, second, ..] = open_all::<4>(&mut intake);
    intake.receive(first, 10, at(10));
    assert!(intake.open(at(11)).is_some());
    assert_eq!((intake.take_closed(), intake.connections()), (vec![second], 4));
}

#[test]
fn open_full_keeps_owed_answers() {
    let mut intake = intake();
    let [first, second, third, fourth] = open_all::<4>(&mut intake);
    for id in [first, second, fourth] {
        assert_eq!(intake.complete(id), Verdict::Admit);
    }
    assert!(intake.open(at(10)).is_some());
    assert_eq!(intake.take_closed(), [third]);
}

/// Bytes of the next request arrive while an answer is owed.
#[test]
fn touch_owed_stays_owed() {
    let mut intake = intake();
    for id in open_all::<4>(&mut intake) {
        intake.complete(id);
        intake.touch(id, at(10));
    }
    assert_eq!((intake.open(at(11)), intake.take_closed()), (None, vec![]));
}

#[test]
fn touch_waiting_closed_last() {
    let mut intake = intake();
    let [first, second, ..] = open_all::<4>(&mut intake);
    intake.touch(first, at(10));
    assert!(intake.open(at(11)).is_some());
    assert_eq!(intake.take_closed(), [second]);
}

#[test]
fn open_all_owed_refused() {
    let mut intake = intake();
    for id in open_all::<4>(&mut intake) {
        intake.complete(id);
    }
    assert_eq!((intake.open(at(10)), intake.take_closed()), (None, vec![]));
}

#[test]
fn open_answered_connection_closes() {
    let mut intake = intake();
    let ids = open_all::<4>(&mut intake);
    for id in ids {
        assert_eq!(intake.complete(id), Verdict::Admit);
    }
    intake.answer(ids[2], 10, at(20));
    assert!(intake.open(at(21)).is_some());
    assert_eq!(intake.take_closed(), [ids[2]]);
}

#[test]
fn receive_full_pool_closes_longest_waiting() {
    let mut intake = intake();
    let [first, second, third, _] = open_all::<4>(&mut intake);
    intake.receive(second, 50_000, at(10));
    intake.receive(first, 50_000, at(11));
    assert_eq!(intake.receive(third, 50_000, at(12)), Verdict::Admit);
    assert_eq!(intake.take_closed(), [second]);
    assert!(intake.pool_used() <= POOL);
}

#[test]
fn receive_full_pool_spares_small_bodies() {
    let mut intake = intake();
    let [small, large, other, _] = open_all::<4>(&mut intake);
    intake.receive(small, GRANT_BYTES, at(10));
    intake.receive(large, 90_000, at(11));
    assert_eq!(intake.receive(other, 90_000, at(12)), Verdict::Admit);
    assert_eq!(intake.take_closed(), [large]);
    assert_eq!(intake.complete(small), Verdict::Admit);
}

/// A crowd holds the whole pool, and its members send a byte now and then.
#[test]
fn receive_small_body_beside_full_pool() {
    let mut intake = intake();
    let [first, second, ordinary, _] = open_all::<4>(&mut intake);
    intake.receive(first, 50_000, at(10));
    intake.receive(second, 50_000, at(11));
    assert_eq!(intake.receive(ordinary, 700, at(12)), Verdict::Admit);
    assert_eq!((intake.complete(ordinary), intake.take_closed()), (Verdict::Admit, vec![]));
}

#[test]
fn receive_pool_owed_refused() {
    let mut intake = intake();
    let [owed, late, ..] = open_all::<4>(&mut intake);
    intake.receive(owed, 90_000, at(10));
    intake.complete(owed);
    assert_eq!(intake.receive(late, 50_000, at(11)), Verdict::Refuse);
    assert_eq!(intake.take_closed(), []);
    assert!(intake.pool_used() <= POOL);
    intake.answer(owed, 0, at(12));
    assert_eq!(intake.receive(late, 50_000, at(13)), Verdict::Admit);
}

/// The pool of a small machine is smaller than a legal body.
#[test]
fn receive_alone_exceeds_pool() {
    let mut intake = intake();
    let [alone, ..] = open_all::<4>(&mut intake);
    assert_eq!(intake.receive(alone, 2 * POOL, at(10)), Verdict::Admit);
    assert_eq!(intake.complete(alone), Verdict::Admit);
}

#[test]
fn complete_closed_not_served() {
    let mut intake = intake();
    let [first, ..] = open_all::<4>(&mut intake);
    intake.open(at(10)).unwrap();
    assert_eq!(intake.complete(first), Verdict::Closed);
    assert_eq!(intake.receive(first, 10, at(11)), Verdict::Closed);
}

#[test]
fn answer_unread_closed_first() {
    let mut intake = intake();
    let [unread, body, ..] = open_all::<4>(&mut intake);
    intake.complete(unread);
    intake.answer(unread, 90_000, at(10));
    assert_eq!(intake.receive(body, 50_000, at(11)), Verdict::Admit);
    assert_eq!(intake.take_closed(), [unread]);
}

#[test]
fn end_releases_all() {
    let mut intake = intake();
    for id in open_all::<4>(&mut intake) {
        intake.receive(id, 20_000, at(10));
        intake.end(id);
        intake.end(id);
    }
    assert_eq!((intake.connections(), intake.pool_used()), (0, 0));
}

/// The classes of machines of the users' sites and the target: a listener keeps to its part of
/// memory and descriptors.
#[test_case(120, 3_075; "smallest")]
#[test_case(160, 4_100; "small")]
#[test_case(256, 4_096; "target")]
#[test_case(260, 4_100; "documented")]
#[test_case(512, 8_192; "largest")]
fn limits_fit_machine(memory_mb: u64, files: u64) {
    let machine = Machine { memory_bytes: memory_mb * MIB, files };
    let all = [machine.caller_limits(), machine.link_limits(), machine.probe_limits()];
    let connections: usize = all.iter().map(|limits| limits.connections).sum();
    assert!(connections as u64 <= (files - 200) * 7 / 8, "{all:?}");
    let pools: usize = all.iter().map(|limits| limits.pool_bytes).sum();
    assert!(pools as u64 <= machine.memory_bytes / 4, "{all:?}");
    assert!(all[0].connections >= 400, "{all:?}");
}

#[test]
fn limits_tiny_machine() {
    let machine = Machine { memory_bytes: 0, files: 0 };
    assert!(machine.caller_limits().connections > 0);
    assert!(machine.probe_limits().connections > 0);
}

/// Random clients: what is held never exceeds the pool unless one request holds it alone, and a
/// connection that is owed an answer is never closed.
#[test]
fn pool_bounded_random() {
    use std::collections::BTreeSet;
    let mut seed = 7_u64;
    let mut draw = move |below: usize| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) as usize % below
    };
    let mut intake = Intake::new(IntakeLimits { connections: 32, pool_bytes: POOL });
    let (mut ids, mut owed) = (Vec::new(), BTreeSet::new());
    for step in 0..50_000_u64 {
        let now = at(step);
        match draw(6) {
            0 => ids.extend(intake.open(now)),
            1..=3 if !ids.is_empty() => {
                let id = ids[draw(ids.len())];
                if !owed.contains(&id) {
                    intake.receive(id, draw(POOL / 2), now);
                }
            }
            4 if !ids.is_empty() => {
                let id = ids[draw(ids.len())];
                if intake.complete(id) == Verdict::Admit {
                    owed.insert(id);
                }
            }
            _ => {
                if let Some(id) = owed.pop_first() {
                    intake.answer(id, draw(20_000), now);
                }
            }
        }
        for closed in intake.take_closed() {
            assert!(!owed.contains(&closed), "step {step}: {closed:?} was owed an answer");
            ids.retain(|id| *id != closed);
        }
        assert!(intake.connections() <= 32);
        assert!(intake.pool_used() <= POOL + 20_000, "step {step}: {}", intake.pool_used());
    }
}
