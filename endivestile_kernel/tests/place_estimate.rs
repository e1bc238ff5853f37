//! Accuracy of the expected end of a task.

mod place_fake;

use endivestile_kernel::{Outcome, Time};
use place_fake::trace::{SERVERS, SLOTS, factors, trace};
use place_fake::{Mode, Simulation, new_order, servers};
use test_case::test_case;

#[test_case(30)]
#[test_case(80)]
#[test_case(95)]
#[test_case(130)]
fn expected_against_measured(load: u32) {
    let trace = trace(load, 30, 9);
    let mut sim = Simulation::new(servers(SERVERS, SLOTS));
    for (at, factor) in factors().into_iter().enumerate() {
        sim.set_mode(&format!("b{at:04}"), Mode::Runs(factor));
    }
    let mut expected = Vec::new();
    for (run, task) in trace.iter().enumerate() {
        sim.run_until(Time::from_micros(task.at_us));
        let order = new_order(sim.now, run as u64, "a", task.size_us);
        expected.push(sim.placer.expected_end(sim.now, &order.task).expect("usable"));
        sim.submit(order);
    }
    sim.run_ms(120_000);
    let (mut expected_us, mut took) = (0.0, 0.0);
    for (at, key, outcome) in &sim.ended {
        let task = trace[key.run as usize];
        if matches!(outcome, Outcome::Done(_)) && task.at_us > 5_000_000 {
            expected_us += (expected[key.run as usize].as_micros() - task.at_us) as f64;
            took += (at.as_micros() - task.at_us) as f64;
        }
    }
    println!("{load}%: expected over measured mean {:.2}", expected_us / took);
    assert!((0.7..1.4).contains(&(expected_us / took)), "{}", expected_us / took);
}
