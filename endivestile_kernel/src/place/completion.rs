//! Handling of finished calls to backends.

use super::effect::PlaceEffect;
use super::health::CallResult;
use super::placer::{ACCELERATED, Placer};
use super::task_table::BackendCall;
use super::timer::Timer;
use crate::{AttemptEnd, AttemptId, Cause, Level, Metric, Note, Outcome, Time};

/// Number of calls that fail to start a task before it is given up.
const MAX_FAILED_STARTS: u8 = 3;

/// The same limit while the last answer is "busy".
///
/// After a share moves to another host, the previous host's tasks still occupy the
/// slots and the new host gets "busy" for as long as they run. A low limit would
/// refuse tasks merely because a host was stopped. The backend is blocked for a
/// growing time after each such answer, so many attempts cost little.
const MAX_BUSY_STARTS: u8 = 40;

/// First HTTP status that counts against the backend and not against the task.
const SERVER_ERROR: u16 = 500;

/// Fraction of the overall run time below which a failure counts as fast.
const FAST_FRACTION: f64 = 0.25;

impl Placer {
    /// Handles the end of a call.
    pub fn handle_end(
        &mut self,
        now: Time,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<PlaceEffect>,
    ) {
        let Some(slot) = self.task_by_attempt.remove(&attempt) else { return };
        let Some(task) = self.tasks.get(slot) else { return };
        let Some(call) = task.call else { return };
        let demand = task.demand();
        self.backends[call.backend as usize].remove_task(slot, &demand);
        self.record_run_time(now, slot, &call, &end);
        let ejected = self.update_health(now, slot, &call, &end, out);
        if ejected {
            self.handle_backend_change(now, call.backend, out);
        } else {
            self.refresh(call.backend);
        }
        self.finish_call(now, slot, call, end, out);
        self.dispatch_backend(now, call.backend, out);
    }

    /// Reports the outcome of a call to the home, or requeues the task.
    fn finish_call(
        &mut self,
        now: Time,
        slot: u32,
        call: BackendCall,
        end: AttemptEnd,
        out: &mut Vec<PlaceEffect>,
    ) {
        if !call.awaited {
            self.discard(slot);
            return;
        }
        let peer = self.backends[call.backend as usize].name.clone();
        match end {
            AttemptEnd::Answered(bytes) => self.finish(slot, Outcome::Done(bytes), out),
            AttemptEnd::Rejected(status) => {
                self.finish(slot, Outcome::Rejected { peer, status }, out)
            }
            AttemptEnd::Lost => self.finish(slot, Outcome::Lost { peer }, out),
            AttemptEnd::Busy => self.requeue(now, slot, call, Cause::Full, out),
            AttemptEnd::Leaving | AttemptEnd::Unreachable => {
                self.requeue(now, slot, call, Cause::NoBackend, out)
            }
        }
    }

    /// Returns a task that did not start to its place in the queue, or gives it up
    /// after too many attempts.
    fn requeue(
        &mut self,
        now: Time,
        slot: u32,
        call: BackendCall,
        cause: Cause,
        out: &mut Vec<PlaceEffect>,
    ) {
        let Some(task) = self.tasks.get_mut(slot) else { return };
        task.call = None;
        task.failed_starts += 1;
        let pool = &mut self.pools[task.pool as usize];
        pool.queue.refund(task.team, call.cost);
        let unrunnable = !pool.can_run(&task.demand());
        let cause = if unrunnable { Cause::NoBackend } else { cause };
        let max_failed = if cause == Cause::Full { MAX_BUSY_STARTS } else { MAX_FAILED_STARTS };
        if unrunnable || task.failed_starts >= max_failed {
            self.finish(slot, Outcome::NotRun(cause), out);
            return;
        }
        self.enqueue(now, slot);
    }

