//! One back end of the share.

use endivestile_config::model::Name;

use super::health::Health;
use super::resources::Resources;
use super::share::BackendSpec;
use super::status::Condition;
use crate::Time;

/// First time for which a refused slot is believed taken, in milliseconds.
const FIRST_HOLD_MS: u64 = 10;

/// Most doublings of that time.
const HOLD_DOUBLINGS: u32 = 6;

/// One back end: a backend server or a worker.
#[derive(Debug)]
pub(crate) struct Backend {
    /// Name.
    pub(crate) name: Name,
    /// Address, `IP:port`.
    pub(crate) address: Name,
    /// Rack, empty when not known.
    pub(crate) rack: Name,
    /// Number of the rack.
    pub(crate) rack_id: u32,
    /// Capacity.
    pub(crate) total: Resources,
    /// Capacity taken by tasks of this placer.
    pub(crate) used: Resources,
    /// Whether it is a worker.
    pub(crate) worker: bool,
    /// Whether it is in this host's share.
    pub(crate) listed: bool,
    /// Whether the platform or an operator says that it is leaving.
    pub(crate) leaving: bool,
    /// Health.
    pub(crate) health: Health,
    /// Pools that it serves, with its seat in each.
    pub(crate) seats: Vec<(u32, u32)>,
    /// Tasks running, by start.
    pub(crate) running: Vec<(Time, u32)>,
    /// Task for which it is kept free.
    pub(crate) kept: Option<u32>,
    /// Slots that another placer is believed to have taken.
    hold: u32,
    /// Refusals in a row.
    refusals: u32,
    /// When the slots are believed free again.
    hold_until: Option<Time>,
}

impl Backend {
    /// Makes a back end without tasks.
    pub(crate) fn new(spec: &BackendSpec) -> Self {
        Self {
            name: spec.name.clone(),
            address: spec.address.clone(),
            rack: spec.rack.clone(),
            rack_id: 0,
            total: spec.total,
            used: Resources::default(),
            worker: spec.worker,
            listed: true,
            leaving: false,
            health: Health::new(),
            seats: Vec::new(),
            running: Vec::new(),
            kept: None,
            hold: 0,
            refusals: 0,
            hold_until: None,
        }
    }

    /// Takes over what the inventory says now.
    pub(crate) fn update(&mut self, spec: &BackendSpec) {
        if self.address != spec.address {
            self.health = Health::new();
        }
        self.address = spec.address.clone();
        self.rack = spec.rack.clone();
        self.total = spec.total;
        self.worker = spec.worker;
        self.listed = true;
    }

    /// Returns whether new tasks may go there at all.
    pub(crate) const fn usable(&self) -> bool {
        self.listed && !self.leaving && self.health.up()
    }

    /// Returns what is free for new tasks.
    pub(crate) fn free(&self) -> Resources {
        if !self.usable() || self.running.len() as u64 >= u64::from(self.health.cap()) {
            return Resources::default();
        }
        let free = self.total.minus(&self.used);
        if self.hold == 0 {
            return free;
        }
        if self.worker { Resources::default() } else { free.minus(&Resources::slots(self.hold)) }
    }

    /// Returns what tasks without accelerators may take of a worker.
    ///
    /// Its free accelerators keep a quarter of the processors and memory that
    /// are theirs by proportion: without any, they would be stranded.
    pub(crate) fn free_plain(&self) -> Resources {
        let free = self.free();
        if self.total.accelerators == 0 {
            return free;
        }
        let keep = |total: u32| {
            let part = u64::from(total) * u64::from(free.accelerators);
            (part / u64::from(self.total.accelerators) / 4) as u32
        };
        let kept = Resources {
            cpu: keep(self.total.cpu),
            memory: keep(self.total.memory),
            accelerators: 0,
        };
        free.minus(&kept)
    }

    /// Counts a task that starts.
    pub(crate) fn start(&mut self, now: Time, task: u32, want: &Resources) {
        self.used = self.used.plus(want);
        self.running.push((now, task));
    }

    /// Counts a task that ended.
    pub(crate) fn finish(&mut self, task: u32, want: &Resources) {
        if let Some(at) = self.running.iter().position(|(_, other)| *other == task) {
            self.running.remove(at);
            self.used = self.used.minus(want);
        }
    }

    /// Believes all its slots taken for a while: it is full, by tasks of
    /// another placer.
    ///
    /// Without that, the slots look free and a task bounces between queue and
    /// back end until its tries are used up.
    pub(crate) fn refused(&mut self, now: Time) {
        self.hold = self.total.cpu.saturating_sub(self.used.cpu);
        let span = FIRST_HOLD_MS << self.refusals.min(HOLD_DOUBLINGS);
        self.refusals += 1;
        self.hold_until = Some(now.after_ms(span));
    }

    /// Returns when refused slots are believed free again.
    pub(crate) const fn hold_until(&self) -> Option<Time> {
        self.hold_until
    }

    /// Believes refused slots free again.
    pub(crate) fn unhold(&mut self) {
        self.hold = 0;
        self.hold_until = None;
    }

    /// Forgets earlier refusals: a task was taken.
    pub(crate) fn taken(&mut self) {
        self.refusals = 0;
    }

    /// Returns since when the task in the middle of those running runs.
    pub(crate) fn middle_start(&self) -> Option<Time> {
        self.running.get(self.running.len() / 2).map(|(start, _)| *start)
    }

    /// Returns how it stands.
    pub(crate) fn condition(&self) -> Condition {
        if self.leaving {
            Condition::Leaving
        } else if !self.health.up() {
            Condition::Out
        } else if u64::from(self.health.cap()) < u64::from(self.total.cpu.min(64)) {
            Condition::Trial
        } else {
            Condition::Up
        }
    }
}
