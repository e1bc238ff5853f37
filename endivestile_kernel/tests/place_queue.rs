//! Order of waiting tasks, deadlines, limits and cancellations.

mod place_fake;

use endivestile_config::model::{Name, Team};
use endivestile_kernel::{Cause, HostState, Outcome, Peer, PlaceEffect, Placer, PlacerSetup, Time};
use place_fake::{Fake, Mode, home, order, servers, view};

const FULL: Outcome = Outcome::NotRun(Cause::Full);
const LIMIT: Outcome = Outcome::NotRun(Cause::Limit);
const DEADLINE: Outcome = Outcome::NotRun(Cause::Deadline);
const NO_BACKEND: Outcome = Outcome::NotRun(Cause::NoBackend);

fn names(fake: &Fake, from: u64) -> Vec<u64> {
    fake.starts.iter().map(|start| start.key.run).filter(|run| *run >= from).collect()
}

// One team floods the queue. Another one's single request would wait behind
// all of the flood and be late at the gate.
#[test]
fn queue_flood_does_not_delay_others() {
    let mut fake = Fake::new(servers(1, 2));
    fake.orders(0, 1_000, "a", 100_000);
    fake.run_ms(1_000);
    fake.orders(5_000, 1, "b", 100_000);
    fake.run_ms(210);
    assert!(matches!(fake.outcome(5_000), Some(Outcome::Done(_))));
}

// Two teams keep more work waiting than fits. Their shares must follow their
// weights, or the heavier payer waits longer than was agreed.
#[test]
fn queue_shares_by_weight() {
    let mut config = servers(2, 4);
    config.teams.insert(Name::from("b"), Team { limit: 1_000_000, weight: 3 });
    let mut fake = Fake::new(config);
    fake.orders(0, 2_000, "a", 100_000);
    fake.orders(10_000, 2_000, "b", 100_000);
    fake.run_ms(20_000);
    let of = |name: &str| fake.starts.iter().filter(|s| s.team.as_ref() == name).count() as f64;
    let ratio = of("b") / of("a");
    assert!((2.8..3.2).contains(&ratio), "{ratio}");
}

#[test]
fn queue_older_then_fewer_left() {
    let mut fake = Fake::new(servers(1, 1));
    fake.orders(0, 1, "a", 50_000);
    let now = fake.now;
    for (run, arrived, left) in [(11, 9, 1), (12, 5, 40), (13, 5, 2), (14, 1, 200)] {
        let mut order = order(now, run, "a", 50_000);
        order.arrived = Time::from_micros(arrived);
        order.remaining = left;
        fake.order(order);
    }
    fake.run_ms(1_000);
    assert_eq!(names(&fake, 10), [14, 13, 12, 11]);
}

// A task waits although it can't be finished in time any more. Its caller hears
// of that only at the deadline, too late to go elsewhere.
#[test]
fn queue_gives_up_at_once() {
    let mut fake = Fake::new(servers(1, 1));
    for run in 0..20 {
        fake.orders(100 + run, 1, "a", 100_000);
        fake.run_ms(100);
    }
    fake.mode("b0000", Mode::Works(10.0));
    fake.orders(0, 1, "a", 100_000);
    let mut late = order(fake.now, 1, "a", 100_000);
    late.deadline = fake.now.after_ms(300);
    let deadline = late.deadline;
    fake.order(late);
    fake.run_ms(2_000);
    assert_eq!(fake.outcome(1), Some(&DEADLINE));
    let at = fake.ended.iter().find(|(_, key, _)| key.run == 1).map(|(at, ..)| *at);
    let spare = deadline.since(at.expect("ended")).as_millis();
    assert!((80..=120).contains(&spare), "given up {spare} ms before the deadline");
}

// The queue holds seconds of work and a task has less time than that. It is
// refused when it comes, not after it has waited in vain.
#[test]
fn queue_refuses_hopeless_arrival() {
    let mut fake = Fake::new(servers(1, 1));
    fake.orders(0, 60, "a", 100_000);
    fake.run_ms(2_000);
    let mut hopeless = order(fake.now, 1_000, "a", 100_000);
    hopeless.deadline = fake.now.after_ms(1_000);
    fake.order(hopeless);
    assert_eq!(fake.outcome(1_000), Some(&DEADLINE));
    assert_eq!(fake.ended.last().map(|(at, ..)| *at), Some(fake.now));
}

// Early tasks were long, so that every later one looks hopeless. Refusing all
// of them would teach nothing, and the service would stay refused for ever.
#[test]
fn queue_wrong_belief_is_corrected() {
    let mut fake = Fake::new(servers(1, 4));
    fake.orders(0, 40, "a", 5_000_000);
    fake.run_ms(60_000);
    let mut done = 0;
    for run in 0..1_000 {
        let mut order = order(fake.now, 100 + run, "a", 50_000);
        order.deadline = fake.now.after_ms(1_000);
        fake.order(order);
        fake.run_ms(100);
        done += usize::from(matches!(fake.outcome(100 + run), Some(Outcome::Done(_))));
    }
    assert!(done > 700, "{done} of 1000");
}

#[test]
fn queue_full_refuses_the_flood() {
    let mut config = servers(1, 1);
    config.rules.queue_limit = 10;
    let mut fake = Fake::new(config);
    fake.orders(0, 50, "a", 100_000);
    assert_eq!(fake.outcomes(&FULL), 39);
    fake.orders(1_000, 5, "b", 100_000);
    assert!((1_000..1_005).all(|run| fake.outcome(run).is_none()));
    assert_eq!(fake.outcomes(&FULL), 44);
    fake.run_ms(5_000);
    assert_eq!(fake.done(), 11);
}

