//! Offered load above capacity, with realistic deadlines.

mod place_fake;

use endivestile_kernel::{Outcome, Time};
use place_fake::trace::{SERVERS, SLOTS, factors, trace};
use place_fake::{Mode, Simulation, new_order, servers};
use test_case::test_case;

const DURATION_S: u64 = 30;
const DEADLINE_MS: u64 = 2_000;

fn simulation() -> Simulation {
    let mut sim = Simulation::new(servers(SERVERS, SLOTS));
    for (at, factor) in factors().into_iter().enumerate() {
        sim.set_mode(&format!("b{at:04}"), Mode::Runs(factor));
    }
    sim
}

// The load exceeds the capacity. If tasks started that cannot finish in time,
// nearly all callers would wait without getting an answer.
#[test_case(110)]
#[test_case(150)]
#[test_case(300)]
fn overload_goodput(load: u32) {
    let trace = trace(load, DURATION_S, 5);
    let mut sim = simulation();
    let mut given_up = 0;
    for (run, task) in trace.iter().enumerate() {
        // The home drops tasks that have not ended by their deadline.
        while given_up < run && trace[given_up].at_us + DEADLINE_MS * 1_000 <= task.at_us {
            sim.run_until(Time::from_micros(trace[given_up].at_us).after_ms(DEADLINE_MS));
            sim.drop_task(given_up as u64);
            given_up += 1;
        }
        sim.run_until(Time::from_micros(task.at_us));
        let mut order = new_order(sim.now, run as u64, "a", task.size_us);
        order.deadline = sim.now.after_ms(DEADLINE_MS);
        sim.submit(order);
    }
    sim.run_ms(60_000);
    let (mut work, mut refused) = (0, Vec::new());
    for (at, key, outcome) in &sim.ended {
        let task = trace[key.run as usize];
        let took = at.as_micros() - task.at_us;
        match outcome {
            Outcome::Done(_) if took <= DEADLINE_MS * 1_000 => work += task.size_us,
            Outcome::Done(_) => {}
            _ => refused.push(took / 1_000),
        }
    }
    refused.sort_unstable();
    let rate: f64 = factors().iter().map(|factor| f64::from(SLOTS) / factor).sum();
    let goodput = work as f64 / (rate * DURATION_S as f64 * 1e6) * 100.0;
    let p99 = refused[refused.len() * 99 / 100];
    let (count, late) = (trace.len(), sim.aborted.len());
    println!(
        "{load}%: goodput {goodput:.1}% of capacity, of {count} {late} late, {} refused, p50 {} ms, p99 {p99} ms",
        refused.len(),
        refused[refused.len() / 2]
    );
    assert!(goodput >= 85.0, "{goodput}");
}

// One team floods the pool while another sends 10% of its capacity. The response
// times of the other team may only rise because the fast backends are busy.
#[test]
fn overload_team_under_share() {
    let mut table = Vec::new();
    for flood in [70, 300] {
        let (floods, own) = (trace(flood, DURATION_S, 5), trace(10, DURATION_S, 6));
        let mut all: Vec<_> = floods.iter().map(|task| (task, "a")).collect();
        all.extend(own.iter().map(|task| (task, "b")));
        all.sort_by_key(|(task, _)| task.at_us);
        let mut sim = simulation();
        for (run, (task, team)) in all.iter().enumerate() {
            sim.run_until(Time::from_micros(task.at_us));
            let mut order = new_order(sim.now, run as u64, team, task.size_us);
            order.deadline = sim.now.after_ms(20_000);
            sim.submit(order);
        }
        sim.run_ms(60_000);
        let ended = sim.ended.iter().filter(|(_, key, _)| all[key.run as usize].1 == "b");
        let (done, refused): (Vec<_>, Vec<_>) =
            ended.partition(|(_, _, outcome)| matches!(outcome, Outcome::Done(_)));
        let took = |(at, key, _): &&(Time, _, _)| {
            let key: &endivestile_kernel::TaskKey = key;
            at.as_micros() - all[key.run as usize].0.at_us
        };
        let mut times: Vec<u64> = done.iter().map(took).collect();
        times.sort_unstable();
        let [p50, p99] = [50, 99].map(|part| times[times.len() * part / 100] / 1_000);
        println!("flood {flood}%: {} refused, p50 {p50} ms, p99 {p99} ms", refused.len());
        assert!(refused.is_empty());
        table.push(p99);
    }
    assert!(table[1] <= table[0] * 2, "p99 {} ms, without the flood {} ms", table[1], table[0]);
}
