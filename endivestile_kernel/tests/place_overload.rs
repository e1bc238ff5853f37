//! More work than the back ends can do, with deadlines that callers really have.

mod place_fake;

use endivestile_kernel::{Outcome, Time};
use place_fake::trace::{SERVERS, SLOTS, factors, trace};
use place_fake::{Fake, Mode, order, servers};
use test_case::test_case;

const SECS: u64 = 30;
const DEADLINE_MS: u64 = 2_000;

fn fake() -> Fake {
    let mut fake = Fake::new(servers(SERVERS, SLOTS));
    for (at, factor) in factors().into_iter().enumerate() {
        fake.mode(&format!("b{at:04}"), Mode::Works(factor));
    }
    fake
}

// The evening's peak exceeds what the back ends can do. If tasks start that
// can't be finished in time, nearly all callers wait and nobody gets an answer.
#[test_case(110)]
#[test_case(150)]
#[test_case(300)]
fn overload_goodput(load: u32) {
    let trace = trace(load, SECS, 5);
    let mut fake = fake();
    let mut given_up = 0;
    for (run, task) in trace.iter().enumerate() {
        // The home drops what has not ended by its deadline.
        while given_up < run && trace[given_up].at_us + DEADLINE_MS * 1_000 <= task.at_us {
            fake.run_until(Time::from_micros(trace[given_up].at_us).after_ms(DEADLINE_MS));
            fake.drop_task(given_up as u64);
            given_up += 1;
        }
        fake.run_until(Time::from_micros(task.at_us));
        let mut order = order(fake.now, run as u64, "a", task.size_us);
        order.deadline = fake.now.after_ms(DEADLINE_MS);
        fake.order(order);
    }
    fake.run_ms(60_000);
    let (mut work, mut refused) = (0, Vec::new());
    for (at, key, outcome) in &fake.ended {
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
    let goodput = work as f64 / (rate * SECS as f64 * 1e6) * 100.0;
    let p99 = refused[refused.len() * 99 / 100];
    let (count, late) = (trace.len(), fake.aborted.len());
    println!(
        "{load}%: goodput {goodput:.1}% of capacity, of {count} {late} late, {} refused, p50 {} ms, p99 {p99} ms",
        refused.len(),
        refused[refused.len() / 2]
    );
    assert!(goodput >= 85.0, "{goodput}");
}

// One team floods while another sends a tenth of the capacity. The other one
// must not notice more than that the fast back ends are busy.
#[test]
fn overload_team_under_share() {
    let mut table = Vec::new();
    for flood in [70, 300] {
        let (floods, own) = (trace(flood, SECS, 5), trace(10, SECS, 6));
        let mut all: Vec<_> = floods.iter().map(|task| (task, "a")).collect();
        all.extend(own.iter().map(|task| (task, "b")));
        all.sort_by_key(|(task, _)| task.at_us);
        let mut fake = fake();
        for (run, (task, team)) in all.iter().enumerate() {
            fake.run_until(Time::from_micros(task.at_us));
            let mut order = order(fake.now, run as u64, team, task.size_us);
            order.deadline = fake.now.after_ms(20_000);
            fake.order(order);
        }
        fake.run_ms(60_000);
        let ended = fake.ended.iter().filter(|(_, key, _)| all[key.run as usize].1 == "b");
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
