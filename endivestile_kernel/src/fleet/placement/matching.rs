//! Matching of a waiting task with a worker when capacity is scarce.
//!
//! A task is matched with a worker where it ends in time and does not delay a task ahead in
//! the queue. Among workers where it ends at about the same time, the one with the most usable
//! remainder is chosen: two or three tasks fit on a worker, and a remainder that no usual task
//! fits is wasted until the worker's other runs have ended.

use std::cmp::Ordering;

use endivestile_config::model::Name;

use crate::fleet::workers::owned::SLOW_SPEED;
use crate::{Need, Time};

/// Number of queued tasks whose sizes count as usual; some tenths of a second of arrivals.
const USUAL_TASKS: usize = 64;
/// Factor on the expected run time of a task behind one that has reserved its worker, and of a
/// task on a slower worker than necessary. Callers' estimates are off by up to 40%; learned run
/// times are closer.
const RUN_MARGIN: f64 = 1.25;
/// Relative difference up to which two workers count as equally fast; the uncertainty of a
/// learned speed.
const SPEED_BAND: f64 = 0.1;
/// Progress, in percent, from which on a run's end is extrapolated from its reports.
const MIN_PERCENT: u8 = 10;
/// Time until all workers are looked at again for a task that can end in time on none of them,
/// in milliseconds; a tick. Under overload this holds for most tasks at the head of a queue, and
/// there are several dispatches in a tick.
const SEARCH_AGAIN_MS: u64 = 15;

/// A waiting task.
#[derive(Debug, Clone, Copy)]
pub struct TaskView<'a> {
    /// Resource demand.
    pub need: Need,
    /// Expected run time at speed 1 near its data, in microseconds.
    pub run_us: f64,
    /// Latest useful end.
    pub latest_end: Time,
    /// Factor on the expected run time that has to end by then, at least 1.
    pub margin: f64,
    /// Whether its job can no longer meet its objective.
    pub late: bool,
    /// Label that a worker must have.
    pub required_label: Option<&'a Name>,
    /// Label of the workers that are close to its data.
    pub near_label: Option<&'a Name>,
    /// Factor on the run time on a worker that is not close to its data.
    pub remote_factor: f64,
    /// Workers that already run as many tasks of its step as allowed.
    pub full_workers: &'a [Name],
}

/// A run in progress on a worker.
#[derive(Debug, Clone, Copy)]
pub struct RunView {
    /// Resources that it occupies.
    pub need: Need,
    /// When the start was sent.
    pub sent: Time,
    /// Last reported progress, in percent.
    pub percent: u8,
    /// When the worker last reported it.
    pub seen: Time,
    /// Expected end; [`Time::NEVER`] if unknown.
    pub expected_end: Time,
}

/// A worker that may get tasks.
#[derive(Debug, Clone)]
pub struct WorkerView {
    /// Id of the worker.
    pub id: Name,
    /// Capacity that no run occupies.
    pub free: Need,
    /// Total capacity.
    pub capacity: Need,
    /// Speed, 1 for the usual.
    pub speed: f64,
    /// Labels.
    pub labels: Vec<Name>,
    /// Whether tasks of jobs that can meet their objective may be started on it.
    pub allowed: bool,
    /// Whether tasks of late jobs may be started on it.
    pub allowed_late: bool,
    /// Whether it gets a single task as a probe of its health.
    pub probe: bool,
    /// Runs in progress.
    pub runs: Vec<RunView>,
    /// Until when tasks behind the task that reserved it have to end; [`Time::NEVER`] without
    /// a reservation of a task ahead.
    pub reserved_at: Time,
}

/// Reservation of a worker for a task that waits for capacity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The worker; `None` if the task can end in time on no worker.
    pub worker: Option<Name>,
    /// When it is expected to have free capacity for the task; without a worker, when one is
    /// looked for again.
    pub at: Time,
}

/// Why a task gets no worker now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum NoMatch {
    /// No worker that it may use has free capacity for it.
    NoCapacity,
    /// Only workers have free capacity that are too slow for its latest end.
    TooSlow,
    /// The workers with free capacity are reserved for tasks ahead, which it would delay.
    Reserved,
}

/// Smallest and largest size of the tasks that were queued lately.
#[derive(Debug, Clone, Default)]
pub struct UsualSizes {
    /// Needs of the last tasks; the oldest is replaced next.
    sizes: Vec<Need>,
    next: usize,
}

impl UsualSizes {
    /// Records the need of a queued task.
    pub fn record(&mut self, need: &Need) {
        match self.sizes.get_mut(self.next) {
            Some(oldest) => *oldest = *need,
            None => self.sizes.push(*need),
        }
        self.next = (self.next + 1) % USUAL_TASKS;
    }

