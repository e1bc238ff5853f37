//! What a policy sees when it chooses a back end.

use super::pool::Pool;
use super::resources::Resources;
use crate::Time;

/// Weight of the waiting of others against a slow start, while no slot is to spare.
const QUEUE_COST_WEIGHT: f64 = 4.0;

/// What a policy may know of the task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskProfile {
    /// Natural logarithm of its believed size.
    pub(crate) ln_size: f64,
    /// Until when it waits for a faster back end, once it does.
    pub(crate) wait_until: Option<Time>,
    /// Whether a smaller task of its team waits right behind it.
    pub(crate) smaller_waits: bool,
}

/// A choice of a back end for one task, as a policy sees it.
///
/// Back ends are numbered from 0 to [`PolicyInput::count`] in no particular order.
#[derive(Debug)]
pub struct PolicyInput<'a> {
    pool: &'a Pool,
    demand: Resources,
    fastest_free: Option<usize>,
    now: Time,
    task: TaskProfile,
}

impl<'a> PolicyInput<'a> {
    /// Offers a task at an instant; `near` is the fastest back end with room.
    pub(crate) const fn new(
        pool: &'a Pool,
        demand: Resources,
        fastest_free: Option<usize>,
        now: Time,
        task: TaskProfile,
    ) -> Self {
        Self { pool, demand, fastest_free, now, task }
    }

    /// Returns the number of back ends.
    pub fn count(&self) -> usize {
        self.pool.endpoints.len()
    }

    /// Returns whether a back end has room for the task now.
    pub fn is_free(&self, at: usize) -> bool {
        if self.pool.runs_on_workers() {
            return self.pool.free_tree.free(at).covers(&self.demand);
        }
        self.pool.endpoints[at].free_key.is_some()
    }

    /// Returns the first back end with room from `from` on, around to the start.
    pub fn next_free(&self, from: usize) -> Option<usize> {
        if self.pool.runs_on_workers() {
            let tree = &self.pool.free_tree;
            return tree.find(&self.demand, from).or_else(|| tree.find(&self.demand, 0));
        }
        let count = self.count();
        (0..count).map(|step| (from + step) % count).find(|at| self.is_free(*at))
    }

    /// Returns the back end after the one that was chosen last.
    pub fn cursor(&self) -> usize {
        self.pool.cursor
    }

    /// Returns the tasks that this placer runs on a back end.
    pub fn outstanding(&self, at: usize) -> u32 {
        self.pool.endpoints[at].running
    }

    /// Returns the back end with room that is expected to be the fastest, and
    /// among equals the one with fewer tasks on another rack than the job's last.
    pub fn fastest(&self) -> Option<usize> {
        self.fastest_free
    }

    /// Returns whether taking this free back end is better than waiting for a
    /// faster one, for the task and for those behind it.
    ///
    /// While a task would run here, each faster slot can start and finish as
    /// many as fit into that time, less the one it is busy with on average. A
    /// task behind as many others would be finished at the same time by waiting.
    /// But each task that waits also delays those that come after it for as long
    /// as the faster slots stay busy: the nearer arrivals are to what the faster
    /// slots can carry, the fewer may wait, and none once they carry no more.
    ///
    /// Where arrivals need all slots and a smaller task waits right behind, that
    /// one takes the slow slot: it loses less by that.
    ///
    /// A task that has already waited for as long as it would run here waits no
    /// more: the faster slots are not given back as expected.
    pub fn beats_waiting(&self, at: usize) -> bool {
        let size = self.task.ln_size.exp();
        let typical = self.pool.typical_us(at) * size;
        if self.task.wait_until.is_some_and(|until| until <= self.now) {
            return true;
        }
        let (units, rate) = self.pool.bands.below(self.pool.endpoints[at].band);
        if units == 0.0 {
            return true;
        }
        let fast_rate = rate / self.pool.mean_ratio;
        let work_share = self.pool.work_by_size.fraction_from(self.task.ln_size);
        let arrival_rate = self.pool.arrivals.rate(self.now);
        let spare_share = 1.0 - arrival_rate * work_share / fast_rate;
        let total_rate = self.pool.bands.total().1 / self.pool.mean_ratio;
        let idle_share = ((total_rate - arrival_rate) / (total_rate - fast_rate)).clamp(0.0, 1.0);
        if idle_share == 0.0 && self.task.smaller_waits {
            return false;
        }
        let break_even = (typical * rate - units * size).max(0.0);
        self.pool.waiting_units as f64 * work_share
            > max_waiting(break_even, spare_share, idle_share)
    }
}

/// Returns how many may wait for faster slots, given the number at which a task
/// is finished at the same time either way, and the part of the faster slots
/// that arrivals leave.
///
/// With slots to spare the queue empties by itself, and each task that does not
/// wait shortens it only until then: a part of `equal` may wait. Without any,
/// the queue is a random walk up to the limit; its length weighed against the
/// slow starts at the limit gives the square root. In between, the positive root
/// of one equation goes over from one to the other.
///
/// `idle` is the part of the slow slots that arrivals leave: where they need all
/// of them, waiting only wastes capacity.
fn max_waiting(break_even: f64, spare_share: f64, idle_share: f64) -> f64 {
    let half = break_even * spare_share / 2.0;
    (half * half + QUEUE_COST_WEIGHT * idle_share * break_even).sqrt() + half
}
