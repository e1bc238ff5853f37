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
pub(crate) const DEFAULT_US: f64 = 200_000.0;

/// Samples after which a back end's speed is known well enough to judge sizes by.
const STEADY_SAMPLES: u32 = 8;

/// Weight of a new sample in the ratio of mean to typical run time.
const SCALE_WEIGHT: f64 = 1.0 / 64.0;

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
    pub(crate) seats: Vec<Endpoint>,
    /// Back ends before the seats were replaced, for their speeds.
    pub(crate) former: Vec<Endpoint>,
    /// Free backend servers, best first.
    pub(crate) free: BTreeSet<EndpointKey>,
    /// Free room of the workers.
    pub(crate) tree: FitTree,
    /// Whole room of the usable workers.
    pub(crate) ever: FitTree,
    /// Usable capacity by speed.
    pub(crate) bands: CapacityBands,
    /// Waiting tasks.
    pub(crate) queue: FairQueue,
    /// Waiting tasks by need.
    pub(crate) needs: BTreeMap<Need, u32>,
    /// Capacity that the waiting tasks want.
    pub(crate) wanted: u64,
    /// Rate at which wanted capacity arrives.
    pub(crate) arrivals: ArrivalRate,
    /// What declared run times are worth.
    pub(crate) declared: DeclaredRunTimes,
    /// How work is spread over sizes of tasks.
    pub(crate) sizes: WorkBySize,
    /// Run time of all back ends together.
    pub(crate) common: RunTime,
    /// Mean run time over typical run time.
    pub(crate) scale: f64,
    /// Typical capacity of one task.
    pub(crate) typical: f64,
    /// Starts so far, wrapping.
    pub(crate) turn: u32,
    /// Where round robin goes on.
    pub(crate) cursor: usize,
    /// Job whose task was started last, and on which rack.
    pub(crate) last: Option<(u64, u32)>,
    /// When a task may next be tried although it is believed too long for its deadline.
    pub(crate) trial_at: Time,
    /// Usable seats whose last answer was a failure.
    pub(crate) sour: u32,
    /// Usable seats.
    pub(crate) usable: u32,
}

impl Pool {
    /// Makes a pool without back ends.
    pub(crate) fn new(kind: PoolKind) -> Self {
        Self {
            kind,
            path: Name::from(""),
            seats: Vec::new(),
            former: Vec::new(),
            free: BTreeSet::new(),
            tree: FitTree::new(0),
            ever: FitTree::new(0),
            bands: CapacityBands::new(),
            queue: FairQueue::default(),
            needs: BTreeMap::new(),
            wanted: 0,
            arrivals: ArrivalRate::default(),
            declared: DeclaredRunTimes::default(),
            sizes: WorkBySize::new(),
            common: RunTime { ln: DEFAULT_US.ln(), ..RunTime::default() },
            scale: 1.0,
            typical: 1.0,
            turn: 0,
            cursor: 0,
            last: None,
            trial_at: Time::ZERO,
            sour: 0,
            usable: 0,
        }
    }

    /// Returns whether its back ends are workers.
    pub(crate) fn on_workers(&self) -> bool {
        !matches!(self.kind, PoolKind::Service(_))
    }

    /// Returns the part of a room by which this pool counts capacity.
    pub(crate) const fn units(&self, room: &Resources) -> u32 {
        match self.kind {
            PoolKind::Service(_) | PoolKind::Plain => room.cpu,
            PoolKind::Accelerated => room.accelerators,
        }
    }

    /// Replaces the seats; their capacity is counted at the next refresh.
    pub(crate) fn reseat(&mut self, seats: Vec<Endpoint>) {
        self.free.clear();
        self.bands = CapacityBands::new();
        let leaves = if self.on_workers() { seats.len() } else { 0 };
        self.tree = FitTree::new(leaves);
        self.ever = FitTree::new(leaves);
        self.former = std::mem::replace(&mut self.seats, seats);
        self.sour = 0;
        self.usable = 0;
        self.last = None;
    }

