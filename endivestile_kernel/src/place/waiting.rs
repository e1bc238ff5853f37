//! Tasks that wait, and their end without a start.

use super::effect::PlaceEffect;
use super::placer::Placer;
use super::timer::Timer;
use crate::{Cause, Outcome, Target, Time};

impl Placer {
    /// Puts a task into the queue of its pool.
    pub(crate) fn enqueue(&mut self, now: Time, slot: u32) {
        let Some(held) = self.held.get_mut(slot) else { return };
        let pool = &mut self.pools[held.pool as usize];
        let weight = self.teams.get(held.team).weight;
        pool.queue.push(held.team, weight, held.rank(), slot);
        let units = pool.units(&held.want());
        pool.wanted += u64::from(units);
        pool.typical += (f64::from(units) - pool.typical) / 64.0;
        if let Target::Need(need) = held.order.task.target {
            *pool.needs.entry(need).or_default() += 1;
        }
        let fastest = if held.trial { 0 } else { pool.fastest_us(held.ln_size) };
        held.drop_at = before(held.order.deadline, fastest).max(now);
        self.timers.insert((held.drop_at, Timer::Drop(slot)));
        self.waiting += 1;
    }

    /// Takes a task out of the queue of its pool.
    pub(crate) fn unqueue(&mut self, slot: u32) {
        let Some(held) = self.held.get_mut(slot) else { return };
        let pool = &mut self.pools[held.pool as usize];
        pool.queue.remove(held.team, &held.rank());
        pool.wanted = pool.wanted.saturating_sub(u64::from(pool.units(&held.want())));
        if let Target::Need(need) = held.order.task.target {
            let left = pool.needs.get_mut(&need).map_or(0, |count| {
                *count -= 1;
                *count
            });
            if left == 0 {
                pool.needs.remove(&need);
            }
        }
        self.timers.remove(&(held.drop_at, Timer::Drop(slot)));
        self.waiting -= 1;
        if let Some(id) = held.kept.take() {
            self.backends[id as usize].kept = None;
            self.refresh(id);
        }
    }

    /// Ends a task that does not wait in a queue any more.
    pub(crate) fn settle(&mut self, slot: u32, outcome: Outcome, out: &mut Vec<PlaceEffect>) {
        let Some(held) = self.held.remove(slot) else { return };
        self.teams.release(held.team);
        let name = (held.home, held.order.key);
        self.index.remove(&name);
        let (home, key) = name;
        out.push(PlaceEffect::Ended { home, key, outcome });
    }

    /// Forgets a task that does not wait in a queue any more.
    pub(crate) fn forget(&mut self, slot: u32) {
        if let Some(held) = self.held.remove(slot) {
            self.teams.release(held.team);
            self.index.remove(&(held.home, held.order.key));
        }
    }

    /// Gives up a waiting task that can't make its deadline any more.
    pub(crate) fn give_up(&mut self, now: Time, slot: u32, out: &mut Vec<PlaceEffect>) {
        let Some(held) = self.held.get_mut(slot) else { return };
        let fastest =
            if held.trial { 0 } else { self.pools[held.pool as usize].fastest_us(held.ln_size) };
        let last = before(held.order.deadline, fastest);
        if last > now {
            held.drop_at = last;
            self.timers.insert((last, Timer::Drop(slot)));
            return;
        }
        let pool = held.pool;
        self.unqueue(slot);
        self.settle(slot, Outcome::NotRun(Cause::Deadline), out);
        self.dispatch_behind(now, pool, out);
    }
}

/// Returns the instant `micros` before `deadline`.
fn before(deadline: Time, micros: u64) -> Time {
    if deadline == Time::NEVER {
        return deadline;
    }
    Time::from_micros(deadline.as_micros().saturating_sub(micros))
}
