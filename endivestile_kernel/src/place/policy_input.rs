//! Input of a placement policy.

use super::pool::Pool;
use super::resources::Resources;
use crate::Time;

/// Weight of the delay that the queue causes against a start on a slow backend when
/// the faster slots have no spare capacity.
const QUEUE_COST_WEIGHT: f64 = 4.0;

/// The task to place, as far as policies use it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskProfile {
    /// Natural logarithm of its estimated size relative to a typical task.
    pub(crate) ln_size: f64,
    /// Until when it waits for a faster backend; `None` before it has waited for one.
    pub(crate) wait_until: Option<Time>,
    /// Whether a smaller task of the same team waits behind it.
    pub(crate) smaller_waits: bool,
}

/// Input of a placement policy: one task and the backends of its pool.
///
/// Backends are indexed from 0 to [`PolicyInput::count`] in no particular order.
#[derive(Debug)]
pub struct PolicyInput<'a> {
    pool: &'a Pool,
    demand: Resources,
    fastest_free: Option<usize>,
    now: Time,
    task: TaskProfile,
}

impl<'a> PolicyInput<'a> {
    /// Creates the input for a task; `fastest_free` is the fastest backend with free
    /// capacity.
    pub(crate) const fn new(
        pool: &'a Pool,
        demand: Resources,
        fastest_free: Option<usize>,
        now: Time,
        task: TaskProfile,
    ) -> Self {
        Self { pool, demand, fastest_free, now, task }
    }

    /// Returns the number of backends.
    pub fn count(&self) -> usize {
        self.pool.endpoints.len()
    }

    /// Returns whether a backend has enough free capacity for the task.
    pub fn is_free(&self, at: usize) -> bool {
        if self.pool.runs_on_workers() {
            return self.pool.free_tree.free(at).covers(&self.demand);
        }
        self.pool.endpoints[at].free_key.is_some()
    }

    /// Returns the first backend with enough free capacity from index `from` on,
    /// wrapping around.
    pub fn next_free(&self, from: usize) -> Option<usize> {
        if self.pool.runs_on_workers() {
            let tree = &self.pool.free_tree;
            return tree.find(&self.demand, from).or_else(|| tree.find(&self.demand, 0));
        }
        let count = self.count();
        (0..count).map(|step| (from + step) % count).find(|at| self.is_free(*at))
    }

    /// Returns the index after the backend that was chosen last.
    pub fn cursor(&self) -> usize {
        self.pool.cursor
    }

    /// Returns the number of tasks that this placer runs on a backend.
    pub fn outstanding(&self, at: usize) -> u32 {
        self.pool.endpoints[at].running
    }

    /// Returns the backend with free capacity that is expected to be the fastest. Ties
    /// go to the one with fewer tasks, on another rack than the job's last task if
    /// possible.
    pub fn fastest(&self) -> Option<usize> {
        self.fastest_free
    }

    /// Returns whether starting on this free backend is better than waiting for a
    /// faster one, both for the task and for those behind it.
    ///
    /// While the task would run here, the faster slots can start and finish as many
    /// tasks as fit into that time, less the one that each of them is busy with on
    /// average. A task with that many ahead of it would finish at the same time by
    /// waiting. But each waiting task also delays later ones for as long as the faster
    /// slots stay busy. The closer the arrival rate is to the rate of the faster slots,
    /// the fewer tasks may wait, and none once it exceeds that rate.
    ///
    /// When arrivals need all slots and a smaller task waits right behind this one, the
    /// smaller one takes the slow slot because it loses less time there.
    ///
    /// A task that has already waited as long as it would run here stops waiting: the
    /// faster slots do not become free as expected.
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

/// Returns how much work may wait for faster slots.
///
/// `break_even` is the amount at which a task finishes at the same time either way,
/// `spare_share` the share of the faster slots that arrivals leave unused,
/// `idle_share` the same for the slower slots.
///
/// With spare capacity the queue drains by itself, and a task that does not wait
/// shortens it only until then: a fraction of `break_even` may wait. Without any,
/// the queue length is a random walk up to the limit; weighing its length against
/// the slow starts at the limit gives a square root. The positive root of one
/// quadratic equation interpolates between the two cases.
///
/// An `idle_share` of 0 means that arrivals need all slower slots; waiting then
/// only wastes capacity.
fn max_waiting(break_even: f64, spare_share: f64, idle_share: f64) -> f64 {
    let half = break_even * spare_share / 2.0;
    (half * half + QUEUE_COST_WEIGHT * idle_share * break_even).sqrt() + half
}