    /// Returns the range of the sizes, or `None` before any task was queued.
    pub fn range(&self) -> Option<UsualRange> {
        let cpus = || self.sizes.iter().map(|need| need.cpu_milli);
        let smallest_memory_mb = self.sizes.iter().map(|need| need.memory_mb).min()?;
        Some(UsualRange {
            smallest: cpus().min()?.max(1),
            largest: cpus().max()?,
            smallest_memory_mb,
        })
    }
}

/// Range of the usual task sizes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualRange {
    /// Smallest processor need, in thousandths of a core, at least 1.
    pub smallest: u32,
    /// Largest processor need, in thousandths of a core.
    pub largest: u32,
    /// Smallest memory need, in MiB.
    pub smallest_memory_mb: u32,
}

impl UsualRange {
    /// Returns how much of a free capacity no combination of usual tasks can use, in
    /// thousandths of a core.
    ///
    /// With the whole queue to choose from, a number of tasks can be found whose sizes add up
    /// to any sum between that many smallest and that many largest ones.
    pub fn wasted(&self, free: &Need) -> u32 {
        if free.memory_mb < self.smallest_memory_mb {
            return free.cpu_milli;
        }
        let tasks = free.cpu_milli / self.smallest;
        free.cpu_milli.saturating_sub(tasks.saturating_mul(self.largest))
    }
}

/// Conditions that hold for all tasks of a dispatch.
#[derive(Debug, Clone, Copy)]
pub struct Conditions {
    /// Current time.
    pub now: Time,
    /// Range of the usual task sizes.
    pub usual: Option<UsualRange>,
    /// Whether more work waits than the free capacity can start, so that fast workers are kept
    /// for tasks that cannot do without them.
    pub scarce: bool,
    /// Whether tasks ahead that can still meet their objective wait, so that tasks of late
    /// jobs get only workers that those cannot use.
    pub late_behind: bool,
}

/// A worker where a task may run.
#[derive(Debug, Clone, Copy)]
struct Candidate<'a> {
    worker: &'a WorkerView,
    /// Factor on the task's run time at speed 1.
    factor: f64,
}

/// Returns the worker for a task, or why there is none.
pub fn choose_worker<'a>(
    conditions: &Conditions,
    task: &TaskView<'_>,
    workers: &'a [WorkerView],
) -> Result<&'a WorkerView, NoMatch> {
    let now = conditions.now;
    let mut reason = NoMatch::NoCapacity;
    let mut candidates: Vec<Candidate<'a>> = Vec::new();
    for worker in workers {
        let kept = conditions.late_behind && task.late && worker.serves_objectives();
        if kept || !worker.has_room(&task.need) || !task.may_use(worker) {
            continue;
        }
        let factor = task.factor(worker);
        if !task.ends_in_time(now, factor) {
            reason = reason.max(NoMatch::TooSlow);
        } else if now.after_us((task.run_us * factor * RUN_MARGIN) as u64) > worker.reserved_at {
            reason = reason.max(NoMatch::Reserved);
        } else {
            candidates.push(Candidate { worker, factor });
        }
    }
    if candidates.iter().any(|candidate| !candidate.worker.probe) {
        candidates.retain(|candidate| !candidate.worker.probe);
    }
    let limit = speed_limit(conditions, task, &candidates);
    candidates.retain(|candidate| limit.allows(candidate.factor));
    let best = candidates.iter().min_by(|one, other| conditions.compare(task, one, other));
    best.map(|best| best.worker).ok_or(reason)
}

/// Range of the factors on a task's run time that are about equal to the preferred one.
#[derive(Debug, Clone, Copy)]
struct SpeedLimit {
    least: f64,
    most: f64,
}

impl SpeedLimit {
    fn allows(&self, factor: f64) -> bool {
        self.least <= factor && factor <= self.most
    }
}

/// Returns the preferred speeds: the highest, or under scarcity the lowest at which the task
/// ends in time even if it takes longer than expected.
fn speed_limit(
    conditions: &Conditions,
    task: &TaskView<'_>,
    candidates: &[Candidate<'_>],
) -> SpeedLimit {
    let factors = || candidates.iter().map(|candidate| candidate.factor);
    let safe = |factor: &f64| task.ends_in_time(conditions.now, factor * RUN_MARGIN);
    let slowest = factors().filter(safe).max_by(f64::total_cmp).filter(|_| conditions.scarce);
    match slowest {
        Some(slowest) => SpeedLimit { least: slowest * (1.0 - SPEED_BAND), most: slowest },
        None => {
            let fastest = factors().min_by(f64::total_cmp).unwrap_or(1.0);
            SpeedLimit { least: 0.0, most: fastest * (1.0 + SPEED_BAND) }
        }
    }
}

impl Conditions {
    /// Orders workers by the capacity that is wasted by a task there, then by what remains.
    fn compare(&self, task: &TaskView<'_>, one: &Candidate<'_>, other: &Candidate<'_>) -> Ordering {
        let rank = |candidate: &Candidate<'_>| {
            let free = candidate.worker.free;
            let after = less(free, &task.need);
            let wasted = |free: &Need| self.usual.map_or(0, |usual| i64::from(usual.wasted(free)));
            (wasted(&after) - wasted(&free), after.cpu_milli)
        };
        rank(one).cmp(&rank(other)).then(one.factor.total_cmp(&other.factor))
    }
}

