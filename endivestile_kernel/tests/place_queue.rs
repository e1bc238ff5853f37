//! Order of waiting tasks, deadlines, limits and cancellations.

mod place_fake;

use endivestile_config::model::{Name, Team};
use endivestile_kernel::{Cause, HostState, Outcome, Peer, PlaceEffect, Placer, PlacerSetup, Time};
use place_fake::{Mode, Simulation, home, new_order, servers, view};

const FULL: Outcome = Outcome::NotRun(Cause::Full);
const LIMIT: Outcome = Outcome::NotRun(Cause::Limit);
const DEADLINE: Outcome = Outcome::NotRun(Cause::Deadline);
const NO_BACKEND: Outcome = Outcome::NotRun(Cause::NoBackend);

fn names(sim: &Simulation, from: u64) -> Vec<u64> {
    sim.starts.iter().map(|start| start.key.run).filter(|run| *run >= from).collect()
}

// One team floods the queue. A single request of another team must not wait behind
// the flood.
#[test]
fn queue_flood_does_not_delay_others() {
    let mut sim = Simulation::new(servers(1, 2));
    sim.submit_many(0, 1_000, "a", 100_000);
    sim.run_ms(1_000);
    sim.submit_many(5_000, 1, "b", 100_000);
    sim.run_ms(210);
    assert!(matches!(sim.outcome(5_000), Some(Outcome::Done(_))));
}

// Two teams keep more work waiting than fits. Their shares must follow their
// weights.
#[test]
fn queue_shares_by_weight() {
    let mut config = servers(2, 4);
    config.teams.insert(Name::from("b"), Team { limit: 1_000_000, weight: 3 });
    let mut sim = Simulation::new(config);
    sim.submit_many(0, 2_000, "a", 100_000);
    sim.submit_many(10_000, 2_000, "b", 100_000);
    sim.run_ms(20_000);
    let of = |name: &str| sim.starts.iter().filter(|s| s.team.as_ref() == name).count() as f64;
    let ratio = of("b") / of("a");
    assert!((2.8..3.2).contains(&ratio), "{ratio}");
}

#[test]
fn queue_older_then_fewer_left() {
    let mut sim = Simulation::new(servers(1, 1));
    sim.submit_many(0, 1, "a", 50_000);
    let now = sim.now;
    for (run, arrived, left) in [(11, 9, 1), (12, 5, 40), (13, 5, 2), (14, 1, 200)] {
        let mut order = new_order(now, run, "a", 50_000);
        order.arrived = Time::from_micros(arrived);
        order.remaining = left;
        sim.submit(order);
    }
    sim.run_ms(1_000);
    assert_eq!(names(&sim, 10), [14, 13, 12, 11]);
}

// A waiting task that can no longer finish in time is given up right away, not at
// its deadline, so that its caller can still go elsewhere.
#[test]
fn queue_gives_up_late_task() {
    let mut sim = Simulation::new(servers(1, 1));
    for run in 0..20 {
        sim.submit_many(100 + run, 1, "a", 100_000);
        sim.run_ms(100);
    }
    sim.set_mode("b0000", Mode::Runs(10.0));
    sim.submit_many(0, 1, "a", 100_000);
    let mut late = new_order(sim.now, 1, "a", 100_000);
    late.deadline = sim.now.after_ms(300);
    let deadline = late.deadline;
    sim.submit(late);
    sim.run_ms(2_000);
    assert_eq!(sim.outcome(1), Some(&DEADLINE));
    let at = sim.ended.iter().find(|(_, key, _)| key.run == 1).map(|(at, ..)| *at);
    let spare_ms = deadline.since(at.expect("ended")).as_millis();
    assert!((80..=120).contains(&spare_ms), "given up {spare_ms} ms before the deadline");
}

// The queue holds more work than the time that a task has left. The task is
// refused on arrival, not after a wait until its deadline.
#[test]
fn queue_refuses_hopeless_arrival() {
    let mut sim = Simulation::new(servers(1, 1));
    sim.submit_many(0, 60, "a", 100_000);
    sim.run_ms(2_000);
    let mut hopeless = new_order(sim.now, 1_000, "a", 100_000);
    hopeless.deadline = sim.now.after_ms(1_000);
    sim.submit(hopeless);
    assert_eq!(sim.outcome(1_000), Some(&DEADLINE));
    assert_eq!(sim.ended.last().map(|(at, ..)| *at), Some(sim.now));
}

// Early tasks were long, so that every later one seems too long for its deadline.
// Refusing all of them would never correct the estimate.
#[test]
fn queue_wrong_estimate_is_corrected() {
    let mut sim = Simulation::new(servers(1, 4));
    sim.submit_many(0, 40, "a", 5_000_000);
    sim.run_ms(60_000);
    let mut done = 0;
    for run in 0..1_000 {
        let mut order = new_order(sim.now, 100 + run, "a", 50_000);
        order.deadline = sim.now.after_ms(1_000);
        sim.submit(order);
        sim.run_ms(100);
        done += usize::from(matches!(sim.outcome(100 + run), Some(Outcome::Done(_))));
    }
    assert!(done > 700, "{done} of 1000");
}

#[test]
fn queue_full_refuses_the_flood() {
    let mut config = servers(1, 1);
    config.rules.queue_limit = 10;
    let mut sim = Simulation::new(config);
    sim.submit_many(0, 50, "a", 100_000);
    assert_eq!(sim.count_outcomes(&FULL), 39);
    sim.submit_many(1_000, 5, "b", 100_000);
    assert!((1_000..1_005).all(|run| sim.outcome(run).is_none()));
    assert_eq!(sim.count_outcomes(&FULL), 44);
    sim.run_ms(5_000);
    assert_eq!(sim.count_done(), 11);
}

