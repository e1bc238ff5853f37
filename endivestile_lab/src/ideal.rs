//! The best that the backend servers could have given, as a yardstick.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Arrival;

/// Slots of one speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotGroup {
    /// Number of slots.
    pub slots: usize,
    /// Speed.
    pub speed: f64,
}

/// Slots of one speed and when each is free, in microseconds.
struct Lane {
    speed: f64,
    free: BinaryHeap<Reverse<u64>>,
}

/// Returns the response time of each submission under a list schedule, in milliseconds.
///
/// It takes submissions as they arrive, their tasks longest first, and gives
/// each task the slot on which it finishes first, by its true run time and at
/// no cost of messages. That is a yardstick and not the optimum: a schedule that
/// lets short work overtake can have better percentiles.
pub fn ideal_ms(arrivals: &[Arrival], slot_groups: &[SlotGroup]) -> Vec<f64> {
    let mut lanes: Vec<Lane> = slot_groups.iter().map(lane).collect();
    arrivals.iter().map(|arrival| respond_ms(arrival, &mut lanes)).collect()
}

fn lane(group: &SlotGroup) -> Lane {
    Lane { speed: group.speed, free: vec![Reverse(0); group.slots].into() }
}

fn respond_ms(arrival: &Arrival, lanes: &mut [Lane]) -> f64 {
    let mut tasks_ms = arrival.tasks_ms.clone();
    tasks_ms.sort_by(|a, b| b.total_cmp(a));
    let ends = tasks_ms.into_iter().map(|ms| place(arrival.at_us, ms, lanes));
    let last_us = ends.max().unwrap_or(arrival.at_us);
    (last_us - arrival.at_us) as f64 / 1_000.0
}

/// Gives a task the slot on which it finishes first; returns when, in microseconds.
fn place(at_us: u64, ms: f64, lanes: &mut [Lane]) -> u64 {
    let end = |lane: &Lane| {
        let Reverse(free) = lane.free.peek()?;
        Some((*free).max(at_us) + (ms * 1_000.0 / lane.speed) as u64)
    };
    let best = lanes.iter_mut().filter_map(|lane| Some((end(lane)?, lane)));
    let Some((end_us, lane)) = best.min_by_key(|(end_us, _)| *end_us) else { return u64::MAX };
    lane.free.pop();
    lane.free.push(Reverse(end_us));
    end_us
}
