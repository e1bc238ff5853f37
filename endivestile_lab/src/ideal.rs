//! Response times of an ideal schedule, the baseline of experiments.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::Arrival;

/// Slots of equal speed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotGroup {
    /// Number of slots.
    pub slots: usize,
    /// Speed, as a factor of that of a machine of speed 1.
    pub speed: f64,
}

/// Slots of equal speed, and when each of them is free.
struct GroupState {
    speed: f64,
    /// End of each slot's last task, in microseconds; the earliest is on top.
    free_us: BinaryHeap<Reverse<u64>>,
}

/// Returns the response time of each submission under a list schedule, in milliseconds.
///
/// Submissions are scheduled in order of arrival, their tasks longest first. Each task gets
/// the slot on which it finishes first, by its true run time and without the cost of messages.
/// This is a baseline and not the optimum: a schedule that lets short tasks overtake can have
/// better percentiles.
pub fn ideal_ms(arrivals: &[Arrival], slot_groups: &[SlotGroup]) -> Vec<f64> {
    let mut states: Vec<GroupState> = slot_groups.iter().map(idle_state).collect();
    arrivals.iter().map(|arrival| schedule_ms(arrival, &mut states)).collect()
}

/// Returns the state of a group whose slots are all free.
fn idle_state(group: &SlotGroup) -> GroupState {
    GroupState { speed: group.speed, free_us: vec![Reverse(0); group.slots].into() }
}

/// Schedules all tasks of a submission; returns its response time.
fn schedule_ms(arrival: &Arrival, states: &mut [GroupState]) -> f64 {
    let mut tasks_ms = arrival.tasks_ms.clone();
    tasks_ms.sort_by(|a, b| b.total_cmp(a));
    let ends = tasks_ms.into_iter().map(|ms| place(arrival.at_us, ms, states));
    let last_us = ends.max().unwrap_or(arrival.at_us);
    (last_us - arrival.at_us) as f64 / 1_000.0
}

/// Assigns a task to the slot on which it finishes first; returns its end in microseconds.
fn place(at_us: u64, ms: f64, states: &mut [GroupState]) -> u64 {
    let end = |state: &GroupState| {
        let Reverse(free_at) = state.free_us.peek()?;
        Some((*free_at).max(at_us) + (ms * 1_000.0 / state.speed) as u64)
    };
    let best = states.iter_mut().filter_map(|state| Some((end(state)?, state)));
    let Some((end_us, state)) = best.min_by_key(|(end_us, _)| *end_us) else { return u64::MAX };
    state.free_us.pop();
    state.free_us.push(Reverse(end_us));
    end_us
}
