//! One back end of the share.

use endivestile_config::model::Name;

use super::health::Health;
use super::resources::Resources;
use super::share::BackendSpec;
use super::status::Condition;
use crate::Time;

/// First time for which a refused slot is believed taken, in milliseconds.
const FIRST_BLOCK_MS: u64 = 10;

/// Most doublings of that time.
const MAX_BLOCK_DOUBLINGS: u32 = 6;

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
    pub(crate) capacity: Resources,
    /// Capacity taken by tasks of this placer.
    pub(crate) used: Resources,
    /// Whether it is a worker.
    pub(crate) worker: bool,
    /// Whether it is in this host's share.
    pub(crate) in_share: bool,
    /// Whether the platform or an operator says that it is leaving.
    pub(crate) leaving: bool,
    /// Health.
    pub(crate) health: Health,
    /// Pools that it serves, with its seat in each.
    pub(crate) endpoints: Vec<(u32, u32)>,
    /// Tasks running, by start.
    pub(crate) running: Vec<(Time, u32)>,
    /// Task for which it is kept free.
    pub(crate) reserved_for: Option<u32>,
    /// Slots that another placer is believed to have taken.
    blocked_slots: u32,
    /// Refusals in a row.
    refusals: u32,
    /// When the slots are believed free again.
    blocked_until: Option<Time>,
}

impl Backend {
    /// Makes a back end without tasks.
    pub(crate) fn new(spec: &BackendSpec) -> Self {
        Self {
            name: spec.name.clone(),
            address: spec.address.clone(),
            rack: spec.rack.clone(),
            rack_id: 0,
            capacity: spec.capacity,
            used: Resources::default(),
            worker: spec.worker,
            in_share: true,
            leaving: false,
            health: Health::new(),
            endpoints: Vec::new(),
            running: Vec::new(),
            reserved_for: None,
            blocked_slots: 0,
            refusals: 0,
            blocked_until: None,
        }
    }

    /// Takes over what the inventory says now.
    pub(crate) fn update(&mut self, spec: &BackendSpec) {
        if self.address != spec.address {
            self.health = Health::new();
        }
        self.address = spec.address.clone();
        self.rack = spec.rack.clone();
        self.capacity = spec.capacity;
        self.worker = spec.worker;
        self.in_share = true;
    }

    /// Returns whether new tasks may go there at all.
    pub(crate) const fn is_usable(&self) -> bool {
        self.in_share && !self.leaving && self.health.is_active()
    }

    /// Returns what is free for new tasks.
    pub(crate) fn free(&self) -> Resources {
        if !self.is_usable() || self.running.len() as u64 >= u64::from(self.health.task_limit()) {
            return Resources::default();
        }
        let free = self.capacity.minus(&self.used);
        if self.blocked_slots == 0 {
            return free;
        }
        if self.worker {
            Resources::default()
        } else {
            free.minus(&Resources::slots(self.blocked_slots))
        }
    }

    /// Returns what tasks without accelerators may take of a worker.
    ///
    /// Its free accelerators keep a quarter of the processors and memory that
    /// are theirs by proportion: without any, they would be stranded.
    pub(crate) fn free_for_plain(&self) -> Resources {
        let free = self.free();
        if self.capacity.accelerators == 0 {
            return free;
        }
        let keep = |capacity: u32| {
            let part = u64::from(capacity) * u64::from(free.accelerators);
            (part / u64::from(self.capacity.accelerators) / 4) as u32
        };
        let reserved = Resources {
            cpu: keep(self.capacity.cpu),
            memory: keep(self.capacity.memory),
            accelerators: 0,
        };
        free.minus(&reserved)
    }

    /// Counts a task that starts.
    pub(crate) fn add_task(&mut self, now: Time, task: u32, demand: &Resources) {
        self.used = self.used.plus(demand);
        self.running.push((now, task));
    }

    /// Counts a task that ended.
    pub(crate) fn remove_task(&mut self, task: u32, demand: &Resources) {
        if let Some(at) = self.running.iter().position(|(_, other)| *other == task) {
            self.running.remove(at);
            self.used = self.used.minus(demand);
        }
    }

    /// Believes all its slots taken for a while: it is full, by tasks of
    /// another placer.
    ///
    /// Without that, the slots look free and a task bounces between queue and
    /// back end until its tries are used up.
    pub(crate) fn handle_busy(&mut self, now: Time) {
        self.blocked_slots = self.capacity.cpu.saturating_sub(self.used.cpu);
        let span = FIRST_BLOCK_MS << self.refusals.min(MAX_BLOCK_DOUBLINGS);
        self.refusals += 1;
        self.blocked_until = Some(now.after_ms(span));
    }

    /// Returns when refused slots are believed free again.
    pub(crate) const fn blocked_until(&self) -> Option<Time> {
        self.blocked_until
    }

    /// Believes refused slots free again.
    pub(crate) fn unblock(&mut self) {
        self.blocked_slots = 0;
        self.blocked_until = None;
    }

    /// Forgets earlier refusals: a task was taken.
    pub(crate) fn reset_refusals(&mut self) {
        self.refusals = 0;
    }

    /// Returns since when the task in the middle of those running runs.
    pub(crate) fn median_start(&self) -> Option<Time> {
        self.running.get(self.running.len() / 2).map(|(start, _)| *start)
    }

    /// Returns how it stands.
    pub(crate) fn condition(&self) -> Condition {
        if self.leaving {
            Condition::Leaving
        } else if !self.health.is_active() {
            Condition::Out
        } else if u64::from(self.health.task_limit()) < u64::from(self.capacity.cpu.min(64)) {
            Condition::Trial
        } else {
            Condition::Up
        }
    }
}
