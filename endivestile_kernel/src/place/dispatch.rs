//! Waiting tasks and their start.

use super::effect::PlaceEffect;
use super::placer::{ACCELERATED, PLAIN, Placer};
use super::policy_input::{PolicyInput, TaskProfile};
use super::resources::Resources;
use super::task_table::BackendCall;
use super::timer::Timer;
use crate::{AttemptId, Metric, Time};

/// Teams whose first tasks are looked at before a pool waits.
const LINES: usize = 4;

/// Tasks of each of them that are looked at: on workers a small one may fit
/// where a big one does not.
const DEPTH: usize = 4;

/// Smaller tasks that may overtake one that does not fit before a worker is
/// kept free for it.
const OVERTAKES: u8 = 8;

/// Times a middle task may exceed the usual run time before its back end is
/// believed slower.
const OVERDUE: f64 = 3.0;

/// Free back ends that are compared by rack.
const RACK_CHOICES: usize = 4;

/// What came of looking for a back end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pick {
    /// This seat.
    At(usize),
    /// None has room.
    Full,
    /// A faster one is worth waiting for.
    Wait,
    /// It would be too late on the one that is free.
    Late,
}

impl Placer {
    /// Starts what can be started in all pools; accelerators are offered first
    /// to the tasks that need them.
    pub(crate) fn dispatch_all(&mut self, now: Time, out: &mut Vec<PlaceEffect>) {
        self.dispatch(now, ACCELERATED, out);
        for pool in 0..self.pools.len() as u32 {
            self.dispatch(now, pool, out);
        }
    }

    /// Starts what can be started in a pool.
    pub(crate) fn dispatch(&mut self, now: Time, pool: u32, out: &mut Vec<PlaceEffect>) {
        while let Some((slot, at)) = self.next_start(now, pool) {
            self.start(now, slot, at, out);
        }
    }

    /// Returns the next task to start and its seat.
    fn next_start(&mut self, now: Time, pool: u32) -> Option<(u32, usize)> {
        let mut heads = [0; LINES * DEPTH];
        let count = self.heads(pool, &mut heads);
        let sized = !self.pools[pool as usize].on_workers();
        let mut first = Pick::Full;
        for (step, &slot) in heads[..count].iter().enumerate() {
            let smaller = sized && self.smaller_behind(&heads[step..count]);
            let pick = self.pick(now, pool, slot, smaller);
            if step == 0 {
                first = pick;
            }
            match pick {
                Pick::At(at) => {
                    if step > 0 && first == Pick::Full {
                        self.overtake(heads[0]);
                    }
                    return Some((slot, at));
                }
                Pick::Wait => self.be_patient(now, pool, slot),
                Pick::Full if !self.pools[pool as usize].on_workers() => return None,
                Pick::Full | Pick::Late => {}
            }
        }
        None
    }

    /// Returns whether a task of the same team as the first of `heads` is
    /// smaller than it.
    fn smaller_behind(&self, heads: &[u32]) -> bool {
        let sizes = heads.iter().filter_map(|slot| self.held.get(*slot));
        let mut sizes = sizes.map(|held| (held.team, held.ln_size));
        let Some((team, size)) = sizes.next() else { return false };
        sizes.take_while(|(other, _)| *other == team).any(|(_, other)| other < size)
    }

    fn heads(&self, pool: u32, heads: &mut [u32]) -> usize {
        let pool = &self.pools[pool as usize];
        if pool.queue.waiting() == 0 || pool.usable == 0 {
            return 0;
        }
        let (lines, depth) = if pool.on_workers() {
            (LINES, DEPTH)
        } else if pool.declared.slope() > 0.0 {
            (1, LINES * DEPTH)
        } else {
            (LINES, 1)
        };
        let mut count = 0;
        for (at, slot) in pool.queue.heads(lines, depth).enumerate() {
            heads[at] = slot;
            count = at + 1;
        }
        count
    }

    /// Looks for a back end for a task.
    fn pick(&mut self, now: Time, id: u32, slot: u32, smaller: bool) -> Pick {
        let Some(held) = self.held.get(slot) else { return Pick::Full };
        let (want, run, kept) = (held.want(), held.order.key.run, held.kept);
        let (ln_size, patient) = (held.ln_size, held.patient);
        let (deadline, trial) = (held.order.deadline, held.trial);
        if let Some(at) = kept.and_then(|backend| self.kept_seat(id, backend, &want)) {
            return Pick::At(at);
        }
        let near = self.nearest(now, id, &want, run);
        if near.is_none() {
            return Pick::Full;
        }
        let pool = &self.pools[id as usize];
        let choice =
            PolicyInput::new(pool, want, near, now, TaskProfile { ln_size, patient, smaller });
        let Some(at) = (self.choose)(&choice, &mut self.rng) else { return Pick::Wait };
        if !choice.free(at) {
            return Pick::Full;
        }
        let late =
            pool.judged() && now.after_us((pool.typical_us(at) * ln_size.exp()) as u64) > deadline;
        if late && !trial { Pick::Late } else { Pick::At(at) }
    }

    fn kept_seat(&self, id: u32, backend: u32, want: &Resources) -> Option<usize> {
        let backend = &self.backends[backend as usize];
        let seat = backend.seats.iter().find(|(pool, _)| *pool == id);
        seat.filter(|_| backend.free().holds(want)).map(|(_, at)| *at as usize)
    }

