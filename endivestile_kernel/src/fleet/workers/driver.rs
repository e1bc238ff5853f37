//! One worker as its owner drives it: its lease, its runs and its room.
//!
//! An order to a worker may get no answer and still be carried out, also later.
//! So room is counted as taken from the moment an order is sent until the
//! worker itself shows that the run is over, or until no lease can cover it
//! any more. Counting by guesses would overload a worker that starts whatever
//! it is told to start.

mod renewal;

use std::collections::BTreeMap;

use endivestile_config::model::Name;

use crate::fleet::workers::call::{RENEW_MARGIN_MS, REQUEST_TIMEOUT_MS, WorkerCall};
use crate::fleet::workers::protocol::{
    CallError, RenewRequest, StartRequest, StartResult, StopRequest, WorkerEntry,
};
use crate::fleet::workers::run::{
    EndedRun, Phase, Run, RunId, RunOutcome, STOP_TIMEOUT_MS, TaskRef,
};
use crate::{Need, Time};

/// Longest wait of a worker for an end before it answers a hold, in
/// milliseconds: four renewals fit into one lease, so that two may be lost.
const HOLD_WAIT_MS: u64 = 150;
/// Time within which an order to start has to reach its worker, in milliseconds: twice
/// as long as its answer is waited for. A worker refuses it from then on, and one that
/// is not listed by then runs nowhere. With the whole lease in its place a task whose
/// order was held up waits 650 ms.
const START_MS: u64 = 2 * REQUEST_TIMEOUT_MS;
/// Pause between two looks at a worker whose room waits for them, in
/// milliseconds; a stop takes up to fifty.
const LOOK_MS: u64 = 10;
/// Pause after a hold that failed, in milliseconds.
const RETRY_MS: u64 = 60;
/// Longest pause after holds that failed, in milliseconds.
const RETRY_MAX_MS: u64 = 500;
/// Part of the lease, in percent, that a slow clock of a worker adds, and a
/// reserve for the way of the order.
const LEASE_RESERVE: u64 = 4;
/// Longest such wait while nothing runs there, in milliseconds: no lease has to be renewed,
/// and the holds of idle workers would be most of what a large fleet costs.
const IDLE_WAIT_MS: u64 = 450;
/// Time beyond a hold's wait without an answer from which on nothing new is started there,
/// in milliseconds.
const QUIET_MS: u64 = RENEW_MARGIN_MS + 60;

/// How far the owner's token is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The worker has not answered under this token.
    Asking,
    /// Runs of a former owner are being stopped.
    Clearing,
    /// The worker is the owner's alone.
    Owned,
    /// Somebody else's higher token is in force.
    Fenced,
}

/// A hold on its way.
#[derive(Debug, Clone, Copy)]
struct Flight {
    number: u64,
    sent: Time,
    /// How long the worker may wait before it answers, in milliseconds.
    wait: u64,
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Driver {
    /// As it registered itself.
    pub(crate) entry: WorkerEntry,
    /// The pool that it belongs to.
    pub(crate) pool: Name,
    /// Whether its registration stands.
    pub(crate) registered: bool,
    /// Whether another host owns it by now: nothing is ordered any more, and
    /// its runs count until their lease has surely run out.
    pub(crate) abandoned: bool,
    /// Whether its pool is about to go to another owner: nothing new is started there.
    pub(crate) transferring: bool,
    /// Whether its zone is being evacuated: nothing new is started there.
    pub(crate) evacuated: bool,
    /// What takes its room.
    pub(crate) runs: BTreeMap<RunId, Run>,
    /// Length of a lease in milliseconds, a setting.
    pub(crate) lease_ms: u64,
    token: u64,
    /// Since when it is driven under this token.
    since: Time,
    stage: Stage,
    clock: Option<(u64, Time)>,
    incarnation: u64,
    observed: u64,
    flight: Option<Flight>,
    number: u64,
    due: Time,
    faults: u32,
    /// Until when its last answer counts.
    heard_until: Time,
    /// When it last had a run.
    busy_at: Time,
    covered: Time,
}

impl Driver {
    /// Starts to drive a worker under a token.
    pub(crate) fn new(
        now: Time,
        entry: WorkerEntry,
        pool: Name,
        token: u64,
        lease_ms: u64,
    ) -> Self {
        Self {
            incarnation: entry.incarnation,
            entry,
            pool,
            registered: true,
            abandoned: false,
            transferring: false,
            evacuated: false,
            runs: BTreeMap::new(),
            lease_ms,
            token,
            since: now,
            stage: Stage::Asking,
            clock: None,
            observed: 0,
            flight: None,
            number: 0,
            due: now,
            faults: 0,
            heard_until: Time::ZERO,
            busy_at: now,
            covered: now,
        }
    }