    /// Records the run time of a task and corrects the cost charged to its team.
    fn record_run_time(&mut self, now: Time, slot: u32, call: &BackendCall, end: &AttemptEnd) {
        let Some(task) = self.tasks.get(slot) else { return };
        let micros = now.since(call.started).as_micros() as u64;
        let pool = &mut self.pools[task.pool as usize];
        // A task stopped at its deadline ran at least this long. Without these samples
        // only short tasks would count, and more and more tasks would be admitted that
        // miss their deadline.
        let stopped = !call.awaited && matches!(end, AttemptEnd::Answered(_) | AttemptEnd::Lost);
        if !stopped && !matches!(end, AttemptEnd::Answered(_)) {
            return;
        }
        let endpoints = &self.backends[call.backend as usize].endpoints;
        if let Some((_, at)) = endpoints.iter().find(|(id, _)| *id == task.pool) {
            let hint = (task.ln_size, task.order.task.declared_ms);
            if !stopped || micros as f64 > pool.typical_us(*at as usize) {
                pool.record_run_time(now, *at as usize, micros, hint);
            }
        }
        let share = f64::from(pool.units(&task.demand())) / pool.mean_units.max(1.0);
        let cost = (micros as f64 * share) as u64;
        if cost > call.cost {
            pool.queue.charge(task.team, cost - call.cost);
        } else {
            pool.queue.refund(task.team, call.cost - cost);
        }
    }

    /// Updates the health of a backend after a call; returns whether the backend was
    /// ejected.
    fn update_health(
        &mut self,
        now: Time,
        slot: u32,
        call: &BackendCall,
        end: &AttemptEnd,
        out: &mut Vec<PlaceEffect>,
    ) -> bool {
        let Some(task) = self.tasks.get(slot) else { return false };
        let pool = &self.pools[task.pool as usize];
        let backend = &mut self.backends[call.backend as usize];
        let fast = now.since(call.started).as_micros() as f64
            <= pool.overall.mean_ln.exp() * FAST_FRACTION;
        let result = match end {
            AttemptEnd::Lost if !call.awaited => return false,
            AttemptEnd::Answered(_) => CallResult::Success,
            AttemptEnd::Rejected(status) if *status < SERVER_ERROR => CallResult::Success,
            AttemptEnd::Rejected(_) if !fast => CallResult::SlowFailure,
            AttemptEnd::Rejected(_) | AttemptEnd::Lost => CallResult::FastFailure,
            AttemptEnd::Unreachable | AttemptEnd::Leaving => CallResult::Unavailable,
            AttemptEnd::Busy => {
                backend.handle_busy(now);
                if let Some(until) = backend.blocked_until() {
                    self.timers.insert((until, Timer::Unblock(call.backend)));
                }
                return false;
            }
        };
        backend.reset_refusals();
        let lenient = pool.failing_count * 2 > pool.usable_count && pool.usable_count > 1;
        let running = backend.running.len() as u32 + 1;
        if !backend.health.record(now, result, running, lenient) {
            return false;
        }
        if let Some(until) = backend.health.ejected_until() {
            self.timers.insert((until, Timer::Probe(call.backend)));
        }
        let note = peer_note("back_end_out", &backend.name, format!("{end:?}"));
        out.push(PlaceEffect::Log(note));
        out.push(PlaceEffect::Count(Metric::Ejections, 1));
        self.suspect_rack(now, call.backend, out);
        true
    }

    /// Suspects the remaining backends of a rack of which several were ejected within a
    /// short time.
    fn suspect_rack(&mut self, now: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        let backend = &self.backends[id as usize];
        if backend.rack.is_empty() {
            return;
        }
        let Some(rack) = self.racks.get_mut(backend.rack_id as usize) else { return };
        if !rack.record_ejection(now, id) {
            return;
        }
        let rack_name = backend.rack.clone();
        let others = rack.backends.clone();
        for other in others {
            self.backends[other as usize].health.suspect();
            self.refresh(other);
        }
        out.push(PlaceEffect::Log(peer_note(
            "rack_doubted",
            &rack_name,
            String::from("several ejected"),
        )));
    }

    /// Starts waiting tasks on a backend that has free capacity again.
    pub(crate) fn dispatch_backend(&mut self, now: Time, id: u32, out: &mut Vec<PlaceEffect>) {
        if self.backends[id as usize].worker {
            self.dispatch(now, ACCELERATED, out);
        }
        for step in 0..self.backends[id as usize].endpoints.len() {
            let (pool, _) = self.backends[id as usize].endpoints[step];
            self.dispatch(now, pool, out);
        }
    }
}

/// Returns a log entry about a backend or rack.
pub(crate) fn peer_note(event: &'static str, peer: &str, reason: String) -> Note {
    let pairs = vec![("peer", peer.to_owned()), ("reason", reason)];
    Note { level: Level::Warn, event, id: None, pairs }
}
