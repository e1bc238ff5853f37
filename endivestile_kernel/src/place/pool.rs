//! Backends and waiting tasks of one service, or of one class of need.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::Name;

use super::arrival_rate::ArrivalRate;
use super::capacity_bands::CapacityBands;
use super::declared::DeclaredRunTimes;
use super::endpoint::{Endpoint, EndpointKey};
use super::fit::FitTree;
use super::queue::FairQueue;
use super::resources::Resources;
use super::run_time::RunTime;
use super::work_by_size::WorkBySize;
use crate::{Need, Time};

/// Assumed run time before the first task has finished, in microseconds.
pub(crate) const DEFAULT_RUN_US: f64 = 200_000.0;

/// Number of samples after which a backend's run time is accurate enough to derive
/// task sizes from it.
const STEADY_SAMPLES: u32 = 8;

/// Weight of a new sample in the ratio of the run time to the typical run time.
const MEAN_RATIO_WEIGHT: f64 = 1.0 / 64.0;

/// What a pool runs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum PoolKind {
    /// One service.
    Service(Name),
    /// Tasks without accelerators, on any worker.
    Plain,
    /// Tasks with accelerators.
    Accelerated,
}

/// Backends and waiting tasks of one service, or of one class of need.
#[derive(Debug)]
pub(crate) struct Pool {
    /// Tasks that it runs.
    pub(crate) kind: PoolKind,
    /// Path to call, empty for workers.
    pub(crate) path: Name,
    /// Endpoints; workers in order of preference.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Previous endpoints, kept for their run times while the endpoints are replaced.
    pub(crate) former_endpoints: Vec<Endpoint>,
    /// Free backend servers, in order of preference.
    pub(crate) free: BTreeSet<EndpointKey>,
    /// Free capacity of the workers.
    pub(crate) free_tree: FitTree,
    /// Total capacity of the usable workers.
    pub(crate) capacity_tree: FitTree,
    /// Usable capacity by run time.
    pub(crate) bands: CapacityBands,
    /// Waiting tasks.
    pub(crate) queue: FairQueue,
    /// Number of waiting tasks by need.
    pub(crate) waiting_needs: BTreeMap<Need, u32>,
    /// Capacity that the waiting tasks need, in units.
    pub(crate) waiting_units: u64,
    /// Arrival rate of the needed capacity.
    pub(crate) arrivals: ArrivalRate,
    /// How far declared run times predict actual ones.
    pub(crate) declared: DeclaredRunTimes,
    /// Distribution of work over task sizes.
    pub(crate) work_by_size: WorkBySize,
    /// Run time over all backends.
    pub(crate) overall: RunTime,
    /// Ratio of the mean to the typical (geometric mean) run time.
    pub(crate) mean_ratio: f64,
    /// Average capacity needed by one task, in units.
    pub(crate) mean_units: f64,
    /// Number of starts, wrapping.
    pub(crate) starts: u32,
    /// Index at which round robin continues.
    pub(crate) cursor: usize,
    /// Job and rack of the last started task.
    pub(crate) last_started: Option<(u64, u32)>,
    /// When the next trial of a task whose estimated run time exceeds its deadline is
    /// allowed.
    pub(crate) next_trial: Time,
    /// Number of usable endpoints whose last answer was a failure.
    pub(crate) failing_count: u32,
    /// Number of usable endpoints.
    pub(crate) usable_count: u32,
}

impl Pool {
    /// Creates a pool without backends.
    pub(crate) fn new(kind: PoolKind) -> Self {
        Self {
            kind,
            path: Name::from(""),
            endpoints: Vec::new(),
            former_endpoints: Vec::new(),
            free: BTreeSet::new(),
            free_tree: FitTree::new(0),
            capacity_tree: FitTree::new(0),
            bands: CapacityBands::new(),
            queue: FairQueue::default(),
            waiting_needs: BTreeMap::new(),
            waiting_units: 0,
            arrivals: ArrivalRate::default(),
            declared: DeclaredRunTimes::default(),
            work_by_size: WorkBySize::new(),
            overall: RunTime { mean_ln: DEFAULT_RUN_US.ln(), ..RunTime::default() },
            mean_ratio: 1.0,
            mean_units: 1.0,
            starts: 0,
            cursor: 0,
            last_started: None,
            next_trial: Time::ZERO,
            failing_count: 0,
            usable_count: 0,
        }
    }

    /// Returns whether its backends are workers.
    pub(crate) fn runs_on_workers(&self) -> bool {
        !matches!(self.kind, PoolKind::Service(_))
    }

    /// Returns the component of `resources` in which this pool counts capacity.
    pub(crate) const fn units(&self, resources: &Resources) -> u32 {
        match self.kind {
            PoolKind::Service(_) | PoolKind::Plain => resources.cpu,
            PoolKind::Accelerated => resources.accelerators,
        }
    }