    /// Returns the logarithm of a seat's typical run time: learnt, or that of all.
    pub(crate) fn ln(&self, at: usize) -> f64 {
        let speed = &self.seats[at].speed;
        let learnt = if speed.known() { speed.ln } else { self.common.ln };
        self.seats[at].stalled.map_or(learnt, |stalled| learnt.max(stalled))
    }

    /// Returns a seat's typical run time in microseconds.
    pub(crate) fn typical_us(&self, at: usize) -> f64 {
        self.ln(at).exp()
    }

    /// Returns a seat's mean run time in microseconds.
    pub(crate) fn mean_us(&self, at: usize) -> f64 {
        self.typical_us(at) * self.scale
    }

    /// Takes in the run time of a task with this believed size and declared run time.
    pub(crate) fn learn(&mut self, now: Time, at: usize, micros: u64, hint: (f64, u32)) {
        let (ln_size, declared_ms) = hint;
        let seat = &mut self.seats[at];
        if seat.speed.samples >= STEADY_SAMPLES {
            self.declared.learn(declared_ms, (micros as f64).max(1.0).ln() - seat.speed.ln);
        }
        seat.speed.learn(now, micros, ln_size);
        seat.stalled = None;
        let ratio = micros as f64 / seat.speed.ln.exp();
        self.scale += (ratio.min(20.0) - self.scale) * SCALE_WEIGHT;
        self.common.learn(now, micros, ln_size);
    }

    /// Takes a declared run time as a hint while nothing is learnt.
    pub(crate) fn hint(&mut self, declared_ms: u32) {
        if !self.common.known() && declared_ms > 0 {
            self.common.ln = (f64::from(declared_ms) * 1_000.0).ln();
        }
    }

    /// Counts the capacity and the free slots of a seat anew.
    pub(crate) fn refresh(&mut self, at: usize, state: &EndpointState) {
        let ln = self.ln(at);
        let band = CapacityBands::band(ln);
        let units = if state.usable { self.units(&state.total) } else { 0 };
        let sour = state.usable && state.sour;
        let seat = &mut self.seats[at];
        if (seat.band, seat.units) != (band, units) {
            self.bands.sub(seat.band, seat.units);
            self.bands.add(band, units);
            (seat.band, seat.units) = (band, units);
        }
        self.usable = self.usable + u32::from(state.usable) - u32::from(seat.usable);
        self.sour = self.sour + u32::from(sour) - u32::from(seat.sour);
        (seat.usable, seat.sour) = (state.usable, sour);
        seat.running = state.running;
        if matches!(self.kind, PoolKind::Service(_)) {
            let key =
                (state.free.cpu > 0).then(|| EndpointKey::new(ln, state.running, seat.turn, at));
            self.rekey(at, key);
        } else {
            self.tree.set(at, state.free);
            self.ever.set(at, if state.usable { state.total } else { Resources::default() });
        }
    }

    fn rekey(&mut self, at: usize, key: Option<EndpointKey>) {
        let seat = &mut self.seats[at];
        if seat.key == key {
            return;
        }
        if let Some(old) = seat.key {
            self.free.remove(&old);
        }
        if let Some(new) = key {
            self.free.insert(new);
        }
        seat.key = key;
    }

    /// Returns whether a usable back end could run a task.
    pub(crate) fn could_run(&self, want: &Resources) -> bool {
        if self.on_workers() {
            return self.ever.find(want, 0).is_some();
        }
        self.bands.total().0 > 0.0
    }

    /// Returns the best seat with room for `want`.
    pub(crate) fn first_free(&self, want: &Resources) -> Option<usize> {
        if self.on_workers() {
            let least = Resources { cpu: want.cpu.max(1), ..*want };
            return self.tree.find(&least, 0);
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
    pub(crate) sour: bool,
    /// Capacity.
    pub(crate) total: Resources,
    /// Capacity free for this pool.
    pub(crate) free: Resources,
    /// Tasks running.
    pub(crate) running: u32,
}
