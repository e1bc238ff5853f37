//! How well a placer foresees when a task ends.

mod place_fake;

use endivestile_kernel::{Outcome, Time};
use place_fake::trace::{SERVERS, SLOTS, factors, trace};
use place_fake::{Fake, Mode, order, servers};
use test_case::test_case;

#[test_case(30)]
#[test_case(80)]
#[test_case(95)]
#[test_case(130)]
fn expected_against_measured(load: u32) {
    let trace = trace(load, 30, 9);
    let mut fake = Fake::new(servers(SERVERS, SLOTS));
    for (at, factor) in factors().into_iter().enumerate() {
        fake.mode(&format!("b{at:04}"), Mode::Works(factor));
    }
    let mut foreseen = Vec::new();
    for (run, task) in trace.iter().enumerate() {
        fake.run_until(Time::from_micros(task.at_us));
        let order = order(fake.now, run as u64, "a", task.size_us);
        foreseen.push(fake.placer.expected_end(fake.now, &order.task).expect("usable"));
        fake.order(order);
    }
    fake.run_ms(120_000);
    let (mut told, mut took) = (0.0, 0.0);
    for (at, key, outcome) in &fake.ended {
        let task = trace[key.run as usize];
        if matches!(outcome, Outcome::Done(_)) && task.at_us > 5_000_000 {
            told += (foreseen[key.run as usize].as_micros() - task.at_us) as f64;
            took += (at.as_micros() - task.at_us) as f64;
        }
    }
    println!("{load}%: foreseen over measured mean {:.2}", told / took);
    assert!((0.7..1.4).contains(&(told / took)), "{}", told / took);
}
