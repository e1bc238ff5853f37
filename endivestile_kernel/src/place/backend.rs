//! State of one backend in this host's share.

use endivestile_config::model::Name;

use super::health::Health;
use super::resources::Resources;
use super::share::BackendSpec;
use super::status::Condition;
use crate::Time;

/// Time for which slots are blocked after the first "busy" answer, in milliseconds.
const FIRST_BLOCK_MS: u64 = 10;

/// Maximum number of times that the block is doubled.
const MAX_BLOCK_DOUBLINGS: u32 = 6;

/// One backend: a backend server or a worker.
#[derive(Debug)]
pub(crate) struct Backend {
    /// Name.
    pub(crate) name: Name,
    /// Address, `IP:port`.
    pub(crate) address: Name,
    /// Rack, empty when unknown.
    pub(crate) rack: Name,
    /// Index of the rack.
    pub(crate) rack_id: u32,
    /// Capacity.
    pub(crate) capacity: Resources,
    /// Capacity used by the tasks of this placer.
    pub(crate) used: Resources,
    /// Whether it is a worker.
    pub(crate) worker: bool,
    /// Whether this host's share contains it.
    pub(crate) in_share: bool,
    /// Whether the platform or an operator marked it as leaving.
    pub(crate) leaving: bool,
    /// Health derived from its answers.
    pub(crate) health: Health,
    /// Pools that it serves, with the index of its endpoint in each.
    pub(crate) endpoints: Vec<(u32, u32)>,
    /// Running tasks with their start times, oldest first.
    pub(crate) running: Vec<(Time, u32)>,
    /// Slot of the waiting task for which it is reserved.
    pub(crate) reserved_for: Option<u32>,
    /// Slots presumed to be used by another placer.
    blocked_slots: u32,
    /// Consecutive "busy" answers.
    refusals: u32,
    /// When the blocked slots are offered again.
    blocked_until: Option<Time>,
}

impl Backend {
    /// Creates a backend without tasks.
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

    /// Applies the current inventory entry. A new address resets the health.
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

    /// Returns whether it accepts new tasks at all.
    pub(crate) const fn is_usable(&self) -> bool {
        self.in_share && !self.leaving && self.health.is_active()
    }

    /// Returns the capacity free for new tasks.
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

    /// Returns the capacity of a worker that is free for tasks without accelerators.
    ///
    /// For its free accelerators, a quarter of their proportional share of CPU and
    /// memory is set aside. Otherwise tasks without accelerators could use up the
    /// worker and leave its accelerators unusable.
    pub(crate) fn free_for_plain(&self) -> Resources {
        let free = self.free();
        if self.capacity.accelerators == 0 {
            return free;
        }
        let reserve = |capacity: u32| {
            let part = u64::from(capacity) * u64::from(free.accelerators);
            (part / u64::from(self.capacity.accelerators) / 4) as u32
        };
        let reserved = Resources {
            cpu: reserve(self.capacity.cpu),
            memory: reserve(self.capacity.memory),
            accelerators: 0,
        };
        free.minus(&reserved)
    }

    /// Adds a started task.
    pub(crate) fn add_task(&mut self, now: Time, task: u32, demand: &Resources) {
        self.used = self.used.plus(demand);
        self.running.push((now, task));
    }

    /// Removes a finished task.
    pub(crate) fn remove_task(&mut self, task: u32, demand: &Resources) {
        if let Some(at) = self.running.iter().position(|(_, other)| *other == task) {
            self.running.remove(at);
            self.used = self.used.minus(demand);
        }
    }

    /// Blocks all its remaining slots for a while after a "busy" answer: tasks of
    /// another placer occupy them.
    ///
    /// Otherwise the slots would look free and a task would cycle between queue and
    /// backend until its attempts are used up.
    pub(crate) fn handle_busy(&mut self, now: Time) {
        self.blocked_slots = self.capacity.cpu.saturating_sub(self.used.cpu);
        let span = FIRST_BLOCK_MS << self.refusals.min(MAX_BLOCK_DOUBLINGS);
        self.refusals += 1;
        self.blocked_until = Some(now.after_ms(span));
    }

    /// Returns when the blocked slots are offered again.
    pub(crate) const fn blocked_until(&self) -> Option<Time> {
        self.blocked_until
    }

    /// Offers the blocked slots again.
    pub(crate) fn unblock(&mut self) {
        self.blocked_slots = 0;
        self.blocked_until = None;
    }

    /// Resets the count of "busy" answers after one of another kind.
    pub(crate) fn reset_refusals(&mut self) {
        self.refusals = 0;
    }

    /// Returns the start time of the median running task.
    pub(crate) fn median_start(&self) -> Option<Time> {
        self.running.get(self.running.len() / 2).map(|(start, _)| *start)
    }

    /// Returns its condition, as shown to operators.
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