    /// Replaces the endpoints; their capacity is counted at the next refresh.
    pub(crate) fn replace_endpoints(&mut self, endpoints: Vec<Endpoint>) {
        self.free.clear();
        self.bands = CapacityBands::new();
        let leaves = if self.runs_on_workers() { endpoints.len() } else { 0 };
        self.free_tree = FitTree::new(leaves);
        self.capacity_tree = FitTree::new(leaves);
        self.former_endpoints = std::mem::replace(&mut self.endpoints, endpoints);
        self.failing_count = 0;
        self.usable_count = 0;
        self.last_started = None;
    }

    /// Returns the natural logarithm of an endpoint's typical run time in microseconds:
    /// the learned one, or that of all backends without samples, or the elapsed time of
    /// overdue tasks if that is longer.
    pub(crate) fn ln_us(&self, at: usize) -> f64 {
        let run_time = &self.endpoints[at].run_time;
        let learned = if run_time.is_known() { run_time.mean_ln } else { self.overall.mean_ln };
        self.endpoints[at].overdue_ln.map_or(learned, |overdue_ln| learned.max(overdue_ln))
    }

    /// Returns an endpoint's typical run time in microseconds.
    pub(crate) fn typical_us(&self, at: usize) -> f64 {
        self.ln_us(at).exp()
    }

    /// Returns an endpoint's mean run time in microseconds.
    pub(crate) fn mean_us(&self, at: usize) -> f64 {
        self.typical_us(at) * self.mean_ratio
    }

    /// Records the run time of a task; `hint` is its estimated size (natural logarithm)
    /// and declared run time in milliseconds.
    pub(crate) fn record_run_time(&mut self, now: Time, at: usize, micros: u64, hint: (f64, u32)) {
        let (ln_size, declared_ms) = hint;
        let endpoint = &mut self.endpoints[at];
        if endpoint.run_time.samples >= STEADY_SAMPLES {
            self.declared
                .record(declared_ms, (micros as f64).max(1.0).ln() - endpoint.run_time.mean_ln);
        }
        endpoint.run_time.record(now, micros, ln_size);
        endpoint.overdue_ln = None;
        let ratio = micros as f64 / endpoint.run_time.mean_ln.exp();
        self.mean_ratio += (ratio.min(20.0) - self.mean_ratio) * MEAN_RATIO_WEIGHT;
        self.overall.record(now, micros, ln_size);
    }

    /// Uses a declared run time as the estimate until the first task has finished.
    pub(crate) fn apply_hint(&mut self, declared_ms: u32) {
        if !self.overall.is_known() && declared_ms > 0 {
            self.overall.mean_ln = (f64::from(declared_ms) * 1_000.0).ln();
        }
    }

    /// Updates the capacity and the free slots of an endpoint.
    pub(crate) fn refresh(&mut self, at: usize, state: &EndpointState) {
        let ln = self.ln_us(at);
        let band = CapacityBands::band(ln);
        let units = if state.usable { self.units(&state.capacity) } else { 0 };
        let failing = state.usable && state.failing;
        let endpoint = &mut self.endpoints[at];
        if (endpoint.band, endpoint.units) != (band, units) {
            self.bands.sub(endpoint.band, endpoint.units);
            self.bands.add(band, units);
            (endpoint.band, endpoint.units) = (band, units);
        }
        self.usable_count =
            self.usable_count + u32::from(state.usable) - u32::from(endpoint.usable);
        self.failing_count = self.failing_count + u32::from(failing) - u32::from(endpoint.failing);
        (endpoint.usable, endpoint.failing) = (state.usable, failing);
        endpoint.running = state.running;
        if matches!(self.kind, PoolKind::Service(_)) {
            let key = (state.free.cpu > 0)
                .then(|| EndpointKey::new(ln, state.running, endpoint.last_start, at));
            self.rekey(at, key);
        } else {
            self.free_tree.set(at, state.free);
            self.capacity_tree
                .set(at, if state.usable { state.capacity } else { Resources::default() });
        }
    }

    fn rekey(&mut self, at: usize, key: Option<EndpointKey>) {
        let endpoint = &mut self.endpoints[at];
        if endpoint.free_key == key {
            return;
        }
        if let Some(old) = endpoint.free_key {
            self.free.remove(&old);
        }
        if let Some(new) = key {
            self.free.insert(new);
        }
        endpoint.free_key = key;
    }

    /// Returns whether any usable backend can run a task.
    pub(crate) fn can_run(&self, demand: &Resources) -> bool {
        if self.runs_on_workers() {
            return self.capacity_tree.find(demand, 0).is_some();
        }
        self.bands.total().0 > 0.0
    }

    /// Returns the preferred endpoint whose free capacity covers `demand`.
    pub(crate) fn first_free(&self, demand: &Resources) -> Option<usize> {
        if self.runs_on_workers() {
            let least = Resources { cpu: demand.cpu.max(1), ..*demand };
            return self.free_tree.find(&least, 0);
        }
        self.free.first().map(|key| key.at())
    }
}

/// State of a backend from which an endpoint is refreshed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointState {
    /// Whether it accepts new tasks.
    pub(crate) usable: bool,
    /// Whether its last answer was a failure.
    pub(crate) failing: bool,
    /// Capacity.
    pub(crate) capacity: Resources,
    /// Capacity free for this pool.
    pub(crate) free: Resources,
    /// Number of running tasks.
    pub(crate) running: u32,
}
