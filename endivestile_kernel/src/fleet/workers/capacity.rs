//! The capacity that an owner assumes a worker to have, and what a start may use of it.
//!
//! Answers workers whose capacity shrinks and grows under full load, also with a restart under
//! the same id.

use crate::{Need, Time};

/// Time for which runs may exceed a shrunk capacity before one of them is stopped, in
/// milliseconds: one heartbeat of a worker, by which the next registration may show more again.
const EXCESS_MS: u64 = 1_500;
/// Progress, in percent, below which a run has barely begun and may be stopped.
const BARELY_BEGUN_PERCENT: u8 = 10;
/// No resources.
const NOTHING: Need = Need { cpu_milli: 0, memory_mb: 0, accelerators: 0 };

/// Where an assumed capacity comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacitySource {
    /// The registration of the incarnation that replies.
    Registration,
    /// A bound, since another incarnation replies than the one that is registered.
    Bound,
}

impl CapacitySource {
    /// Returns the name used in logs.
    pub fn label(self) -> &'static str {
        match self {
            Self::Registration => "registration",
            Self::Bound => "bound",
        }
    }
}

/// What a run uses of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CapacityUse {
    /// Resources of the run; `None` for a former owner's run, which counts as the whole worker.
    pub need: Option<Need>,
    /// When its start was sent.
    pub sent: Time,
    /// Last reported progress, in percent; `None` while the worker has not confirmed the run.
    pub percent: Option<u8>,
    /// Whether it is being stopped.
    pub stopping: bool,
}

/// The capacity that an owner assumes a worker to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerCapacity {
    /// Incarnation that replies, in milliseconds since 1970; 0 if unknown.
    incarnation: u64,
    /// Incarnation and capacity of the latest registration.
    registered: (u64, Need),
    assumed: Need,
    source: CapacitySource,
    /// When the assumed capacity last changed.
    since: Time,
    /// When a run is stopped because the runs exceed the capacity; `None` if they do not.
    stop_due: Option<Time>,
}

impl WorkerCapacity {
    /// Assumes the capacity of a worker's first registration, of this incarnation.
    pub fn new(now: Time, incarnation: u64, capacity: Need) -> Self {
        Self {
            incarnation,
            registered: (incarnation, capacity),
            assumed: capacity,
            source: CapacitySource::Registration,
            since: now,
            stop_due: None,
        }
    }

    /// Returns the assumed capacity.
    pub fn assumed(&self) -> Need {
        self.assumed
    }

    /// Returns where the assumed capacity comes from.
    pub fn source(&self) -> CapacitySource {
        self.source
    }

    /// Returns the incarnation whose capacity is assumed, in milliseconds since 1970.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the time since the assumed capacity last changed, in milliseconds.
    pub fn age_ms(&self, now: Time) -> u64 {
        now.since(self.since).as_millis() as u64
    }

    /// Applies a registration; returns whether the assumed capacity changed.
    ///
    /// Until the incarnation that it names replies, runs of the other one may still be in
    /// progress, so the smaller capacity counts.
    pub fn register(&mut self, now: Time, incarnation: u64, capacity: Need) -> bool {
        self.registered = (incarnation, capacity);
        if self.is_current(incarnation) {
            self.assume(now, capacity, CapacitySource::Registration)
        } else {
            self.assume(now, least(self.assumed, capacity), CapacitySource::Bound)
        }
    }

    /// Applies the incarnation of a reply; returns whether the assumed capacity changed.
    /// `smallest` is the smallest registered capacity of the service's workers, which bounds
    /// that of an incarnation whose registration has not been seen.
    pub fn observe(&mut self, now: Time, incarnation: u64, smallest: Need) -> bool {
        if incarnation == 0 || incarnation == self.incarnation {
            return false;
        }
        self.incarnation = incarnation;
        let (registered, capacity) = self.registered;
        if self.is_current(registered) {
            self.assume(now, capacity, CapacitySource::Registration)
        } else {
            self.assume(now, least(self.assumed, smallest), CapacitySource::Bound)
        }
    }