    /// Returns the fastest seat with room, on another rack than the job's last
    /// task among equals.
    fn nearest(&mut self, now: Time, id: u32, want: &Resources, run: u64) -> Option<usize> {
        let pool = &self.pools[id as usize];
        if pool.on_workers() {
            return pool.tree.find(want, 0);
        }
        for _ in 0..RACK_CHOICES {
            let at = self.pools[id as usize].free.first()?.at();
            if !self.stalls(now, id, at) {
                break;
            }
        }
        let pool = &self.pools[id as usize];
        let first = pool.free.first()?;
        let Some((_, rack)) = pool.last.filter(|(last, _)| *last == run) else {
            return Some(first.at());
        };
        let mut equals =
            pool.free.iter().take(RACK_CHOICES).take_while(|key| key.step() <= first.step() + 1);
        let other = equals.find(|key| pool.seats[key.at()].rack != rack);
        Some(other.unwrap_or(first).at())
    }

    /// Believes a back end slower whose tasks are long overdue; returns whether
    /// that is new.
    ///
    /// A back end that has become slow shows it only when its first slow task
    /// ends; until then it looks the fastest and fills up. A single long task
    /// does not count, only the middle one of several.
    fn stalls(&mut self, now: Time, id: u32, at: usize) -> bool {
        let pool = &mut self.pools[id as usize];
        let backend = pool.seats[at].backend;
        let state = &self.backends[backend as usize];
        let Some(start) = state.middle_start().filter(|_| state.running.len() > 2) else {
            return false;
        };
        let elapsed = now.since(start).as_micros() as f64;
        if !pool.judged() || elapsed < pool.mean_us(at) * OVERDUE {
            return false;
        }
        pool.seats[at].stalled = Some(elapsed.ln());
        self.refresh(backend);
        true
    }

    /// Counts that a task which did not fit was overtaken, and keeps a worker
    /// free for it when that happens too often.
    ///
    /// Small tasks fill every gap; a task that needs most of a worker would
    /// never find one that is empty enough and miss its deadline in an
    /// otherwise quick pool.
    fn overtake(&mut self, slot: u32) {
        let Some(held) = self.held.get_mut(slot) else { return };
        held.overtaken = held.overtaken.saturating_add(1);
        if held.overtaken < OVERTAKES || held.kept.is_some() {
            return;
        }
        let want = held.want();
        let seats = &self.pools[held.pool as usize].seats;
        let fitting = seats.iter().map(|seat| seat.backend).filter(|id| {
            let backend = &self.backends[*id as usize];
            backend.usable() && backend.kept.is_none() && backend.total.holds(&want)
        });
        let best = fitting.max_by_key(|id| self.backends[*id as usize].free().share(&want));
        let Some(id) = best else { return };
        held.kept = Some(id);
        self.backends[id as usize].kept = Some(slot);
        self.refresh(id);
    }

    /// Wakes up when a task has waited long enough for a faster back end.
    fn be_patient(&mut self, now: Time, id: u32, slot: u32) {
        let Some(held) = self.held.get_mut(slot) else { return };
        if held.patient.is_some() {
            return;
        }
        let pool = &self.pools[id as usize];
        let Some(first) = pool.first_free(&held.want()) else { return };
        let until = now.after_us((pool.typical_us(first) * held.ln_size.exp()) as u64 + 1);
        held.patient = Some(until);
        self.timers.insert((until, Timer::Patience(id)));
    }

    /// Starts a task on a seat of its pool.
    fn start(&mut self, now: Time, slot: u32, at: usize, out: &mut Vec<PlaceEffect>) {
        self.unqueue(slot);
        let attempt = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let Some(held) = self.held.get_mut(slot) else { return };
        let pool = &mut self.pools[held.pool as usize];
        let want = held.want();
        let id = pool.seats[at].backend;
        let share = f64::from(pool.units(&want)) / pool.typical.max(1.0);
        let cost = (pool.mean_us(at) * held.ln_size.exp() * share) as u64;
        pool.queue.charge(held.team, cost);
        pool.cursor = at + 1;
        pool.turn = pool.turn.wrapping_add(1);
        pool.seats[at].turn = pool.turn;
        pool.last = Some((held.order.key.run, pool.seats[at].rack));
        held.run = Some(BackendCall { attempt, backend: id, started: now, cost, wanted: true });
        let backend = &mut self.backends[id as usize];
        backend.start(now, slot, &want);
        out.push(PlaceEffect::Start {
            attempt,
            server: backend.name.clone(),
            address: backend.address.clone(),
            path: pool.path.clone(),
            order: held.order.clone(),
        });
        out.push(PlaceEffect::Count(Metric::Starts, 1));
        self.attempts.insert(attempt, slot);
        self.refresh(id);
    }

    /// Starts what a task that left the queue kept from starting: on workers
    /// it may have stood before smaller ones, or had a worker kept free.
    pub(crate) fn dispatch_behind(&mut self, now: Time, pool: u32, out: &mut Vec<PlaceEffect>) {
        if self.pools[pool as usize].on_workers() {
            self.dispatch(now, ACCELERATED, out);
            self.dispatch(now, PLAIN, out);
        }
    }
}
