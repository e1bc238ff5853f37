//! Traces and the ideal that experiments are held against.

use endivestile_lab::{Burst, Item, Kind, Load, Mix, Park, ideal_ms, median, percentile, trace};
use test_case::test_case;

const MIX: Mix = Mix { idempotent: 45, once: 45, long: 10, teams: [2, 1, 1] };

fn load(seed: u64, burst: Option<Burst>) -> Load {
    Load { seed, work: 400.0, span_us: 60_000_000, burst }
}

fn item(at_ms: u64, tasks_ms: &[f64]) -> Item {
    Item { at_us: at_ms * 1_000, team: 0, kind: Kind::Job, tasks_ms: tasks_ms.to_vec() }
}

#[test_case(&[item(0, &[100.0])], &[50.0]; "takes the fast slot")]
#[test_case(&[item(0, &[100.0, 100.0])], &[100.0]; "takes the slow slot when the fast one is no better")]
#[test_case(&[item(0, &[100.0]), item(0, &[30.0])], &[50.0, 30.0]; "takes a slow free slot")]
#[test_case(&[item(0, &[100.0]), item(45, &[100.0])], &[50.0, 55.0]; "waits for the fast slot")]
#[test_case(&[item(0, &[10.0, 100.0])], &[50.0]; "longest first")]
fn ideal_two_slots(items: &[Item], expected: &[f64]) {
    let parks = [Park { slots: 1, speed: 2.0 }, Park { slots: 1, speed: 1.0 }];
    assert_eq!(ideal_ms(items, &parks), expected);
}

#[test]
fn trace_same_seed() {
    assert_eq!(trace(&load(1, None), &MIX), trace(&load(1, None), &MIX));
    assert_ne!(trace(&load(1, None), &MIX), trace(&load(2, None), &MIX));
}

#[test]
fn trace_work_and_mix() {
    let items = trace(&load(1, None), &MIX);
    let work: f64 = items.iter().flat_map(|item| &item.tasks_ms).sum();
    let rate = work / 60_000.0;
    assert!((300.0..500.0).contains(&rate), "work per time {rate}");
    let jobs = items.iter().filter(|item| item.kind == Kind::Job).count();
    let share = jobs as f64 / items.len() as f64;
    assert!((0.07..0.13).contains(&share), "share of jobs {share}");
    assert!(items.iter().all(|item| (1..=200).contains(&item.tasks_ms.len())));
    assert!(items.is_sorted_by_key(|item| item.at_us));
}

#[test]
fn trace_burst() {
    let burst = Burst { from_us: 20_000_000, to_us: 40_000_000, factor: 5.0 };
    let items = trace(&load(1, Some(burst)), &MIX);
    let inside = items.iter().filter(|i| (20_000_000..40_000_000).contains(&i.at_us)).count();
    let outside = items.len() - inside;
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
