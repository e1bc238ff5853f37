//! Admission of orders to the queue.

use super::effect::PlaceEffect;
use super::placer::Placer;
use super::resources::Resources;
use crate::{Cause, Outcome, PlaceRequest, Time};

/// Interval between trials of tasks whose estimated run time exceeds their
/// deadline, in milliseconds.
const TRIAL_INTERVAL_MS: u64 = 1_000;

impl Placer {
    /// Admits an order to the queue or returns the cause of its refusal.
    ///
    /// On success returns the pool and whether the task is a trial that ignores the
    /// estimated run time.
    pub(crate) fn admit(
        &mut self,
        now: Time,
        team: u32,
        order: &PlaceRequest,
        out: &mut Vec<PlaceEffect>,
    ) -> Result<(u32, bool), Cause> {
        if self.stopping {
            return Err(Cause::Stopping);
        }
        let id = self.pool_of(&order.task.target).ok_or(Cause::NoBackend)?;
        let demand = Resources::demand_of(&order.task.target);
        if !self.pools[id as usize].can_run(&demand) {
            return Err(Cause::NoBackend);
        }
        let state = self.teams.get(team);
        if state.tasks >= state.host_limit {
            return Err(Cause::Limit);
        }
        let weight = state.weight;
        // Refused orders count as demand too: the arrival rate shows how scarce slots are.
        let pool = &mut self.pools[id as usize];
        pool.arrivals.record(now, pool.units(&demand));
        let trial = self.check_deadline(now, id, (team, weight), order)?;
        if self.waiting_count >= self.config.rules.queue_limit {
            self.evict(id, (team, weight), out)?;
        }
        Ok((id, trial))
    }

    /// Refuses an order that cannot finish by its deadline. Returns whether it is a
    /// trial.
    ///
    /// An estimate that exceeds every deadline would refuse all tasks and never be
    /// corrected by a new sample, so one task per [`TRIAL_INTERVAL_MS`] is admitted
    /// regardless.
    fn check_deadline(
        &mut self,
        now: Time,
        id: u32,
        team: (u32, u32),
        order: &PlaceRequest,
    ) -> Result<bool, Cause> {
        let deadline = order.deadline;
        if deadline <= now {
            return Err(Cause::Deadline);
        }
        let pool = &mut self.pools[id as usize];
        if !pool.has_estimate() {
            return Ok(false);
        }
        let ln_size = pool.declared.ln_size(order.task.declared_ms);
        if now.after_us(pool.fastest_us(ln_size)) > deadline {
            if now < pool.next_trial {
                return Err(Cause::Deadline);
            }
            pool.next_trial = now.after_ms(TRIAL_INTERVAL_MS);
            return Ok(true);
        }
        let wait = pool.team_wait_us(team.0, team.1) + pool.start_margin_us(now, ln_size);
        if pool.queue.waiting() > 0 && now.after_us(wait as u64) > deadline {
            return Err(Cause::Deadline);
        }
        Ok(false)
    }

    /// Frees a place in a full queue by refusing the newest task of the team with the
    /// longest queue.
    fn evict(
        &mut self,
        pool: u32,
        team: (u32, u32),
        out: &mut Vec<PlaceEffect>,
    ) -> Result<(), Cause> {
        let queue = &self.pools[pool as usize].queue;
        let slot = queue.newest_of_longest_queue(team.0, team.1).ok_or(Cause::Full)?;
        self.dequeue(slot);
        self.finish(slot, Outcome::NotRun(Cause::Full), out);
        Ok(())
    }
}
