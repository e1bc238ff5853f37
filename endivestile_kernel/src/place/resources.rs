//! Resource vectors of backends and tasks.

use crate::{Need, Target};

/// Slots of a backend server, or resources of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Resources {
    /// Slots, or millicores of a worker.
    pub(crate) cpu: u32,
    /// Memory in MiB.
    pub(crate) memory: u32,
    /// Accelerators.
    pub(crate) accelerators: u32,
}

impl Resources {
    /// Returns the capacity of a backend server with `count` slots.
    pub(crate) const fn slots(count: u32) -> Self {
        Self { cpu: count, memory: 0, accelerators: 0 }
    }

    /// Returns the capacity that a task needs, never zero.
    pub(crate) fn demand_of(target: &Target) -> Self {
        match target {
            Target::Service(_) => Self::slots(1),
            Target::Need(need) => Self::from(*need),
        }
    }

    /// Returns whether `demand` fits.
    pub(crate) const fn covers(&self, demand: &Self) -> bool {
        self.cpu >= demand.cpu
            && self.memory >= demand.memory
            && self.accelerators >= demand.accelerators
    }

    /// Returns the sum with `other`.
    pub(crate) const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns the difference to `other`, never below zero.
    pub(crate) const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the share of `demand` that fits, in thousandths.
    pub(crate) fn fit_permille(&self, demand: &Self) -> u64 {
        let permille =
            |have: u32, need: u32| u64::from(have.min(need)) * 1_000 / u64::from(need.max(1));
        let optional = |have: u32, need: u32| if need == 0 { 1_000 } else { permille(have, need) };
        let cpu = permille(self.cpu, demand.cpu);
        cpu.min(optional(self.memory, demand.memory))
            .min(optional(self.accelerators, demand.accelerators))
    }

    /// Returns the component-wise maximum.
    pub(crate) fn max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory: self.memory.max(other.memory),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }
}

impl From<Need> for Resources {
    fn from(need: Need) -> Self {
        Self {
            cpu: need.cpu_milli.max(1),
            memory: need.memory_mb,
            accelerators: u32::from(need.accelerators),
        }
    }
}