// A team sends more than it may hold to one host. The parts of all hosts must
// add up to the limit, neither more nor less, without a word between them.
#[test]
fn limit_parts_add_up() {
    let hosts = [("h0", 1), ("h1", 2), ("h2", 4), ("h3", 1)];
    for limit in [1, 3, 10, 1_001] {
        let mut held = 0;
        for (name, _) in hosts {
            let mut config = servers(64, 1);
            config.teams.insert(Name::from("a"), Team { limit, weight: 1 });
            let me = Peer::new(name, 1);
            let mut placer = Placer::new(PlacerSetup { me: me.clone(), seed: 1 });
            let mut out = Vec::new();
            placer.configure(Time::ZERO, &config, &view(&hosts), &mut out);
            for run in 0..2_000 {
                placer.handle_order(Time::ZERO, &me, order(Time::ZERO, run, "a", 1_000), &mut out);
            }
            let refused = |effect: &&PlaceEffect| matches!(effect, PlaceEffect::Ended { .. });
            held += 2_000 - out.iter().filter(refused).count() as u32;
        }
        assert_eq!(held, limit);
    }
}

// Operators stop the last host. Until it is gone it still has all back ends, and
// refusing everybody for a limit would cut requests off.
#[test]
fn limit_last_host_leaving() {
    let mut fake = Fake::new(servers(1, 4));
    let mut last = view(&[("h0", 1)]);
    if let Some(host) = last.hosts.get_mut("h0") {
        host.state = HostState::Leaving;
    }
    fake.see(last);
    fake.orders(0, 3, "a", 100_000);
    assert_eq!(fake.starts.len(), 3);
}

#[test]
fn limit_counts_waiting_and_running() {
    let mut config = servers(1, 1);
    config.teams.insert(Name::from("a"), Team { limit: 3, weight: 1 });
    let mut fake = Fake::new(config);
    fake.orders(0, 5, "a", 100_000);
    assert_eq!(fake.outcomes(&LIMIT), 2);
    fake.drop_task(2);
    fake.orders(10, 2, "a", 100_000);
    assert_eq!(fake.outcomes(&LIMIT), 3);
    fake.run_ms(1_000);
    fake.orders(20, 3, "a", 100_000);
    assert_eq!(fake.outcomes(&LIMIT), 3);
}

// Callers cancel ten thousand tasks at once. Those that wait vanish without a
// start; those that run are stopped, and their slots come back once only.
#[test]
fn drop_wave() {
    let mut fake = Fake::new(servers(10, 4));
    fake.orders(0, 10_000, "a", 100_000);
    for run in (0..10_000).rev() {
        fake.drop_task(run);
    }
    assert_eq!(fake.aborted.len(), 40);
    fake.run_ms(10);
    assert!(fake.placer.is_idle());
    assert_eq!(fake.starts.len(), 40);
    assert!(fake.ended.is_empty());
    fake.orders(20_000, 100, "a", 100_000);
    assert_eq!(fake.starts.len(), 80);
}

// A home dies with tasks waiting here. Nobody wants them any more: starting
// them would take slots from the living.
#[test]
fn home_gone_forgets_waiting() {
    let mut fake = Fake::new(servers(1, 2));
    fake.orders(0, 10, "a", 100_000);
    fake.home_gone();
    fake.run_ms(1_000);
    assert_eq!(fake.starts.len(), 2);
    assert!(fake.ended.is_empty());
    assert!(fake.placer.is_idle());
}

// Another host takes over this host's back ends. The tasks that wait here would
// wait for slots that are counted elsewhere now.
#[test]
fn view_share_lost() {
    let mut fake = Fake::new(servers(1, 1));
    fake.orders(0, 3, "a", 100_000);
    let mut other = view(&[("h0", 1), ("h1", 1)]);
    if let Some(host) = other.hosts.get_mut("h0") {
        host.state = HostState::Leaving;
    }
    fake.see(other);
    assert_eq!(fake.outcomes(&NO_BACKEND), 2);
    fake.run_ms(200);
    assert_eq!(fake.done(), 1);
    fake.see(view(&[("h0", 1)]));
    fake.orders(10, 1, "a", 100_000);
    fake.run_ms(200);
    assert_eq!(fake.done(), 2);
}

#[test]
fn stop_finishes_what_is_held() {
    let mut fake = Fake::new(servers(1, 1));
    fake.orders(0, 3, "a", 100_000);
    fake.placer.stop();
    fake.orders(10, 1, "a", 100_000);
    assert_eq!(fake.outcome(10), Some(&Outcome::NotRun(Cause::Stopping)));
    assert!(!fake.placer.is_idle());
    fake.run_ms(1_000);
    assert_eq!(fake.done(), 3);
    assert!(fake.placer.is_idle());
}

#[test]
fn order_repeated_key_ignored() {
    let mut fake = Fake::new(servers(1, 4));
    fake.orders(0, 1, "a", 100_000);
    fake.orders(0, 1, "a", 100_000);
    fake.run_ms(1_000);
    assert_eq!((fake.starts.len(), fake.ended.len()), (1, 1));
    assert_eq!(fake.starts[0].team.as_ref(), "a");
    assert_eq!(home(), fake.view.me);
}
