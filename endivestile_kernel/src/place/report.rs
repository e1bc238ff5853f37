//! Estimates and status of a placer's share.

use super::placer::Placer;
use super::pool::{Pool, PoolKind};
use super::resources::Resources;
use super::status::ServerStatus;
use crate::{Need, Target, TargetLoad, Task, Time};

impl Placer {
    /// Returns when a task would finish if it were ordered now; `None` if no usable
    /// backend of this share can run it.
    pub fn expected_end(&self, now: Time, task: &Task) -> Option<Time> {
        let pool = &self.pools[self.pool_of(&task.target)? as usize];
        let demand = Resources::demand_of(&task.target);
        if !pool.can_run(&demand) {
            return None;
        }
        Some(now.after_us(pool.finish_us(&demand)))
    }

    /// Returns whether this share takes the task although its expected end is past the
    /// deadline: because there are too few samples to rely on, or as a trial.
    ///
    /// A declared run time alone never refuses a task, since it is often far off. An
    /// estimate by which all tasks are too long is tested once per second; otherwise it
    /// would refuse them forever.
    pub fn allows_trial(&self, now: Time, task: &Task, deadline: Time) -> bool {
        let Some(pool) = self.pool_of(&task.target) else { return false };
        let pool = &self.pools[pool as usize];
        let ln_size = pool.declared.ln_size(task.declared_ms);
        let too_long = now.after_us(pool.fastest_us(ln_size)) > deadline;
        let free = pool.first_free(&Resources::demand_of(&task.target)).is_some();
        (free && !pool.has_estimate()) || (too_long && now >= pool.next_trial)
    }

    /// Returns whether a backend that can run the task is free but no task of its pool
    /// has finished yet, so that its run time is only a guess.
    pub fn has_untried_backend(&self, task: &Task) -> bool {
        let Some(pool) = self.pool_of(&task.target) else { return false };
        let pool = &self.pools[pool as usize];
        !pool.overall.is_known() && pool.first_free(&Resources::demand_of(&task.target)).is_some()
    }

    /// Returns the load of the share: one figure per service and per class of need.
    pub fn figures(&self, _now: Time) -> Vec<TargetLoad> {
        let pools = self.pools.iter().filter(|pool| pool.usable_count > 0);
        pools.map(|pool| self.figure(pool)).collect()
    }

    fn figure(&self, pool: &Pool) -> TargetLoad {
        let free = |endpoint: &super::endpoint::Endpoint| {
            pool.units(&self.backends[endpoint.backend as usize].free())
        };
        let (units, _) = pool.bands.total();
        let free: u32 = pool.endpoints.iter().map(free).sum();
        let units_per_task = pool.mean_units.max(1.0);
        let first = pool.first_free(&Resources::default());
        let service = first.map_or_else(
            || pool.bands.fastest_us().unwrap_or(0.0) * pool.mean_ratio,
            |at| pool.mean_us(at),
        );
        let wait = if free > 0 && pool.queue.waiting() == 0 {
            0.0
        } else {
            pool.wait_us(1.0).unwrap_or(0.0)
        };
        TargetLoad {
            target: target(pool),
            slots: (f64::from(units as u32) / units_per_task) as u32,
            free: (f64::from(free) / units_per_task) as u32,
            waiting: pool.queue.waiting(),
            service_us: service as u32,
            wait_us: wait as u32,
        }
    }

    /// Returns the status of the backends of the share, sorted by name.
    pub fn status(&self, _now: Time) -> Vec<ServerStatus> {
        let in_share = self.backends.iter().filter(|backend| backend.in_share);
        let mut all: Vec<ServerStatus> = in_share
            .map(|backend| {
                let pools = backend.endpoints.iter().map(|(pool, at)| {
                    let pool = &self.pools[*pool as usize];
                    (pool.queue.waiting(), pool.endpoints[*at as usize].run_time)
                });
                let (waiting, run_times): (Vec<u32>, Vec<_>) = pools.unzip();
                let known = run_times.iter().find(|run_time| run_time.is_known());
                ServerStatus {
                    name: backend.name.clone(),
                    slots: backend.capacity.cpu,
                    free: backend.free().cpu,
                    waiting: waiting.iter().sum(),
                    speed_us: known.map_or(0, |run_time| run_time.mean_ln.exp() as u64),
                    health: backend.condition(),
                }
            })
            .collect();
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }
}

/// Returns the target of a pool, with the most demanding waiting need.
fn target(pool: &Pool) -> Target {
    let largest_need = pool.waiting_needs.keys().next_back().copied();
    let need = |accelerators| Need { cpu_milli: 0, memory_mb: 0, accelerators };
    match &pool.kind {
        PoolKind::Service(name) => Target::Service(name.clone()),
        PoolKind::Plain => Target::Need(largest_need.unwrap_or_else(|| need(0))),
        PoolKind::Accelerated => Target::Need(largest_need.unwrap_or_else(|| need(1))),
    }
}
