//! Forecast of a job's completion, by which an owner accepts or rejects it on arrival.
//!
//! Answers demand of 1.9 to 2.4 times the capacity for some seconds. Without it such jobs wait
//! until they are late, and their callers learn of the rejection after seconds. Work is in
//! microseconds of one core at the usual speed, so that work divided by cores is a time.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use crate::Time;

/// History without which nothing is rejected, in milliseconds. After a takeover the rates are
/// unknown, and the queue is that of the former owner's callers.
const MIN_HISTORY_MS: u64 = 500;
/// Time for which tasks must have waited before the measured rate replaces the nominal one, in
/// milliseconds; equals the window of the rates. Before, workers were idle for a part of it.
const MEASURED_AFTER_MS: u64 = 1_000;
/// Share of the healthy capacity that tasks are assumed to use, since two or three large tasks
/// rarely fill a worker.
const USABLE: f64 = 0.8;
/// Lower bound of the rate, as a share of the nominal one. A few seconds in which many runs are
/// lost would otherwise look like no capacity at all.
const MIN_RATE: f64 = 0.4;
/// Margin on the rate for the error of the forecast. Callers' estimates are off by up to 40%,
/// which averages out over a queue.
const MARGIN: f64 = 0.2;
/// Factor on the wait that is predicted for a waiting job. It was accepted by the same forecast
/// and is rejected only if the forecast has become clearly worse.
const WAITING_FACTOR: f64 = 0.5;
/// Ratio between the delays of two classes; the callers' estimates are no more precise.
const CLASS_RATIO: f64 = 1.4;
/// Step to which ranks are rounded, in microseconds; a sixth of the shortest slack of the users'
/// jobs.
const RANK_STEP_US: u64 = 10_000;
/// Shortest retry delay, in milliseconds.
const RETRY_MIN_MS: u64 = 1_000;
/// Longest delay until the first retry, and longest time over which retries are spread, in
/// milliseconds.
const RETRY_MAX_MS: u64 = 5_000;

/// Load of one service at an owner.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Snapshot {
    /// When the figures of the workers and the queue were taken.
    pub taken: Time,
    /// Since when the rates have been recorded.
    pub recorded_since: Time,
    /// Since when tasks have waited without a break; `None` if none waits.
    pub contended_since: Option<Time>,
    /// Capacity of the healthy workers, in cores of usual speed.
    pub capacity: f64,
    /// Part of the healthy capacity that no run occupies, in cores of usual speed.
    pub free: f64,
    /// Work of the waiting tasks that can still meet their objective, by priority and rank. Ranks
    /// are rounded, see [`Snapshot::rounded`].
    pub on_time: BTreeMap<(u32, Time), f64>,
    /// Work of the waiting tasks of late jobs, by priority.
    pub late: BTreeMap<u32, f64>,
    /// Remaining work of the runs.
    pub running: f64,
    /// Work started per microsecond during the last second, in cores.
    pub started: f64,
    /// Work ended per microsecond during the last second, in cores.
    pub ended: f64,
    /// Work that arrived per microsecond during the last second, rejected work included, by
    /// the priority with which it was or would have been queued and the class of its delay, see
    /// [`delay_class`]; in cores.
    pub offered: BTreeMap<(u32, u32), f64>,
    /// Mean time from a caller's call to the job's arrival at the owner, in microseconds.
    pub transit_us: f64,
    /// Work that was rejected during the last seconds and may return.
    pub rejected: f64,
}

/// What a job needs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Demand {
    /// Expected work of all its tasks.
    pub work: f64,
    /// Number of tasks of its widest step.
    pub width: u32,
    /// Priority with which it is queued; 0 is the highest.
    pub priority: u32,
    /// Rank of its first tasks in the queue, among the jobs of the same priority that are on time.
    pub rank: Time,
    /// Expected length of its critical path at the usual speed, in microseconds.
    pub path_us: f64,
    /// Time by which it has to end to meet its objective.
    pub objective: Time,
    /// When its caller stops waiting.
    pub deadline: Time,
    /// Whether a healthy worker has free capacity for its first step and would end it before the
    /// deadline.
    pub worker_free: bool,
}

/// Work queued ahead of a job.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Ahead {
    /// While the job can still meet its objective.
    pub on_time: f64,
    /// Once the job is late.
    pub late: f64,
}

/// Why a job is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Grounds {
    /// No task waits.
    Uncontended,
    /// The load has been recorded for too short a time.
    NoHistory,
    /// A worker with free capacity can end its first step before the deadline.
    WorkerFree,
    /// It is predicted to meet its objective.
    OnTime,
    /// It is predicted to end after its objective and before its deadline.
    BeforeDeadline,
}

/// Result of the admission decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accept(Grounds),
    /// The job is predicted to end at this time, which is after its deadline.
    Reject(Time),
}

impl Verdict {
    /// Returns whether the job is accepted.
    pub fn accepts(self) -> bool {
        matches!(self, Self::Accept(_))
    }
}

impl Snapshot {
    /// Decides whether to accept a job that arrives now.
    pub fn decide(&self, now: Time, demand: &Demand) -> Verdict {
        self.judge(now, demand, self.ahead(demand), 1.0)
    }

    /// Decides whether a job that has not been started should go on waiting behind `ahead`.
    pub fn reconsider(&self, now: Time, demand: &Demand, ahead: Ahead) -> Verdict {
        self.judge(now, demand, ahead, WAITING_FACTOR)
    }

