//! Arrival traces, the ideal schedule and percentiles.

use endivestile_lab::{
    Arrival, Burst, Kind, Load, Mix, SlotGroup, generate_trace, ideal_ms, median, percentile,
};
use test_case::test_case;

const MIX: Mix =
    Mix { idempotent: 45, non_idempotent: 45, long_permille: 10, team_weights: [2, 1, 1] };

fn load(seed: u64, burst: Option<Burst>) -> Load {
    Load { seed, work_rate: 400.0, span_us: 60_000_000, burst }
}

fn arrival(at_ms: u64, tasks_ms: &[f64]) -> Arrival {
    Arrival { at_us: at_ms * 1_000, team: 0, kind: Kind::Job, tasks_ms: tasks_ms.to_vec() }
}

#[test_case(&[arrival(0, &[100.0])], &[50.0]; "takes the fast slot")]
#[test_case(&[arrival(0, &[100.0, 100.0])], &[100.0]; "takes the slow slot when the fast one is no better")]
#[test_case(&[arrival(0, &[100.0]), arrival(0, &[30.0])], &[50.0, 30.0]; "takes a slow free slot")]
#[test_case(&[arrival(0, &[100.0]), arrival(45, &[100.0])], &[50.0, 55.0]; "waits for the fast slot")]
#[test_case(&[arrival(0, &[10.0, 100.0])], &[50.0]; "longest first")]
fn ideal_two_slots(arrivals: &[Arrival], expected: &[f64]) {
    let slot_groups = [SlotGroup { slots: 1, speed: 2.0 }, SlotGroup { slots: 1, speed: 1.0 }];
    assert_eq!(ideal_ms(arrivals, &slot_groups), expected);
}

#[test]
fn trace_same_seed() {
    assert_eq!(generate_trace(&load(1, None), &MIX), generate_trace(&load(1, None), &MIX));
    assert_ne!(generate_trace(&load(1, None), &MIX), generate_trace(&load(2, None), &MIX));
}

#[test]
fn trace_work_and_mix() {
    let arrivals = generate_trace(&load(1, None), &MIX);
    let work: f64 = arrivals.iter().flat_map(|arrival| &arrival.tasks_ms).sum();
    let rate = work / 60_000.0;
    assert!((300.0..500.0).contains(&rate), "work per time {rate}");
    let jobs = arrivals.iter().filter(|arrival| arrival.kind == Kind::Job).count();
    let share = jobs as f64 / arrivals.len() as f64;
    assert!((0.07..0.13).contains(&share), "share of jobs {share}");
    assert!(arrivals.iter().all(|arrival| (1..=200).contains(&arrival.tasks_ms.len())));
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at_us));
}

#[test]
fn trace_burst() {
    let burst = Burst { from_us: 20_000_000, to_us: 40_000_000, factor: 5.0 };
    let arrivals = generate_trace(&load(1, Some(burst)), &MIX);
    let inside = arrivals.iter().filter(|i| (20_000_000..40_000_000).contains(&i.at_us)).count();
    let outside = arrivals.len() - inside;
    let factor = 2.0 * inside as f64 / outside as f64;
    assert!((4.0..6.0).contains(&factor), "factor {factor}");
}

#[test]
fn percentile_nearest_rank() {
    let values = [5.0, 1.0, 4.0, 2.0, 3.0];
    assert_eq!(median(&values), 3.0);
    assert_eq!(percentile(&values, 99.0), 5.0);
    assert_eq!(percentile(&values, 20.0), 1.0);
    assert_eq!(percentile(&[], 50.0), 0.0);
}
