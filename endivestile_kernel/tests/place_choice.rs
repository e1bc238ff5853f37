//! Which back end a task gets, and when it is worth waiting for.

mod place_fake;

use endivestile_kernel::{Outcome, Placer, Time, policy_names};
use place_fake::{Fake, Mode, add_worker, for_target, need, order, servers, service};
use test_case::test_case;

/// Two backend servers of one slot, whose speeds are learnt: `b0000` takes 100 ms, `b0001` 400 ms.
fn fast_and_slow() -> Fake {
    let mut fake = Fake::new(servers(2, 1));
    fake.mode("b0001", Mode::Works(4.0));
    for run in 0..40 {
        fake.orders(1_000 + 2 * run, 2, "a", 100_000);
        fake.run_ms(500);
    }
    fake.starts.clear();
    fake
}

#[test_case("earliest")]
#[test_case("random")]
#[test_case("round-robin")]
#[test_case("least-outstanding")]
#[test_case("two-choices")]
fn policy_registered(name: &str) {
    assert!(policy_names().contains(&name));
}

#[test]
fn order_more_than_slots() {
    let mut fake = Fake::new(servers(4, 3));
    fake.orders(0, 100, "a", 50_000);
    assert_eq!(fake.starts.len(), 12);
    fake.run_ms(2_000);
    assert_eq!(fake.done(), 100);
    assert!(fake.most.values().all(|most| *most <= 3));
    assert!(fake.placer.is_idle());
}

#[test]
fn order_connections_below_slots() {
    let mut config = servers(1, 8);
    for server in config.servers.values_mut() {
        server.connections = 2;
    }
    let mut fake = Fake::new(config);
    fake.orders(0, 5, "a", 50_000);
    assert_eq!(fake.starts.len(), 2);
}

// The fast backend server is busy and a slow one is free. Taking the slow one
// at once makes the caller wait 400 ms where 150 ms would have done.
#[test]
fn order_worth_waiting() {
    let mut fake = fast_and_slow();
    fake.orders(0, 1, "a", 100_000);
    fake.run_ms(50);
    fake.orders(1, 1, "a", 100_000);
    fake.run_ms(1_000);
    let names: Vec<_> = fake.starts.iter().map(|start| start.server.as_ref()).collect();
    assert_eq!(names, ["b0000", "b0000"]);
}

// Many tasks wait for the fast backend server. If none of them takes the free
// slow one, the last caller waits for all the others.
#[test]
fn order_slow_one_shares_backlog() {
    let mut fake = fast_and_slow();
    fake.orders(0, 10, "a", 100_000);
    fake.run_ms(5_000);
    let slow = fake.started_on("b0001");
    assert!((1..=3).contains(&slow), "{slow} tasks on the slow one");
}

// The fast backend server stops answering while a slow one is free. A task that
// waits for the fast one must not wait for ever.
#[test]
fn order_fast_one_hangs() {
    let mut fake = fast_and_slow();
    fake.mode("b0000", Mode::Hangs);
    fake.orders(0, 2, "a", 100_000);
    fake.run_ms(2_000);
    assert_eq!(fake.started(1).map(|start| start.server.as_ref()), Some("b0001"));
}

// A worker's accelerators are of no use when tasks without accelerators have
// taken its processors: those that need one wait beside idle accelerators.
#[test]
fn order_accelerators_not_stranded() {
    let mut config = servers(0, 0);
    add_worker(&mut config, "plain", 8_000, 0);
    add_worker(&mut config, "accelerated", 8_000, 2);
    let mut fake = Fake::new(config);
    for run in 0..30 {
        fake.order(for_target(order(fake.now, run, "a", 1_000_000), need(1_000, 0)));
    }
    assert_eq!(fake.started_on("plain"), 8);
    assert_eq!(fake.started_on("accelerated"), 6);
    for run in 100..102 {
        fake.order(for_target(order(fake.now, run, "b", 1_000_000), need(1_000, 1)));
    }
    assert_eq!(fake.started_on("accelerated"), 8);
}

// Small tasks fill every gap that opens, so that a task which needs a whole
// worker never finds one empty. Its caller waits until the small ones stop.
#[test]
fn order_big_need_not_starved() {
    let mut config = servers(0, 0);
    add_worker(&mut config, "w0", 8_000, 0);
    add_worker(&mut config, "w1", 8_000, 0);
    let mut fake = Fake::new(config);
    for step in 0..400 {
        if step == 40 {
            fake.order(for_target(order(fake.now, 9_999, "b", 100_000), need(8_000, 0)));
        }
        for run in 0..2 {
            let small = order(fake.now, step * 2 + run, "a", 100_000);
            fake.order(for_target(small, need(1_000, 0)));
        }
        fake.run_ms(10);
    }
    let big = fake.started(9_999).expect("the big one started");
    assert!(big.at < Time::ZERO.after_ms(1_000), "started at {:?}", big.at);
}

#[test]
fn order_need_never_fits() {
    let mut config = servers(1, 1);
    add_worker(&mut config, "w0", 8_000, 0);
    assert!(Placer::can_ever_run(&config, &need(8_000, 0)));
    assert!(!Placer::can_ever_run(&config, &need(8_001, 0)));
    assert!(!Placer::can_ever_run(&config, &need(1_000, 1)));
    assert!(Placer::can_ever_run(&config, &service()));
    let mut fake = Fake::new(config);
    fake.order(for_target(order(fake.now, 0, "a", 1_000), need(1_000, 1)));
    let refused = Outcome::NotRun(endivestile_kernel::Cause::NoBackend);
    assert_eq!(fake.outcome(0), Some(&refused));
}

// Most tasks declare a run time that has nothing to do with the true one.
#[test_case(1; "far too short")]
#[test_case(3_600_000; "far too long")]
fn order_declared_wrong(declared: u32) {
    let mut fake = Fake::new(servers(2, 2));
    for run in 0..100 {
        let mut order = order(fake.now, run, "a", 50_000);
        std::sync::Arc::make_mut(&mut order.task).declared_ms = declared;
        order.deadline = fake.now.after_ms(5_000);
        fake.order(order);
        fake.run_ms(20);
    }
    fake.run_ms(1_000);
    assert_eq!(fake.done(), 100);
}

// One job's tasks all go to one rack although others are as fast; the rack's
// switch fails and the whole job is lost.
#[test]
fn order_job_spread_over_racks() {
    let mut fake = Fake::new(servers(8, 4));
    for index in 0..4 {
        let mut order = order(fake.now, 1, "a", 50_000);
        order.key.index = index;
        fake.order(order);
    }
    let rack = |name: &str| name[1..].parse::<usize>().map_or(0, |at| at / 4);
    let first = fake.starts.iter().filter(|start| rack(&start.server) == 0).count();
    assert_eq!(first, 2);
}
