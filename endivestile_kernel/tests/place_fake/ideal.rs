//! What a clairvoyant would have done with the same arrivals.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::trace::Arrival;

/// Returns response times by list schedule: in the order of arrival, each task on
/// the slot that finishes it earliest, true run times known. A yardstick, not
/// the optimum.
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
