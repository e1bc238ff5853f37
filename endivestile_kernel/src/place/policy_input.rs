//! What a policy sees when it chooses a back end.

use super::pool::Pool;
use super::resources::Resources;
use crate::Time;

/// Weight of the waiting of others against a slow start, while no slot is to spare.
const WALK: f64 = 4.0;

/// What a policy may know of the task.
#[derive(Debug, Clone, Copy)]
pub(crate) struct TaskProfile {
    /// Natural logarithm of its believed size.
    pub(crate) ln_size: f64,
    /// Until when it waits for a faster back end, once it does.
    pub(crate) patient: Option<Time>,
    /// Whether a smaller task of its team waits right behind it.
    pub(crate) smaller: bool,
}

/// A choice of a back end for one task, as a policy sees it.
///
/// Back ends are numbered from 0 to [`PolicyInput::count`] in no particular order.
#[derive(Debug)]
pub struct PolicyInput<'a> {
    pool: &'a Pool,
    want: Resources,
    near: Option<usize>,
    now: Time,
    offer: TaskProfile,
}

impl<'a> PolicyInput<'a> {
    /// Offers a task at an instant; `near` is the fastest back end with room.
    pub(crate) const fn new(
        pool: &'a Pool,
        want: Resources,
        near: Option<usize>,
        now: Time,
        offer: TaskProfile,
    ) -> Self {
        Self { pool, want, near, now, offer }
    }

    /// Returns the number of back ends.
    pub fn count(&self) -> usize {
        self.pool.seats.len()
    }

    /// Returns whether a back end has room for the task now.
    pub fn free(&self, at: usize) -> bool {
        if self.pool.on_workers() {
            return self.pool.tree.room(at).holds(&self.want);
        }
        self.pool.seats[at].key.is_some()
    }

    /// Returns the first back end with room from `from` on, around to the start.
    pub fn next_free(&self, from: usize) -> Option<usize> {
        if self.pool.on_workers() {
            let tree = &self.pool.tree;
            return tree.find(&self.want, from).or_else(|| tree.find(&self.want, 0));
        }
        let count = self.count();
        (0..count).map(|step| (from + step) % count).find(|at| self.free(*at))
    }

    /// Returns the back end after the one that was chosen last.
    pub fn cursor(&self) -> usize {
        self.pool.cursor
    }

    /// Returns the tasks that this placer runs on a back end.
    pub fn outstanding(&self, at: usize) -> u32 {
        self.pool.seats[at].running
    }

    /// Returns the back end with room that is expected to be the fastest, and
    /// among equals the one with fewer tasks on another rack than the job's last.
    pub fn fastest(&self) -> Option<usize> {
        self.near
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
    pub fn worthwhile(&self, at: usize) -> bool {
        let size = self.offer.ln_size.exp();
        let typical = self.pool.typical_us(at) * size;
        if self.offer.patient.is_some_and(|until| until <= self.now) {
            return true;
        }
        let (units, rate) = self.pool.bands.below(self.pool.seats[at].band);
        if units == 0.0 {
            return true;
        }
        let carried = rate / self.pool.scale;
        let part = self.pool.sizes.part_from(self.offer.ln_size);
        let arriving = self.pool.arrivals.rate(self.now);
        let spare = 1.0 - arriving * part / carried;
        let all = self.pool.bands.total().1 / self.pool.scale;
        let idle = ((all - arriving) / (all - carried)).clamp(0.0, 1.0);
        if idle == 0.0 && self.offer.smaller {
            return false;
        }
        let equal = (typical * rate - units * size).max(0.0);
        self.pool.wanted as f64 * part > patience(equal, spare, idle)
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
fn patience(equal: f64, spare: f64, idle: f64) -> f64 {
    let half = equal * spare / 2.0;
    (half * half + WALK * idle * equal).sqrt() + half
}