    fn judge(&self, now: Time, demand: &Demand, ahead: Ahead, factor: f64) -> Verdict {
        if self.contended_since.is_none() {
            return Verdict::Accept(Grounds::Uncontended);
        }
        if self.recorded_since.after_ms(MIN_HISTORY_MS) > now {
            return Verdict::Accept(Grounds::NoHistory);
        }
        if demand.worker_free {
            return Verdict::Accept(Grounds::WorkerFree);
        }
        if self.on_time_end(now, demand, ahead.on_time * factor) <= demand.objective {
            return Verdict::Accept(Grounds::OnTime);
        }
        let end = self.late_end(now, demand, ahead.late);
        if end <= demand.deadline {
            return Verdict::Accept(Grounds::BeforeDeadline);
        }
        Verdict::Reject(end)
    }

    /// Returns the work ahead of a new job. Work that is still on its way from the callers'
    /// hosts is estimated from what arrived.
    pub fn ahead(&self, demand: &Demand) -> Ahead {
        let last_class = (demand.priority, u32::MAX);
        let offered: f64 = self.offered.range(..=last_class).map(|(_, rate)| rate).sum();
        let coming = offered * self.transit_us;
        let last = (demand.priority, Self::rounded(demand.rank));
        let on_time: f64 = self.on_time.range(..=last).map(|(_, work)| work).sum();
        let late: f64 = self.late.range(..=demand.priority).map(|(_, work)| work).sum();
        Ahead {
            on_time: on_time + coming,
            late: self.on_time.values().sum::<f64>() + late + coming,
        }
    }

    /// Rounds a rank up, so that a queue of any length has few distinct ranks.
    pub fn rounded(rank: Time) -> Time {
        Time::from_micros(rank.as_micros().next_multiple_of(RANK_STEP_US))
    }

    /// Returns the rate at which the workers do work, in cores.
    ///
    /// Under contention it is measured in the same estimates as the queue, so that estimates
    /// that are all too long or too short cancel out.
    pub fn rate(&self, now: Time) -> f64 {
        let nominal = self.capacity * USABLE;
        let measured = f64::midpoint(self.started, self.ended);
        let saturated =
            self.contended_since.is_some_and(|since| since.after_ms(MEASURED_AFTER_MS) <= now);
        if saturated { measured.max(nominal * MIN_RATE) } else { measured.max(nominal) }
    }

    /// Returns when a job ends if it is started before all late ones. Jobs that arrive meanwhile
    /// go first if they have a higher priority, or the same and a lower rank.
    fn on_time_end(&self, now: Time, demand: &Demand, ahead: f64) -> Time {
        let first_class = (demand.priority, 0);
        let higher: f64 = self.offered.range(..first_class).map(|(_, rate)| rate).sum();
        let rate = self.rate(now) - higher;
        let delay = demand.rank.since(now).as_micros() as f64;
        let mut overtaking = 0.0;
        let mut overtaking_rate = 0.0;
        for ((_, class), offered) in self.offered.range(first_class..=(demand.priority, u32::MAX)) {
            let lead = delay - class_delay_us(*class);
            if lead > 0.0 {
                overtaking += offered * lead;
                overtaking_rate += offered;
            }
        }
        let end = self.end_at(now, demand, ahead + overtaking, rate);
        // The job may be started before they have all arrived.
        end.min(self.end_at(now, demand, ahead, rate - overtaking_rate))
    }

    /// Returns when a job ends if it is started after all jobs that are on time. While more work
    /// arrives than the workers can do, it is not started at all.
    fn late_end(&self, now: Time, demand: &Demand, ahead: f64) -> Time {
        let offered: f64 = self.offered.values().sum();
        self.end_at(now, demand, ahead, self.rate(now) * (1.0 + MARGIN) - offered)
    }

    /// Returns when a job ends whose turn comes after the work ahead, done at a rate in cores.
    fn end_at(&self, now: Time, demand: &Demand, ahead: f64, rate: f64) -> Time {
        if rate <= 0.0 {
            return Time::NEVER;
        }
        let width = f64::from(demand.width.max(1));
        // All but the last of the job's own tasks are ahead of the last one.
        let own = demand.work * (width - 1.0) / width;
        now.after_us(((ahead + own) / rate + demand.path_us) as u64)
    }

    /// Returns when a rejected caller should retry: after the predicted drain of the queue, and
    /// spread by the hash of the job over the time that the rejected work takes.
    pub fn retry_at(&self, now: Time, job: &str) -> Time {
        let waiting: f64 = self.on_time.values().chain(self.late.values()).sum();
        let rate = self.rate(now).max(1e-3);
        let drain_us = (waiting + self.running) / rate;
        let spread_us = (self.rejected / rate).max(drain_us);
        let limit = |us: f64, min_ms: u64| us.clamp((min_ms * 1_000) as f64, MAX_US);
        let unit = (xxh3_64(job.as_bytes()) >> 32) as f64 / f64::from(u32::MAX);
        now.after_us((limit(drain_us, RETRY_MIN_MS) + unit * limit(spread_us, 0)) as u64)
    }
}

/// Returns the class of the delay by which a job is ranked after its arrival, in microseconds.
pub fn delay_class(delay_us: f64) -> u32 {
    ((delay_us / 1_000.0).max(1.0).ln() / CLASS_RATIO.ln()).round() as u32
}

/// Returns the usual delay of a class, in microseconds.
fn class_delay_us(class: u32) -> f64 {
    1_000.0 * CLASS_RATIO.powi(class as i32)
}

/// [`RETRY_MAX_MS`] in microseconds.
const MAX_US: f64 = (RETRY_MAX_MS * 1_000) as f64;