    /// Returns the fencing token under which it is driven.
    pub(crate) fn token(&self) -> u64 {
        self.token
    }

    /// Goes on under a later token of the same owner; its own runs stay.
    pub(crate) fn set_token(&mut self, now: Time, token: u64) {
        self.token = token;
        self.since = now;
        self.abandoned = false;
        self.stage = Stage::Asking;
        self.flight = None;
        self.due = now;
    }

    /// Returns whether a higher token is in force there.
    pub(crate) fn fenced(&self) -> bool {
        self.stage == Stage::Fenced
    }

    /// Returns whether the worker answers.
    pub(crate) fn responsive(&self, now: Time) -> bool {
        self.heard_until > now
    }

    /// Returns whether new tasks may be started there.
    pub(crate) fn usable(&self, now: Time) -> bool {
        self.registered
            && !self.abandoned
            && !self.transferring
            && !self.evacuated
            && !self.entry.leaving
            && self.stage == Stage::Owned
            && self.responsive(now)
            && !self.must_lapse(now)
    }

    /// Returns the room that nothing takes.
    pub(crate) fn free_capacity(&self) -> Need {
        let mut free = self.entry.capacity;
        for run in self.runs.values() {
            free.cpu_milli = free.cpu_milli.saturating_sub(run.need.cpu_milli);
            free.memory_mb = free.memory_mb.saturating_sub(run.need.memory_mb);
            free.accelerators = free.accelerators.saturating_sub(run.need.accelerators);
        }
        free
    }

