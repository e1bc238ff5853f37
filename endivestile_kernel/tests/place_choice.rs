//! Which backend a task gets, and when it waits for a faster one.

mod place_fake;

use endivestile_kernel::{Outcome, Placer, Time, policy_names};
use place_fake::{Mode, Simulation, add_worker, for_target, need, new_order, servers, service};
use test_case::test_case;

/// Returns a simulation of two backend servers with one slot each and learned run
/// times: 100 ms on `b0000`, 400 ms on `b0001`.
fn fast_and_slow() -> Simulation {
    let mut sim = Simulation::new(servers(2, 1));
    sim.set_mode("b0001", Mode::Runs(4.0));
    for run in 0..40 {
        sim.submit_many(1_000 + 2 * run, 2, "a", 100_000);
        sim.run_ms(500);
    }
    sim.starts.clear();
    sim
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
    let mut sim = Simulation::new(servers(4, 3));
    sim.submit_many(0, 100, "a", 50_000);
    assert_eq!(sim.starts.len(), 12);
    sim.run_ms(2_000);
    assert_eq!(sim.count_done(), 100);
    assert!(sim.max_running.values().all(|running| *running <= 3));
    assert!(sim.placer.is_idle());
}

#[test]
fn order_connections_below_slots() {
    let mut config = servers(1, 8);
    for server in config.servers.values_mut() {
        server.connections = 2;
    }
    let mut sim = Simulation::new(config);
    sim.submit_many(0, 5, "a", 50_000);
    assert_eq!(sim.starts.len(), 2);
}

// The fast backend server is busy and a slow one is free. Starting on the slow one
// takes 400 ms where waiting for the fast one takes 150 ms.
#[test]
fn order_worth_waiting() {
    let mut sim = fast_and_slow();
    sim.submit_many(0, 1, "a", 100_000);
    sim.run_ms(50);
    sim.submit_many(1, 1, "a", 100_000);
    sim.run_ms(1_000);
    let names: Vec<_> = sim.starts.iter().map(|start| start.server.as_ref()).collect();
    assert_eq!(names, ["b0000", "b0000"]);
}

// Many tasks wait for the fast backend server. If none of them used the free slow
// one, the last one would wait for all the others.
#[test]
fn order_slow_backend_shares_backlog() {
    let mut sim = fast_and_slow();
    sim.submit_many(0, 10, "a", 100_000);
    sim.run_ms(5_000);
    let slow = sim.starts_on("b0001");
    assert!((1..=3).contains(&slow), "{slow} tasks on the slow one");
}

// The fast backend server stops answering while a slow one is free. A task that
// waits for the fast one must not wait forever.
#[test]
fn order_fast_backend_hangs() {
    let mut sim = fast_and_slow();
    sim.set_mode("b0000", Mode::Hangs);
    sim.submit_many(0, 2, "a", 100_000);
    sim.run_ms(2_000);
    assert_eq!(sim.start_of(1).map(|start| start.server.as_ref()), Some("b0001"));
}

// If tasks without accelerators took all CPU of a worker, its accelerators would
// be idle while tasks that need them wait.
#[test]
fn order_accelerators_not_stranded() {
    let mut config = servers(0, 0);
    add_worker(&mut config, "plain", 8_000, 0);
    add_worker(&mut config, "accelerated", 8_000, 2);
    let mut sim = Simulation::new(config);
    for run in 0..30 {
        sim.submit(for_target(new_order(sim.now, run, "a", 1_000_000), need(1_000, 0)));
    }
    assert_eq!(sim.starts_on("plain"), 8);
    assert_eq!(sim.starts_on("accelerated"), 6);
    for run in 100..102 {
        sim.submit(for_target(new_order(sim.now, run, "b", 1_000_000), need(1_000, 1)));
    }
    assert_eq!(sim.starts_on("accelerated"), 8);
}

// Small tasks fill every gap, so that a task which needs a whole worker never
// finds an empty one. It must not wait until no more small tasks arrive.
#[test]
fn order_big_need_not_starved() {
    let mut config = servers(0, 0);
    add_worker(&mut config, "w0", 8_000, 0);
    add_worker(&mut config, "w1", 8_000, 0);
    let mut sim = Simulation::new(config);
    for step in 0..400 {
        if step == 40 {
            sim.submit(for_target(new_order(sim.now, 9_999, "b", 100_000), need(8_000, 0)));
        }
        for run in 0..2 {
            let small = new_order(sim.now, step * 2 + run, "a", 100_000);
            sim.submit(for_target(small, need(1_000, 0)));
        }
        sim.run_ms(10);
    }
    let large = sim.start_of(9_999).expect("the large task started");
    assert!(large.at < Time::ZERO.after_ms(1_000), "started at {:?}", large.at);
}

#[test]
fn order_need_never_fits() {
    let mut config = servers(1, 1);
    add_worker(&mut config, "w0", 8_000, 0);
    assert!(Placer::can_ever_run(&config, &need(8_000, 0)));
    assert!(!Placer::can_ever_run(&config, &need(8_001, 0)));
    assert!(!Placer::can_ever_run(&config, &need(1_000, 1)));
    assert!(Placer::can_ever_run(&config, &service()));
    let mut sim = Simulation::new(config);
    sim.submit(for_target(new_order(sim.now, 0, "a", 1_000), need(1_000, 1)));
    let refused = Outcome::NotRun(endivestile_kernel::Cause::NoBackend);
    assert_eq!(sim.outcome(0), Some(&refused));
}

// Declared run times are unrelated to the actual ones.
#[test_case(1; "far too short")]
#[test_case(3_600_000; "far too long")]
fn order_declared_wrong(declared: u32) {
    let mut sim = Simulation::new(servers(2, 2));
    for run in 0..100 {
        let mut order = new_order(sim.now, run, "a", 50_000);
        std::sync::Arc::make_mut(&mut order.task).declared_ms = declared;
        order.deadline = sim.now.after_ms(5_000);
        sim.submit(order);
        sim.run_ms(20);
    }
    sim.run_ms(1_000);
    assert_eq!(sim.count_done(), 100);
}

// A job's tasks must not all run on one rack while others are as fast: a failed
// switch would lose the whole job.
#[test]
fn order_job_spread_over_racks() {
    let mut sim = Simulation::new(servers(8, 4));
    for index in 0..4 {
        let mut order = new_order(sim.now, 1, "a", 50_000);
        order.key.index = index;
        sim.submit(order);
    }
    let rack = |name: &str| name[1..].parse::<usize>().map_or(0, |at| at / 4);
    let first = sim.starts.iter().filter(|start| rack(&start.server) == 0).count();
    assert_eq!(first, 2);
}
