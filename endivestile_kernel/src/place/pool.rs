//! Back ends and waiting tasks of one service, or of one class of need.

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

/// Run time believed before any task has ended, in microseconds.
pub(crate) const DEFAULT_RUN_US: f64 = 200_000.0;

/// Samples after which a back end's speed is known well enough to judge sizes by.
const STEADY_SAMPLES: u32 = 8;

/// Weight of a new sample in the ratio of mean to typical run time.
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

/// Back ends and waiting tasks of one service, or of one class of need.
#[derive(Debug)]
pub(crate) struct Pool {
    /// What it runs.
    pub(crate) kind: PoolKind,
    /// Path to call, empty for workers.
    pub(crate) path: Name,
    /// Back ends; workers in the order of preference.
    pub(crate) endpoints: Vec<Endpoint>,
    /// Back ends before the seats were replaced, for their speeds.
    pub(crate) former_endpoints: Vec<Endpoint>,
    /// Free backend servers, best first.
    pub(crate) free: BTreeSet<EndpointKey>,
    /// Free resources of the workers.
    pub(crate) free_tree: FitTree,
    /// Whole resources of the usable workers.
    pub(crate) capacity_tree: FitTree,
    /// Usable capacity by speed.
    pub(crate) bands: CapacityBands,
    /// Waiting tasks.
    pub(crate) queue: FairQueue,
    /// Waiting tasks by need.
    pub(crate) waiting_needs: BTreeMap<Need, u32>,
    /// Capacity that the waiting tasks want.
    pub(crate) waiting_units: u64,
    /// Rate at which wanted capacity arrives.
    pub(crate) arrivals: ArrivalRate,
    /// What declared run times are worth.
    pub(crate) declared: DeclaredRunTimes,
    /// How work is spread over sizes of tasks.
    pub(crate) work_by_size: WorkBySize,
    /// Run time of all back ends together.
    pub(crate) overall: RunTime,
    /// Mean run time over typical run time.
    pub(crate) mean_ratio: f64,
    /// Typical capacity of one task.
    pub(crate) mean_units: f64,
    /// Starts so far, wrapping.
    pub(crate) starts: u32,
    /// Where round robin goes on.
    pub(crate) cursor: usize,
    /// Job whose task was started last, and on which rack.
    pub(crate) last_started: Option<(u64, u32)>,
    /// When a task may next be tried although it is believed too long for its deadline.
    pub(crate) next_trial: Time,
    /// Usable seats whose last answer was a failure.
    pub(crate) failing_count: u32,
    /// Usable seats.
    pub(crate) usable_count: u32,
}

impl Pool {
    /// Makes a pool without back ends.
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

    /// Returns whether its back ends are workers.
    pub(crate) fn runs_on_workers(&self) -> bool {
        !matches!(self.kind, PoolKind::Service(_))
    }

    /// Returns the part of a resources by which this pool counts capacity.
    pub(crate) const fn units(&self, resources: &Resources) -> u32 {
        match self.kind {
            PoolKind::Service(_) | PoolKind::Plain => resources.cpu,
            PoolKind::Accelerated => resources.accelerators,
        }
    }

    /// Replaces the seats; their capacity is counted at the next refresh.
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

    /// Returns the logarithm of a seat's typical run time: learned, or that of all.
    pub(crate) fn ln_us(&self, at: usize) -> f64 {
        let run_time = &self.endpoints[at].run_time;
        let learned = if run_time.is_known() { run_time.mean_ln } else { self.overall.mean_ln };
        self.endpoints[at].overdue_ln.map_or(learned, |overdue_ln| learned.max(overdue_ln))
    }

    /// Returns a seat's typical run time in microseconds.
    pub(crate) fn typical_us(&self, at: usize) -> f64 {
        self.ln_us(at).exp()
    }

    /// Returns a seat's mean run time in microseconds.
    pub(crate) fn mean_us(&self, at: usize) -> f64 {
        self.typical_us(at) * self.mean_ratio
    }

    /// Takes in the run time of a task with this believed size and declared run time.
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

    /// Takes a declared run time as a hint while nothing is learned.
    pub(crate) fn apply_hint(&mut self, declared_ms: u32) {
        if !self.overall.is_known() && declared_ms > 0 {
            self.overall.mean_ln = (f64::from(declared_ms) * 1_000.0).ln();
        }
    }

    /// Counts the capacity and the free slots of a seat anew.
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

    /// Returns whether a usable back end could run a task.
    pub(crate) fn can_run(&self, demand: &Resources) -> bool {
        if self.runs_on_workers() {
            return self.capacity_tree.find(demand, 0).is_some();
        }
        self.bands.total().0 > 0.0
    }

    /// Returns the best seat with resources for `want`.
    pub(crate) fn first_free(&self, demand: &Resources) -> Option<usize> {
        if self.runs_on_workers() {
            let least = Resources { cpu: demand.cpu.max(1), ..*demand };
            return self.free_tree.find(&least, 0);
        }
        self.free.first().map(|key| key.at())
    }
}

/// What a refresh of a seat has to know of its back end.
#[derive(Debug, Clone, Copy)]
pub(crate) struct EndpointState {
    /// Whether new tasks may go there.
    pub(crate) usable: bool,
    /// Whether its last answer was a failure.
    pub(crate) failing: bool,
    /// Capacity.
    pub(crate) capacity: Resources,
    /// Capacity free for this pool.
    pub(crate) free: Resources,
    /// Tasks running.
    pub(crate) running: u32,
}
