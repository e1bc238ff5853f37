//! Load of each service, kept up to date for the forecast.
//!
//! Reading all workers and the queue for every submitted job would cost an owner of a tenth of a
//! core more than the job itself. They are read at intervals; starts and arrivals in between are
//! added as they happen.

use std::collections::{BTreeMap, VecDeque};

use endivestile_config::model::Name;

use crate::Time;
use crate::fleet::admission::forecast::{Demand, Snapshot, delay_class};
use crate::fleet::admission::queue::QueueKey;
use crate::fleet::admission::share::Shares;

/// Length of the window of the rates, in milliseconds.
const WINDOW_MS: u64 = 1_000;
/// Time after which a share 1/e of the rejected work still counts as about to return, in
/// milliseconds; the usual retry delay.
const RETURN_MS: u64 = 4_000;
/// Weight of one job in the mean transit time.
const TRANSIT_WEIGHT: f64 = 0.05;

/// Work per time over the last second.
#[derive(Debug, Default)]
struct Window {
    /// End of each interval with its work, oldest first.
    intervals: VecDeque<(Time, f64)>,
    /// Start of the oldest interval.
    from: Time,
    /// Work of the current interval.
    current: f64,
}

impl Window {
    fn new(now: Time) -> Self {
        Self { from: now, ..Self::default() }
    }

    /// Ends the current interval; returns the rate in cores.
    fn close_interval(&mut self, now: Time) -> f64 {
        self.intervals.push_back((now, std::mem::take(&mut self.current)));
        while let Some((end, _)) =
            self.intervals.front().filter(|(end, _)| end.after_ms(WINDOW_MS) < now)
        {
            self.from = *end;
            self.intervals.pop_front();
        }
        let work: f64 = self.intervals.iter().map(|(_, work)| work).sum();
        work / (now.since(self.from).as_micros() as f64).max(1.0)
    }
}

/// What is read from the workers and the queue of a service.
#[derive(Debug, Default)]
pub(crate) struct Reading {
    /// Capacity of the healthy workers, in cores of usual speed.
    pub(crate) capacity: f64,
    /// Its free part, in cores of usual speed.
    pub(crate) free: f64,
    /// Remaining work of the runs.
    pub(crate) running: f64,
    /// Capacity promised to waiting jobs, in thousandths of a core.
    pub(crate) claimed_milli: u64,
    /// Work of the waiting tasks that are on time, by priority and rounded rank.
    pub(crate) on_time: BTreeMap<(u32, Time), f64>,
    /// Work of the waiting tasks of late jobs, by priority.
    pub(crate) late: BTreeMap<u32, f64>,
}

/// Load of one service.
#[derive(Debug)]
pub(crate) struct ServiceLoad {
    pub(crate) snapshot: Snapshot,
    pub(crate) shares: Shares,
    started: Window,
    ended: Window,
    offered: BTreeMap<(u32, u32), Window>,
    /// Capacity promised to waiting jobs that were accepted because a worker was free, in
    /// thousandths of a core.
    claimed_milli: u64,
}

impl ServiceLoad {
    fn new(now: Time) -> Self {
        Self {
            snapshot: Snapshot { taken: now, recorded_since: now, ..Snapshot::default() },
            shares: Shares::default(),
            started: Window::new(now),
            ended: Window::new(now),
            offered: BTreeMap::new(),
            claimed_milli: 0,
        }
    }

    /// Counts an arrived job with its demand.
    pub(crate) fn record_arrival(&mut self, now: Time, arrived: Time, demand: &Demand) {
        let class = delay_class(demand.rank.since(now).as_micros() as f64);
        let window = self.offered.entry((demand.priority, class));
        window.or_insert_with(|| Window::new(now)).current += demand.work;
        let transit = now.since(arrived).as_micros() as f64;
        let mean = &mut self.snapshot.transit_us;
        *mean += TRANSIT_WEIGHT * (transit - *mean);
    }