impl TaskView<'_> {
    /// Returns whether the task may use a worker once that has free capacity.
    fn may_use(&self, worker: &WorkerView) -> bool {
        let allowed = if self.late { worker.allowed_late } else { worker.allowed };
        allowed
            && self.required_label.is_none_or(|label| worker.labels.contains(label))
            && !self.full_workers.contains(&worker.id)
    }

    /// Returns the factor on the run time at speed 1 on a worker.
    fn factor(&self, worker: &WorkerView) -> f64 {
        let near = self.near_label.is_none_or(|near| worker.labels.contains(near));
        (if near { 1.0 } else { self.remote_factor }) / worker.speed.max(1e-3)
    }

    /// Returns the expected run time on a worker, in microseconds.
    pub fn run_us_on(&self, worker: &WorkerView) -> u64 {
        (self.run_us * self.factor(worker)) as u64
    }

    /// Returns whether a run that starts at an instant ends in time.
    fn ends_in_time(&self, start: Time, factor: f64) -> bool {
        start.after_us((self.run_us * factor * self.margin) as u64) <= self.latest_end
    }
}

/// Returns the worker that will first have free capacity for a task on which it still ends in
/// time. Workers that are reserved for another task are not considered.
pub fn reserve_worker(
    now: Time,
    task: &TaskView<'_>,
    workers: &[WorkerView],
    reserved: impl Fn(&Name) -> bool,
) -> Reservation {
    let usable = workers.iter().filter(|worker| {
        has_capacity(&worker.capacity, &task.need) && task.may_use(worker) && !reserved(&worker.id)
    });
    let starts = usable.filter_map(|worker| {
        let at = worker.free_at(now, &task.need)?;
        task.ends_in_time(at, task.factor(worker)).then_some((at, worker))
    });
    let first = starts.min_by_key(|(at, worker)| (*at, worker.free.cpu_milli));
    match first {
        Some((at, worker)) => Reservation { worker: Some(worker.id.clone()), at },
        None => Reservation { worker: None, at: now.after_ms(SEARCH_AGAIN_MS) },
    }
}

impl WorkerView {
    /// Returns whether tasks that can meet their objective may use the worker.
    pub fn serves_objectives(&self) -> bool {
        self.allowed && self.speed >= SLOW_SPEED
    }

    /// Returns whether the worker has free capacity for a need.
    pub fn has_room(&self, need: &Need) -> bool {
        has_capacity(&self.free, need)
    }

    /// Returns when the worker is expected to have free capacity for a need.
    pub fn free_at(&self, now: Time, need: &Need) -> Option<Time> {
        if self.has_room(need) {
            return Some(now);
        }
        let mut ends: Vec<(Time, &Need)> =
            self.runs.iter().map(|run| (run.expected_end(now), &run.need)).collect();
        ends.sort_unstable_by_key(|(end, _)| *end);
        let mut free = self.free;
        for (end, released) in ends {
            if end == Time::NEVER {
                return None;
            }
            free.cpu_milli += released.cpu_milli;
            free.memory_mb += released.memory_mb;
            free.accelerators += released.accelerators;
            if has_capacity(&free, need) {
                return Some(end);
            }
        }
        None
    }
}

impl RunView {
    /// Returns when the run is expected to end: extrapolated from its reported progress, or else
    /// as expected at its start. A run that is overdue takes a quarter of its age longer.
    pub fn expected_end(&self, now: Time) -> Time {
        let age_us = self.seen.since(self.sent).as_micros() as u64;
        let end = if self.percent >= MIN_PERCENT && age_us > 0 {
            self.sent.after_us(age_us * 100 / u64::from(self.percent))
        } else {
            self.expected_end
        };
        end.max(now.after_us(self.overdue_us(now, end)))
    }

    fn overdue_us(&self, now: Time, end: Time) -> u64 {
        if end > now { 0 } else { now.since(self.sent).as_micros() as u64 / 4 }
    }
}

/// Returns whether `free` is enough for `need`.
fn has_capacity(free: &Need, need: &Need) -> bool {
    free.cpu_milli >= need.cpu_milli
        && free.memory_mb >= need.memory_mb
        && free.accelerators >= need.accelerators
}

/// Returns what is left of a free capacity after a need.
fn less(free: Need, need: &Need) -> Need {
    Need {
        cpu_milli: free.cpu_milli.saturating_sub(need.cpu_milli),
        memory_mb: free.memory_mb.saturating_sub(need.memory_mb),
        accelerators: free.accelerators.saturating_sub(need.accelerators),
    }
}