// A team sends more than its limit to every host. The limits of all hosts must add
// up to the limit of the team without messages between them.
#[test]
fn limit_host_limits_add_up() {
    let hosts = [("h0", 1), ("h1", 2), ("h2", 4), ("h3", 1)];
    for limit in [1, 3, 10, 1_001] {
        let mut accepted = 0;
        for (name, _) in hosts {
            let mut config = servers(64, 1);
            config.teams.insert(Name::from("a"), Team { limit, weight: 1 });
            let me = Peer::new(name, 1);
            let mut placer = Placer::new(PlacerSetup { me: me.clone(), seed: 1 });
            let mut out = Vec::new();
            placer.configure(Time::ZERO, &config, &view(&hosts), &mut out);
            for run in 0..2_000 {
                placer.handle_order(
                    Time::ZERO,
                    &me,
                    new_order(Time::ZERO, run, "a", 1_000),
                    &mut out,
                );
            }
            let refused = |effect: &&PlaceEffect| matches!(effect, PlaceEffect::Ended { .. });
            accepted += 2_000 - out.iter().filter(refused).count() as u32;
        }
        assert_eq!(accepted, limit);
    }
}

// The last host is leaving. It still owns all backends and must not refuse tasks
// because of a limit of zero.
#[test]
fn limit_last_host_leaving() {
    let mut sim = Simulation::new(servers(1, 4));
    let mut last = view(&[("h0", 1)]);
    if let Some(host) = last.hosts.get_mut("h0") {
        host.state = HostState::Leaving;
    }
    sim.set_view(last);
    sim.submit_many(0, 3, "a", 100_000);
    assert_eq!(sim.starts.len(), 3);
}

#[test]
fn limit_counts_waiting_and_running() {
    let mut config = servers(1, 1);
    config.teams.insert(Name::from("a"), Team { limit: 3, weight: 1 });
    let mut sim = Simulation::new(config);
    sim.submit_many(0, 5, "a", 100_000);
    assert_eq!(sim.count_outcomes(&LIMIT), 2);
    sim.drop_task(2);
    sim.submit_many(10, 2, "a", 100_000);
    assert_eq!(sim.count_outcomes(&LIMIT), 3);
    sim.run_ms(1_000);
    sim.submit_many(20, 3, "a", 100_000);
    assert_eq!(sim.count_outcomes(&LIMIT), 3);
}

// Callers cancel ten thousand tasks at once. Waiting ones end without a start;
// running ones are stopped and free their slots exactly once.
#[test]
fn drop_many() {
    let mut sim = Simulation::new(servers(10, 4));
    sim.submit_many(0, 10_000, "a", 100_000);
    for run in (0..10_000).rev() {
        sim.drop_task(run);
    }
    assert_eq!(sim.aborted.len(), 40);
    sim.run_ms(10);
    assert!(sim.placer.is_idle());
    assert_eq!(sim.starts.len(), 40);
    assert!(sim.ended.is_empty());
    sim.submit_many(20_000, 100, "a", 100_000);
    assert_eq!(sim.starts.len(), 80);
}

// A home fails while its tasks wait here. Starting them would take slots from
// tasks that are still needed.
#[test]
fn home_gone_discards_waiting() {
    let mut sim = Simulation::new(servers(1, 2));
    sim.submit_many(0, 10, "a", 100_000);
    sim.remove_home();
    sim.run_ms(1_000);
    assert_eq!(sim.starts.len(), 2);
    assert!(sim.ended.is_empty());
    assert!(sim.placer.is_idle());
}

// Another host takes over this host's backends. The tasks waiting here must end as
// not run, since this placer no longer owns the slots.
#[test]
fn view_share_lost() {
    let mut sim = Simulation::new(servers(1, 1));
    sim.submit_many(0, 3, "a", 100_000);
    let mut other = view(&[("h0", 1), ("h1", 1)]);
    if let Some(host) = other.hosts.get_mut("h0") {
        host.state = HostState::Leaving;
    }
    sim.set_view(other);
    assert_eq!(sim.count_outcomes(&NO_BACKEND), 2);
    sim.run_ms(200);
    assert_eq!(sim.count_done(), 1);
    sim.set_view(view(&[("h0", 1)]));
    sim.submit_many(10, 1, "a", 100_000);
    sim.run_ms(200);
    assert_eq!(sim.count_done(), 2);
}

#[test]
fn stop_finishes_queued_tasks() {
    let mut sim = Simulation::new(servers(1, 1));
    sim.submit_many(0, 3, "a", 100_000);
    sim.placer.stop();
    sim.submit_many(10, 1, "a", 100_000);
    assert_eq!(sim.outcome(10), Some(&Outcome::NotRun(Cause::Stopping)));
    assert!(!sim.placer.is_idle());
    sim.run_ms(1_000);
    assert_eq!(sim.count_done(), 3);
    assert!(sim.placer.is_idle());
}

#[test]
fn order_repeated_key_ignored() {
    let mut sim = Simulation::new(servers(1, 4));
    sim.submit_many(0, 1, "a", 100_000);
    sim.submit_many(0, 1, "a", 100_000);
    sim.run_ms(1_000);
    assert_eq!((sim.starts.len(), sim.ended.len()), (1, 1));
    assert_eq!(sim.starts[0].team.as_ref(), "a");
    assert_eq!(home(), sim.view.me);
}