    /// Returns the capacity that a start may use: none while the runs exceed the assumed
    /// capacity in any resource, or while a run of unknown need is in progress.
    pub fn free(&self, runs: impl IntoIterator<Item = CapacityUse>) -> Need {
        match self.used(runs) {
            Some(used) if !exceeds(&used, &self.assumed) => Need {
                cpu_milli: self.assumed.cpu_milli - used.cpu_milli,
                memory_mb: self.assumed.memory_mb - used.memory_mb,
                accelerators: self.assumed.accelerators - used.accelerators,
            },
            _ => NOTHING,
        }
    }

    /// Returns whether the runs exceed the assumed capacity in any resource; otherwise no run is
    /// due to be stopped because of an earlier excess.
    pub fn check_excess(&mut self, runs: impl IntoIterator<Item = CapacityUse>) -> bool {
        let exceeded = self.used(runs).is_some_and(|used| exceeds(&used, &self.assumed));
        if !exceeded {
            self.stop_due = None;
        }
        exceeded
    }

    /// Returns the processor time by which the runs exceed the assumed capacity, in thousandths
    /// of a core.
    pub fn excess_cpu_milli(&self, runs: impl IntoIterator<Item = CapacityUse>) -> u32 {
        let used = self.used(runs).unwrap_or(NOTHING);
        used.cpu_milli.saturating_sub(self.assumed.cpu_milli)
    }

    /// Returns the index of the run to stop because the runs have exceeded the capacity for
    /// longer than a heartbeat: the youngest that has barely begun. Runs that are being stopped
    /// do not count as excess, so that no more are stopped than necessary.
    pub fn run_to_stop(&mut self, now: Time, runs: &[CapacityUse]) -> Option<usize> {
        let staying = runs.iter().copied().filter(|run| !run.stopping);
        let exceeded = self.used(staying).is_some_and(|used| exceeds(&used, &self.assumed));
        if !exceeded {
            self.stop_due = None;
            return None;
        }
        let due = *self.stop_due.get_or_insert(now.after_ms(EXCESS_MS));
        if due > now {
            return None;
        }
        let begun = |run: &CapacityUse| run.percent.is_none_or(|it| it >= BARELY_BEGUN_PERCENT);
        let stoppable = runs.iter().enumerate().filter(|(_, run)| !run.stopping && !begun(run));
        stoppable.max_by_key(|(_, run)| run.sent).map(|(index, _)| index)
    }

    /// Returns whether a registration is that of the incarnation that replies, as far as known.
    fn is_current(&self, registered: u64) -> bool {
        registered == self.incarnation || registered == 0 || self.incarnation == 0
    }

    fn assume(&mut self, now: Time, capacity: Need, source: CapacitySource) -> bool {
        self.source = source;
        let changed = capacity != self.assumed;
        if changed {
            self.assumed = capacity;
            self.since = now;
        }
        changed
    }

    /// Returns the resources that runs use; `None` if one of them counts as the whole worker.
    fn used(&self, runs: impl IntoIterator<Item = CapacityUse>) -> Option<Need> {
        runs.into_iter().try_fold(NOTHING, |sum, run| {
            let need = run.need?;
            Some(Need {
                cpu_milli: sum.cpu_milli.saturating_add(need.cpu_milli),
                memory_mb: sum.memory_mb.saturating_add(need.memory_mb),
                accelerators: sum.accelerators.saturating_add(need.accelerators),
            })
        })
    }
}

/// Returns the smaller of two capacities, for each resource.
pub(crate) fn least(one: Need, other: Need) -> Need {
    Need {
        cpu_milli: one.cpu_milli.min(other.cpu_milli),
        memory_mb: one.memory_mb.min(other.memory_mb),
        accelerators: one.accelerators.min(other.accelerators),
    }
}

fn exceeds(used: &Need, capacity: &Need) -> bool {
    used.cpu_milli > capacity.cpu_milli
        || used.memory_mb > capacity.memory_mb
        || used.accelerators > capacity.accelerators
}
