//! Queueing of tasks and their end without a start.

use super::effect::PlaceEffect;
use super::placer::Placer;
use super::timer::Timer;
use crate::{Cause, Outcome, Target, Time};

impl Placer {
    /// Adds a task to the queue of its pool.
    pub(crate) fn enqueue(&mut self, now: Time, slot: u32) {
        let Some(task) = self.tasks.get_mut(slot) else { return };
        let pool = &mut self.pools[task.pool as usize];
        let weight = self.teams.get(task.team).weight;
        pool.queue.push(task.team, weight, task.rank(), slot);
        let units = pool.units(&task.demand());
        pool.waiting_units += u64::from(units);
        pool.mean_units += (f64::from(units) - pool.mean_units) / 64.0;
        if let Target::Need(need) = task.order.task.target {
            *pool.waiting_needs.entry(need).or_default() += 1;
        }
        let run_us = if task.trial { 0 } else { pool.fastest_us(task.ln_size) };
        task.expires_at = before(task.order.deadline, run_us).max(now);
        self.timers.insert((task.expires_at, Timer::Expire(slot)));
        self.waiting_count += 1;
    }

    /// Removes a task from the queue of its pool.
    pub(crate) fn dequeue(&mut self, slot: u32) {
        let Some(task) = self.tasks.get_mut(slot) else { return };
        let pool = &mut self.pools[task.pool as usize];
        pool.queue.remove(task.team, &task.rank());
        pool.waiting_units =
            pool.waiting_units.saturating_sub(u64::from(pool.units(&task.demand())));
        if let Target::Need(need) = task.order.task.target {
            let left = pool.waiting_needs.get_mut(&need).map_or(0, |count| {
                *count -= 1;
                *count
            });
            if left == 0 {
                pool.waiting_needs.remove(&need);
            }
        }
        self.timers.remove(&(task.expires_at, Timer::Expire(slot)));
        self.waiting_count -= 1;
        if let Some(id) = task.reserved_worker.take() {
            self.backends[id as usize].reserved_for = None;
            self.refresh(id);
        }
    }

    /// Ends a task that is not queued and reports its outcome to its home.
    pub(crate) fn finish(&mut self, slot: u32, outcome: Outcome, out: &mut Vec<PlaceEffect>) {
        let Some(task) = self.tasks.remove(slot) else { return };
        self.teams.remove_task(task.team);
        let task_key = (task.home, task.order.key);
        self.task_by_key.remove(&task_key);
        let (home, key) = task_key;
        out.push(PlaceEffect::Ended { home, key, outcome });
    }

    /// Removes a task that is not queued, without reporting an outcome.
    pub(crate) fn discard(&mut self, slot: u32) {
        if let Some(task) = self.tasks.remove(slot) {
            self.teams.remove_task(task.team);
            self.task_by_key.remove(&(task.home, task.order.key));
        }
    }

    /// Gives up a waiting task that can no longer meet its deadline, or rearms its
    /// timer.
    pub(crate) fn expire(&mut self, now: Time, slot: u32, out: &mut Vec<PlaceEffect>) {
        let Some(task) = self.tasks.get_mut(slot) else { return };
        let run_us =
            if task.trial { 0 } else { self.pools[task.pool as usize].fastest_us(task.ln_size) };
        let latest_start = before(task.order.deadline, run_us);
        if latest_start > now {
            task.expires_at = latest_start;
            self.timers.insert((latest_start, Timer::Expire(slot)));
            return;
        }
        let pool = task.pool;
        self.dequeue(slot);
        self.finish(slot, Outcome::NotRun(Cause::Deadline), out);
        self.dispatch_after_removal(now, pool, out);
    }
}

/// Returns the time `micros` before `deadline`.
fn before(deadline: Time, micros: u64) -> Time {
    if deadline == Time::NEVER {
        return deadline;
    }
    Time::from_micros(deadline.as_micros().saturating_sub(micros))
}