    /// Adds the work of an accepted job to the queue.
    pub(crate) fn record_accepted(&mut self, demand: &Demand) {
        let position = (demand.priority, Snapshot::rounded(demand.rank));
        *self.snapshot.on_time.entry(position).or_default() += demand.work;
    }

    /// Adds the work of a rejected job to what may return.
    pub(crate) fn record_rejected(&mut self, work: f64) {
        self.snapshot.rejected += work;
    }

    /// Promises free capacity to a job, in thousandths of a core, unless it is promised to others
    /// that still wait; returns whether it did.
    pub(crate) fn claim(&mut self, free_milli: u64, task_milli: u64, tasks: u64) -> bool {
        let enough = free_milli >= self.claimed_milli + task_milli.max(1);
        if enough {
            self.claimed_milli += task_milli * tasks;
        }
        enough
    }

    /// Takes over what was read from the workers and the queue.
    pub(crate) fn refresh(&mut self, now: Time, reading: Reading) {
        let waiting = !reading.on_time.is_empty() || !reading.late.is_empty();
        let snapshot = &mut self.snapshot;
        let elapsed_ms = now.since(snapshot.taken).as_micros() as f64 / 1_000.0;
        snapshot.taken = now;
        snapshot.contended_since =
            if waiting { snapshot.contended_since.or(Some(now)) } else { None };
        snapshot.capacity = reading.capacity;
        snapshot.free = reading.free;
        snapshot.running = reading.running;
        self.claimed_milli = reading.claimed_milli;
        snapshot.on_time = reading.on_time;
        snapshot.late = reading.late;
        snapshot.started = self.started.close_interval(now);
        snapshot.ended = self.ended.close_interval(now);
        let rates = self.offered.iter_mut();
        snapshot.offered = rates.map(|(at, window)| (*at, window.close_interval(now))).collect();
        snapshot.rejected *= (-elapsed_ms / RETURN_MS as f64).exp();
        self.shares.decay(elapsed_ms);
    }
}

/// Loads by service.
#[derive(Debug, Default)]
pub(crate) struct Loads {
    services: BTreeMap<Name, ServiceLoad>,
}

impl Loads {
    /// Returns the load of a service, if it has been read.
    pub(crate) fn get_mut(&mut self, service: &Name) -> Option<&mut ServiceLoad> {
        self.services.get_mut(service)
    }

    /// Returns the load of a service, if it has been read.
    pub(crate) fn get(&self, service: &Name) -> Option<&ServiceLoad> {
        self.services.get(service)
    }

    /// Counts the start of a waiting task, with its work.
    pub(crate) fn record_start(
        &mut self,
        service: &Name,
        key: &QueueKey,
        work: impl FnOnce() -> f64,
    ) {
        let Some(load) = self.services.get_mut(service) else { return };
        let work = work();
        load.started.current += work;
        let snapshot = &mut load.snapshot;
        let (priority, rank) = key.rank;
        let queued = if key.late {
            snapshot.late.get_mut(&priority)
        } else {
            snapshot.on_time.get_mut(&(priority, Snapshot::rounded(rank)))
        };
        if let Some(queued) = queued {
            *queued = (*queued - work).max(0.0);
        }
    }

    /// Counts the end of a task, with its work.
    pub(crate) fn record_end(&mut self, service: &Name, work: impl FnOnce() -> f64) {
        if let Some(load) = self.services.get_mut(service) {
            load.ended.current += work();
        }
    }

    /// Takes over a reading of every service; drops those whose workers are gone, so that the
    /// history starts again after a takeover.
    pub(crate) fn refresh(&mut self, now: Time, readings: BTreeMap<Name, Reading>) {
        self.services.retain(|service, _| readings.contains_key(service));
        for (service, reading) in readings {
            let load = self.services.entry(service).or_insert_with(|| ServiceLoad::new(now));
            load.refresh(now, reading);
        }
    }
}
