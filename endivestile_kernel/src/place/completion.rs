//! How calls to back ends end, and what is learnt of that.

use super::effect::PlaceEffect;
use super::health::CallResult;
use super::placer::{ACCELERATED, Placer};
use super::task_table::BackendCall;
use super::timer::Timer;
use crate::{AttemptEnd, AttemptId, Cause, Level, Metric, Note, Outcome, Time};

/// Calls that may end without a start before a task is given up.
const MAX_TRIES: u8 = 3;

/// Calls that may find a back end full before a task is given up.
///
/// While a share changes hands, the host that had it still fills its slots, and
/// its successor is told "busy" for as long as those tasks run. Giving up after
/// a few tries would refuse calls just because a host was stopped; the back end
/// is held for a growing time after each, so many tries cost little.
const MAX_BUSY: u8 = 40;

/// First status that speaks against the back end and not against the task.
const SERVER_ERROR: u16 = 500;

/// Part of the usual run time below which a failure counts as fast.
const FAST_PART: f64 = 0.25;

impl Placer {
    /// Takes in how a call ended.
    pub fn handle_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<PlaceEffect>,
    ) {
        let Some(slot) = self.attempts.remove(&attempt) else { return };
        let Some(held) = self.held.get(slot) else { return };
        let Some(run) = held.run else { return };
        let want = held.want();
        self.backends[run.backend as usize].finish(slot, &want);
        self.learn(now, slot, &run, &end);
        let left = self.judge(now, slot, &run, &end, out);
        if left {
            self.changed(now, run.backend, out);
        } else {
            self.refresh(run.backend);
        }
        self.conclude(now, slot, run, end, out);
        self.dispatch_served(now, run.backend, out);
    }

    /// Ends a task by the end of its call, or puts it back into the queue.
    fn conclude(
        &mut self,
        now: Time,
        slot: u32,
        run: BackendCall,
        end: AttemptEnd,
        out: &mut Vec<PlaceEffect>,
    ) {
        if !run.wanted {
            self.forget(slot);
            return;
        }
        let peer = self.backends[run.backend as usize].name.clone();
        match end {
            AttemptEnd::Answered(bytes) => self.settle(slot, Outcome::Done(bytes), out),
            AttemptEnd::Rejected(status) => {
                self.settle(slot, Outcome::Rejected { peer, status }, out)
            }
            AttemptEnd::Lost => self.settle(slot, Outcome::Lost { peer }, out),
            AttemptEnd::Busy => self.again(now, slot, run, Cause::Full, out),
            AttemptEnd::Leaving | AttemptEnd::Unreachable => {
                self.again(now, slot, run, Cause::NoBackend, out)
            }
        }
    }

    /// Puts a task that has surely not started back to its place in the queue.
    fn again(
        &mut self,
        now: Time,
        slot: u32,
        run: BackendCall,
        cause: Cause,
        out: &mut Vec<PlaceEffect>,
    ) {
        let Some(held) = self.held.get_mut(slot) else { return };
        held.run = None;
        held.tries += 1;
        let pool = &mut self.pools[held.pool as usize];
        pool.queue.refund(held.team, run.cost);
        let hopeless = !pool.could_run(&held.want());
        let cause = if hopeless { Cause::NoBackend } else { cause };
        let most = if cause == Cause::Full { MAX_BUSY } else { MAX_TRIES };
        if hopeless || held.tries >= most {
            self.settle(slot, Outcome::NotRun(cause), out);
            return;
        }
        self.enqueue(now, slot);
    }

    /// Learns the run time of an answered task and corrects its team's account.
    fn learn(&mut self, now: Time, slot: u32, run: &BackendCall, end: &AttemptEnd) {
        let Some(held) = self.held.get(slot) else { return };
        let micros = now.since(run.started).as_micros() as u64;
        let pool = &mut self.pools[held.pool as usize];
        // A task that is stopped at its deadline has run at least so long; left
        // out, only short ones would count, and more and more be let in too late.
        let stopped = !run.wanted && matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Lost);
        if !stopped && !matches!(end, AttemptEnd::Answered(_)) {
            return;
        }
        let seats = &self.backends[run.backend as usize].seats;
        if let Some((_, at)) = seats.iter().find(|(id, _)| *id == held.pool) {
            let hint = (held.ln_size, held.order.task.declared_ms);
            if !stopped || micros as f64 > pool.typical_us(*at as usize) {
                pool.learn(now, *at as usize, micros, hint);
            }
        }
        let share = f64::from(pool.units(&held.want())) / pool.typical.max(1.0);
        let cost = (micros as f64 * share) as u64;
        if cost > run.cost {
            pool.queue.charge(held.team, cost - run.cost);
        } else {
            pool.queue.refund(held.team, run.cost - cost);
        }
    }

    /// Judges a back end by the end of a call; returns whether it goes out.
    fn judge(
        &mut self,
        now: Time,
        slot: u32,
        run: &BackendCall,
        end: &AttemptEnd,
        out: &mut Vec<PlaceEffect>,
    ) -> bool {
        let Some(held) = self.held.get(slot) else { return false };
        let pool = &self.pools[held.pool as usize];
        let backend = &mut self.backends[run.backend as usize];
        let fast = now.since(run.started).as_micros() as f64 <= pool.common.ln.exp() * FAST_PART;
        let sign = match end {
            AttemptEnd::Lost if !run.wanted => return false,
            AttemptEnd::Answered(_) => CallResult::Good,
            AttemptEnd::Rejected(status) if *status < SERVER_ERROR => CallResult::Good,
            AttemptEnd::Rejected(_) if !fast => CallResult::Slow,
            AttemptEnd::Rejected(_) | AttemptEnd::Lost => CallResult::Fast,
            AttemptEnd::Unreachable | AttemptEnd::Leaving => CallResult::Away,
            AttemptEnd::Busy => {
                backend.refused(now);
                if let Some(until) = backend.hold_until() {
                    self.timers.insert((until, Timer::Unhold(run.backend)));
                }
                return false;
            }
        };
        backend.taken();
        let spare = pool.sour * 2 > pool.usable && pool.usable > 1;
        let running = backend.running.len() as u32 + 1;
        if !backend.health.note(now, sign, running, spare) {
            return false;
        }
        if let Some(until) = backend.health.until() {
            self.timers.insert((until, Timer::Probe(run.backend)));
        }
        let note = note("back_end_out", &backend.name, format!("{end:?}"));
        out.push(PlaceEffect::Log(note));
        out.push(PlaceEffect::Count(Metric::Ejections, 1));
        self.doubt_rack(now, run.backend, out);
        true
    }

    /// Doubts the rest of a rack of which several back ends went out at once.
    fn doubt_rack(&mut self, now: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        let backend = &self.backends[id as usize];
        if backend.rack.is_empty() {
            return;
        }
        let Some(rack) = self.racks.get_mut(backend.rack_id as usize) else { return };
        if !rack.went_out(now, id) {
            return;
        }
        let name = backend.rack.clone();
        let others = rack.backends.clone();
        for other in others {
            self.backends[other as usize].health.doubt();
            self.refresh(other);
        }
        out.push(PlaceEffect::Log(note("rack_doubted", &name, String::from("several out"))));
    }

    /// Starts what can be started on a back end that has room again.
    pub(crate) fn dispatch_served(&mut self, now: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        if self.backends[id as usize].worker {
            self.dispatch(now, ACCELERATED, out);
        }
        for step in 0..self.backends[id as usize].seats.len() {
            let (pool, _) = self.backends[id as usize].seats[step];
            self.dispatch(now, pool, out);
        }
    }
}

/// Makes a log line on a back end or rack.
pub(crate) fn note(event: &'static str, peer: &str, reason: String) -> Note {
    let pairs = vec![("peer", peer.to_owned()), ("reason", reason)];
    Note { level: Level::Warn, event, id: None, pairs }
}
