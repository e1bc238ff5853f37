//! Reference schedule with known run times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::trace::Arrival;

/// Returns the response times of a list schedule: in order of arrival, each task
/// runs on the slot that finishes it earliest, with actual run times known in
/// advance. This is a yardstick, not the optimum.
pub fn list_schedule(trace: &[Arrival], factors: &[f64], slots: u32) -> Vec<u64> {
    let mut free: Vec<BinaryHeap<Reverse<u64>>> =
        factors.iter().map(|_| (0..slots).map(|_| Reverse(0)).collect()).collect();
    let mut times = Vec::with_capacity(trace.len());
    for task in trace {
        let finish = |at: usize| {
            let start = free[at].peek().map_or(0, |Reverse(start)| (*start).max(task.at_us));
            start + (task.size_us as f64 * factors[at]) as u64
        };
        let best = (0..factors.len()).min_by_key(|at| finish(*at)).unwrap_or(0);
        let end = finish(best);
        free[best].pop();
        free[best].push(Reverse(end));
        times.push(end - task.at_us);
    }
    times
}
