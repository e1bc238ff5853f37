//! What a policy sees when it chooses a back end.

use super::pool::Pool;
use super::room::Room;
use crate::Time;

/// A choice of a back end for one task, as a policy sees it.
///
/// Back ends are numbered from 0 to [`Choice::count`] in no particular order.
#[derive(Debug)]
pub struct Choice<'a> {
    pool: &'a Pool,
    want: Room,
    near: Option<usize>,
    now: Time,
    queued: Time,
}

impl<'a> Choice<'a> {
    /// Offers a task queued at the second of `times`, at the first of them.
    pub(crate) const fn new(
        pool: &'a Pool,
        want: Room,
        near: Option<usize>,
        times: (Time, Time),
    ) -> Self {
        Self { pool, want, near, now: times.0, queued: times.1 }
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
    /// A task that has already waited as long as it would run here waits no
    /// more: the faster slots are not given back as expected.
    pub fn worthwhile(&self, at: usize) -> bool {
        let typical = self.pool.typical_us(at);
        if self.now.since(self.queued).as_micros() as f64 >= typical {
            return true;
        }
        let (units, rate) = self.pool.bands.below(self.pool.seats[at].band);
        if units == 0.0 {
            return true;
        }
        let carried = rate / self.pool.scale;
        let spare = 1.0 - self.pool.arrivals.rate(self.now) / carried;
        self.pool.wanted as f64 > (typical * rate - units) * spare.max(0.0)
    }
}