    /// Returns the worker's clock, at most as far as it has come.
    fn clock_at(&self, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at).as_millis() as u64)
    }

    /// Returns the end of a lease that starts now, on the worker's clock.
    fn lease(&mut self, now: Time) -> Option<u64> {
        let until = self.clock_at(now)? + self.lease_ms;
        self.covered = self.covered.max(now.after_ms(self.longest()));
        Some(until)
    }

    /// Orders a start; none while the worker's clock is not known.
    pub(crate) fn start(
        &mut self,
        now: Time,
        id: RunId,
        task: TaskRef,
        need: Need,
        spec: &Name,
    ) -> Option<WorkerCall> {
        let until = self.clock_at(now)? + START_MS;
        self.covered = self.covered.max(now.after_ms(self.longest()));
        let order = StartRequest {
            worker: self.entry.id.clone(),
            address: self.entry.address.clone(),
            task: id.task.clone(),
            run: id.run,
            spec: spec.clone(),
            lease_until: until,
            token: self.token,
        };
        let run = Run {
            task: Some(task),
            need,
            sent: now,
            percent: 0,
            seen: now,
            stopping: false,
            phase: Phase::Sent,
            start_by: until,
            stopped_clock: None,
            next_stop: Time::NEVER,
            stop_deadline: Time::NEVER,
        };
        self.runs.insert(id, run);
        self.busy_at = now;
        // The order carries a short lease, and a hold that waits renews it too late.
        if self.flight.is_some_and(|flight| flight.wait > HOLD_WAIT_MS) {
            self.flight = None;
            self.due = now;
        }
        Some(WorkerCall::Start(order))
    }

    /// Takes in how a start ended.
    pub(crate) fn handle_start(
        &mut self,
        now: Time,
        id: &RunId,
        end: StartResult,
    ) -> Option<EndedRun> {
        let run = self.runs.get_mut(id)?;
        match end {
            StartResult::Started(clock) => {
                if run.phase == Phase::Sent {
                    run.phase = Phase::Running;
                    run.seen = now;
                }
                self.tell_clock(now, clock);
                None
            }
            StartResult::Failed(CallError::Lost) => {
                run.phase = Phase::Unconfirmed;
                // A worker that is not heard at all must not have its lease renewed.
                run.stop_deadline = now.after_ms(STOP_TIMEOUT_MS);
                // The hold on its way may wait for an end; a new one looks at once.
                self.flight = None;
                self.due = now;
                None
            }
            StartResult::Failed(CallError::Fenced) => {
                self.stage = Stage::Fenced;
                self.end_run(id, RunOutcome::NotStarted(end))
            }
            _ => self.end_run(id, RunOutcome::NotStarted(end)),
        }
    }

    /// Asks for the end of a run; its room is free once the worker shows it.
    pub(crate) fn stop_run(&mut self, now: Time, id: &RunId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.request_stop(now);
        }
    }

    /// Takes in how a stop ended.
    pub(crate) fn handle_stop(&mut self, now: Time, id: &RunId, end: Result<u64, CallError>) {
        match end {
            Ok(clock) => {
                self.tell_clock(now, clock);
                if let Some(run) = self.runs.get_mut(id) {
                    run.stopped_clock = Some(clock);
                    run.next_stop = Time::NEVER;
                    run.stop_deadline = Time::NEVER;
                }
                // The hold on its way may wait for an end that does not come.
                self.due = self.due.min(now);
            }
            Err(CallError::Fenced) => self.stage = Stage::Fenced,
            Err(_) => {}
        }
    }

    /// Takes the latest word on the worker's clock. An answer that was overtaken
    /// makes the estimate too early, which shortens a lease and harms nothing.
    fn tell_clock(&mut self, now: Time, clock: u64) {
        self.clock = Some((clock, now));
    }

    fn end_run(&mut self, id: &RunId, outcome: RunOutcome) -> Option<EndedRun> {
        let run = self.runs.remove(id)?;
        Some(EndedRun { id: id.clone(), run, outcome })
    }

    fn end_all_runs(&mut self, outcome: RunOutcome) -> Vec<EndedRun> {
        let runs = std::mem::take(&mut self.runs);
        runs.into_iter().map(|(id, run)| EndedRun { id, run, outcome }).collect()
    }

    /// Does what is due: renews the lease, repeats stops, gives up runs that no
    /// lease covers any more.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<WorkerCall>) -> Vec<EndedRun> {
        let lost = self.abandoned || self.stage == Stage::Fenced;
        let lapsed = self.covered <= now && !self.runs.is_empty();
        let past = if lapsed && (lost || !self.responsive(now)) {
            self.end_all_runs(RunOutcome::Vanished)
        } else {
            Vec::new()
        };
        if lost {
            return past;
        }
        self.repeat_stops(now, out);
        if self.flight.is_none() && self.due <= now {
            self.renew_lease(now, out);
        }
        past
    }

    fn repeat_stops(&mut self, now: Time, out: &mut Vec<WorkerCall>) {
        let (token, worker, address) = (self.token, &self.entry.id, &self.entry.address);
        for (id, run) in &mut self.runs {
            if !run.stopping || run.next_stop > now {
                continue;
            }
            run.next_stop = now.after_ms(REQUEST_TIMEOUT_MS + RETRY_MS);
            out.push(WorkerCall::Stop(StopRequest {
                worker: worker.clone(),
                address: address.clone(),
                task: id.task.clone(),
                run: id.run,
                token,
            }));
        }
    }

    fn renew_lease(&mut self, now: Time, out: &mut Vec<WorkerCall>) {
        self.number += 1;
        let wait = self.wait(now);
        self.flight = Some(Flight { number: self.number, sent: now, wait });
        if self.faults == 0 && self.responsive(now) {
            self.heard_until = self.heard_until.max(now.after_ms(wait + QUIET_MS));
        }
        let clearing = self.stage != Stage::Owned;
        let lapse = clearing || self.must_lapse(now);
        let until = if lapse { None } else { self.lease(now) };
        out.push(WorkerCall::Renew(
            self.number,
            RenewRequest {
                worker: self.entry.id.clone(),
                address: self.entry.address.clone(),
                lease_until: until,
                token: self.token,
                observed: self.observed,
                wait_ms: wait as u32,
            },
        ));
    }

    /// Returns how long the worker may wait for an end before it answers the next hold, in
    /// milliseconds: the longer the longer it has been idle.
    fn wait(&mut self, now: Time) -> u64 {
        if !self.runs.is_empty() {
            self.busy_at = now;
        }
        if self.in_haste() {
            return 0;
        }
        let idle_ms = now.since(self.busy_at).as_millis() as u64;
        (idle_ms / 2).clamp(HOLD_WAIT_MS, IDLE_WAIT_MS)
    }

    /// Returns whether a run there could not be told to stop.
    fn must_lapse(&self, now: Time) -> bool {
        self.runs.values().any(|run| run.stop_deadline <= now)
    }

    /// Returns whether nothing that a former owner ordered can run there: it
    /// has been cleared, or every lease from before has run out.
    pub(crate) fn cleared(&self, now: Time) -> bool {
        self.stage == Stage::Owned || self.since.after_ms(self.longest()) <= now
    }

    /// Returns how long a lease may last by our clock, in milliseconds.
    fn longest(&self) -> u64 {
        self.lease_ms + self.lease_ms * LEASE_RESERVE / 100
    }

    /// Returns whether room waits for nothing but the worker's word.
    fn in_haste(&self) -> bool {
        let open = |run: &Run| run.stopped_clock.is_some() || run.phase == Phase::Unconfirmed;
        self.stage != Stage::Owned || self.runs.values().any(open)
    }

    /// Returns whether nothing runs and nothing is expected there any more.
    pub(crate) fn removable(&self, now: Time) -> bool {
        self.runs.is_empty() && (self.abandoned || !self.responsive(now))
    }
}
