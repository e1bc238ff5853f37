//! What a placer does when an instant comes.

use super::completion::note;
use super::effect::PlaceEffect;
use super::placer::{ACCELERATED, PLAIN, Placer};
use super::timer::Timer;
use crate::Time;

/// Time between two looks at speeds that were not confirmed, in milliseconds.
const REVISIT_MS: u64 = 5_000;

/// Time after which a speed that was not confirmed drifts to that of all, in milliseconds.
const STALE_MS: u64 = 20_000;

/// Time after another back end's probe at which its result is looked at, in milliseconds.
const PROBE_AFTER_MS: u64 = 50;

/// Part of the way that it drifts at each look.
const DRIFT: f64 = 0.25;

impl Placer {
    /// Does what is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<PlaceEffect>) {
        while let Some(&(due, timer)) = self.timers.first() {
            if due > now {
                return;
            }
            self.timers.pop_first();
            self.fire(now, due, timer, out);
        }
    }

    /// Returns when something is due.
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.first().map(|(due, _)| *due).filter(|due| *due != Time::NEVER)
    }

    fn fire(&mut self, now: Time, due: Time, timer: Timer, out: &mut Vec<PlaceEffect>) {
        match timer {
            Timer::Drop(slot) => self.give_up(now, slot, out),
            Timer::Patience(pool) => self.dispatch(now, pool, out),
            Timer::Probe(id) => self.probe(now, due, id, out),
            Timer::Unhold(id) => {
                let backend = &mut self.backends[id as usize];
                if backend.hold_until() != Some(due) {
                    return;
                }
                backend.unhold();
                self.refresh(id);
                self.dispatch_served(now, id, out);
            }
            Timer::Revisit => self.look_after(now, out),
        }
    }

    /// Lets a back end be probed by a task, unless another one of its rack is
    /// probed for it.
    fn probe(&mut self, now: Time, due: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        if self.backends[id as usize].health.until() != Some(due) {
            return;
        }
        if let Some(until) = self.probed_for(now, id) {
            self.backends[id as usize].health.postpone(until);
            self.timers.insert((until, Timer::Probe(id)));
            return;
        }
        let backend = &mut self.backends[id as usize];
        backend.health.probe();
        let line = note("back_end_probed", &backend.name, String::from("time out over"));
        out.push(PlaceEffect::Log(line));
        self.changed(now, id, out);
    }

    /// Returns when to look again at the back end that is probed for `id`.
    fn probed_for(&mut self, now: Time, id: u32) -> Option<Time> {
        let rack = self.racks.get_mut(self.backends[id as usize].rack_id as usize)?;
        let prober = rack.prober.filter(|prober| *prober != id)?;
        let backend = &self.backends[prober as usize];
        if backend.leaving || !backend.listed || backend.health.proven() {
            rack.prober = None;
            return None;
        }
        let until = backend.health.until().filter(|until| *until > now);
        Some(until.unwrap_or(now).after_ms(PROBE_AFTER_MS))
    }

    /// Arms the next look at stale speeds.
    pub(crate) fn arm_revisit(&mut self, now: Time) {
        if self.revisit.is_none() {
            let due = now.after_ms(REVISIT_MS);
            self.revisit = Some(due);
            self.timers.insert((due, Timer::Revisit));
        }
    }

    /// Lets speeds drift to that of all when they were not confirmed for long,
    /// and sorts the workers anew.
    ///
    /// A back end that was slow once gets no tasks while others are free, and
    /// so could never show that it is fast again.
    fn look_after(&mut self, now: Time, out: &mut Vec<PlaceEffect>) {
        self.revisit = None;
        for pool in &mut self.pools {
            let common = pool.common.ln;
            for seat in &mut pool.seats {
                let speed = &mut seat.speed;
                if speed.known() && speed.last.after_ms(STALE_MS) <= now && speed.ln > common {
                    speed.ln += (common - speed.ln) * DRIFT;
                }
                seat.stalled = None;
            }
        }
        self.seat_workers(PLAIN);
        self.seat_workers(ACCELERATED);
        for id in 0..self.backends.len() as u32 {
            self.refresh(id);
        }
        self.dispatch_all(now, out);
        if !self.is_idle() {
            self.arm_revisit(now);
        }
    }
}
