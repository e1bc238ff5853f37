//! Drives one owned worker: its lease, its runs and its free capacity.
//!
//! A request to a worker may get no reply and still be executed, also later. Capacity
//! therefore counts as occupied from the moment a start is sent until the worker reports
//! the run as ended, or until every lease that could cover it has expired. Assuming less
//! would overload workers that start whatever they are asked to.

mod lease;
mod renewal;

use std::collections::BTreeMap;

use endivestile_config::model::Name;

use crate::fleet::leases::Leases;
use crate::fleet::workers::call::{RENEW_MARGIN_MS, REQUEST_TIMEOUT_MS, WorkerCall};
use crate::fleet::workers::capacity::{CapacityUse, WorkerCapacity};
use crate::fleet::workers::protocol::{
    CallError, RenewRequest, StartRequest, StartResult, StopRequest, WorkerEntry,
};
use crate::fleet::workers::run::{
    EndedRun, LostRuns, Phase, Run, RunId, RunOutcome, STOP_TIMEOUT_MS, TaskRef,
};
use crate::{Need, Time};

/// Long-poll time of the lease renewals of a busy worker, in milliseconds. Four renewals fit
/// into a lease, so that two may be lost.
const RENEW_WAIT_MS: u64 = 150;
/// Time within which a start has to reach its worker, in milliseconds: twice the timeout of
/// its reply. Afterwards the worker refuses it, so a run that is not listed by then does not
/// exist. With the whole lease instead, a task whose start was delayed would wait 650 ms.
const START_WITHIN_MS: u64 = 2 * REQUEST_TIMEOUT_MS;
/// Poll interval while capacity waits for a worker's next reply, in milliseconds. A stop
/// takes up to 50 ms.
const POLL_MS: u64 = 10;
/// Backoff after the first failed renewal, doubled with each further one, in milliseconds;
/// also the pause between the timeout of a stop and its repetition.
const BACKOFF_MS: u64 = 60;
/// Upper bound of twice the backoff after failed renewals, in milliseconds.
const BACKOFF_MAX_MS: u64 = 500;
/// Limit of the long-poll time for an idle worker, in milliseconds. It has no lease to keep
/// alive, and renewals of idle workers would be most of the cost of a large fleet.
const IDLE_WAIT_MS: u64 = 450;
/// Time without a reply, beyond the long-poll time of a renewal, after which a worker counts
/// as unresponsive and gets no new tasks, in milliseconds.
const UNRESPONSIVE_MS: u64 = RENEW_MARGIN_MS + 60;

/// How far ownership under the current token is established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The worker has not replied under this token.
    Claiming,
    /// Runs of a former owner are being stopped.
    Clearing,
    /// No run of a former owner is left.
    Owned,
    /// The worker has accepted a higher token of another owner.
    Fenced,
}

/// A renewal in flight.
#[derive(Debug, Clone, Copy)]
struct Renewal {
    number: u64,
    sent: Time,
    /// Long-poll time, in milliseconds.
    wait_ms: u64,
    /// When every lease granted before it has expired.
    lease_end_before: Time,
}

/// Owner's state of one worker.
#[derive(Debug)]
pub(crate) struct Driver {
    /// Registration.
    pub(crate) entry: WorkerEntry,
    /// Capacity that it is assumed to have; `None` if that of its registration always counts.
    pub(crate) capacity: Option<WorkerCapacity>,
    /// Whether lost runs are recorded as evidence of crashes.
    pub(crate) records_losses: bool,
    /// Runs lost since the scheduler last took them.
    pub(crate) lost: Option<LostRuns>,
    /// When runs were last lost; the worker's health does not suffer from earlier ones.
    pub(crate) lost_at: Time,
    /// Whether it is reserved for a suspected task, which runs alone on it.
    pub(crate) isolated: bool,
    /// Pool that it belongs to.
    pub(crate) pool: Name,
    /// Whether it is still registered.
    pub(crate) registered: bool,
    /// Whether another host owns it now: no more requests are sent, and its runs count
    /// until their lease has expired.
    pub(crate) abandoned: bool,
    /// Whether its pool is being transferred to another owner; no new tasks are started.
    pub(crate) transferring: bool,
    /// Whether its zone is evacuated; no new tasks are started.
    pub(crate) evacuated: bool,
    /// Runs that occupy its capacity.
    pub(crate) runs: BTreeMap<RunId, Run>,
    /// Bounds of its lease.
    pub(crate) leases: Leases,
    token: u64,
    /// When the current token was set.
    token_since: Time,
    stage: Stage,
    /// Worker's clock, in milliseconds, and when it was received.
    clock: Option<(u64, Time)>,
    incarnation: u64,
    /// Number of the last ended run that was handled.
    observed: u64,
    in_flight: Option<Renewal>,
    /// Number of the last renewal; starts with the creation time, in microseconds.
    number: u64,
    /// When to send the next renewal.
    next_renewal: Time,
    /// When the first renewal failed since the last reply, and whether a crash may be the cause:
    /// the worker was registered and not draining.
    failing: Option<(Time, bool)>,
    /// Failed renewals in a row.
    failures: u32,
    /// Until when it counts as responsive.
    responsive_until: Time,
    /// When it last had a run.
    last_busy: Time,
    /// When every lease granted so far has expired.
    lease_end: Time,
}

impl Driver {
    /// Starts driving a worker under a fencing token.
    pub(crate) fn new(
        now: Time,
        entry: WorkerEntry,
        pool: Name,
        token: u64,
        leases: Leases,
    ) -> Self {
        Self {
            incarnation: entry.incarnation,
            entry,
            capacity: None,
            records_losses: false,
            lost: None,
            lost_at: Time::ZERO,
            isolated: false,
            failing: None,
            pool,
            registered: true,
            abandoned: false,
            transferring: false,
            evacuated: false,
            runs: BTreeMap::new(),
            leases,
            token,
            token_since: now,
            stage: Stage::Claiming,
            clock: None,
            observed: 0,
            in_flight: None,
            // A late reply to a renewal of a former driver must not count for this one.
            number: now.as_micros(),
            next_renewal: now,
            failures: 0,
            responsive_until: Time::ZERO,
            last_busy: now,
            lease_end: now,
        }
    }

    /// Returns the current fencing token.
    pub(crate) fn token(&self) -> u64 {
        self.token
    }

    /// Continues under a later token of the same owner, keeping its runs.
    pub(crate) fn set_token(&mut self, now: Time, token: u64) {
        self.token = token;
        self.token_since = now;
        self.abandoned = false;
        self.stage = Stage::Claiming;
        self.in_flight = None;
        self.next_renewal = now;
    }

    /// Returns whether the worker has accepted a higher token of another owner.
    pub(crate) fn fenced(&self) -> bool {
        self.stage == Stage::Fenced
    }

    /// Returns whether the worker has replied recently.
    pub(crate) fn responsive(&self, now: Time) -> bool {
        self.responsive_until > now
    }

    /// Returns whether new tasks may be started on the worker beside others.
    pub(crate) fn usable(&self, now: Time) -> bool {
        !self.isolated && self.accepts_runs(now)
    }

    /// Returns whether new tasks may be started on the worker, if only a suspected one.
    pub(crate) fn accepts_runs(&self, now: Time) -> bool {
        self.registered
            && !self.abandoned
            && !self.transferring
            && !self.evacuated
            && !self.entry.leaving
            && self.stage == Stage::Owned
            && self.responsive(now)
            && !self.withholds_lease(now)
    }

    /// Returns the capacity that no run occupies.
    pub(crate) fn free_capacity(&self) -> Need {
        if let Some(capacity) = &self.capacity {
            return capacity.free(self.capacity_uses());
        }
        let mut free = self.entry.capacity;
        for run in self.runs.values() {
            free.cpu_milli = free.cpu_milli.saturating_sub(run.need.cpu_milli);
            free.memory_mb = free.memory_mb.saturating_sub(run.need.memory_mb);
            free.accelerators = free.accelerators.saturating_sub(run.need.accelerators);
        }
        free
    }

    /// Returns the capacity that the worker is assumed to have.
    pub(crate) fn total_capacity(&self) -> Need {
        self.capacity.as_ref().map_or(self.entry.capacity, WorkerCapacity::assumed)
    }

    /// Returns what each run uses of the worker, in the order of the runs.
    pub(crate) fn capacity_uses(&self) -> impl Iterator<Item = CapacityUse> {
        self.runs.values().map(|run| CapacityUse {
            need: run.task.is_some().then_some(run.need),
            sent: run.sent,
            percent: (run.phase == Phase::Running).then_some(run.percent),
            stopping: run.stopping,
        })
    }

    /// Returns the incarnation that replies, in milliseconds since 1970; 0 if unknown.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the labels of the incarnation that replies; none if another one is registered, since
    /// a worker may be restarted under its id as another kind.
    pub(crate) fn labels(&self) -> &[Name] {
        let (replying, registered) = (self.incarnation, self.entry.incarnation);
        let known = replying == registered || replying == 0 || registered == 0;
        if known { &self.entry.labels } else { &[] }
    }

    /// Returns a lower bound of the worker's clock, in milliseconds.
    fn clock_at(&self, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        Some(clock + now.since(at).as_millis() as u64)
    }

    /// Requests a start of a run that has to end by `hold_end`; `None` while the worker's clock is
    /// unknown, or if its lease may last longer.
    pub(crate) fn start(
        &mut self,
        now: Time,
        id: RunId,
        task: TaskRef,
        need: Need,
        spec: &Name,
        hold_end: Time,
    ) -> Option<WorkerCall> {
        if !self.leases.covers_start(now, hold_end) {
            return None;
        }
        let start_by = self.clock_at(now)? + START_WITHIN_MS;
        self.lease_end = self.lease_end.max(now.after_ms(self.max_lease_ms()));
        let request = StartRequest {
            worker: self.entry.id.clone(),
            address: self.entry.address.clone(),
            task: id.task.clone(),
            run: id.run,
            spec: spec.clone(),
            lease_until: start_by,
            token: self.token,
        };
        let run = Run {
            task: Some(task),
            need,
            sent: now,
            expected_end: Time::NEVER,
            percent: 0,
            seen: now,
            alone: self.isolated,
            stopping: false,
            phase: Phase::Sent,
            hold_end,
            start_by,
            stopped_clock: None,
            stop_sent: Time::NEVER,
            next_stop: Time::NEVER,
            stop_deadline: Time::NEVER,
        };
        self.runs.insert(id, run);
        self.last_busy = now;
        // The start carries a short lease, which would expire before a longer poll ends.
        if self.in_flight.is_some_and(|renewal| renewal.wait_ms > RENEW_WAIT_MS) {
            self.in_flight = None;
            self.next_renewal = now;
        }
        Some(WorkerCall::Start(request))
    }

    /// Handles the result of a start; returns the run if it has ended.
    pub(crate) fn handle_start(
        &mut self,
        now: Time,
        id: &RunId,
        result: StartResult,
    ) -> Option<EndedRun> {
        let run = self.runs.get_mut(id)?;
        match result {
            StartResult::Started(clock) => {
                if run.phase == Phase::Sent {
                    run.phase = Phase::Running;
                    run.seen = now;
                }
                self.set_clock(now, clock);
                None
            }
            StartResult::Failed(CallError::Lost) => {
                run.phase = Phase::Unconfirmed;
                // The lease of an unresponsive worker must not be renewed.
                run.stop_deadline = now.after_ms(STOP_TIMEOUT_MS);
                // The renewal in flight may wait for a run to end; a new one polls at once.
                self.in_flight = None;
                self.next_renewal = now;
                None
            }
            StartResult::Failed(CallError::Fenced) => {
                let sent = run.sent;
                self.apply_fence(sent);
                self.end_run(id, RunOutcome::NotStarted(result))
            }
            StartResult::Failed(CallError::Unreachable) if self.records_losses => {
                // Nobody is at the address: the same task would fail there again at once.
                self.responsive_until = now;
                self.next_renewal = now;
                self.end_run(id, RunOutcome::NotStarted(result))
            }
            _ => self.end_run(id, RunOutcome::NotStarted(result)),
        }
    }

    /// Stops a run; its capacity is free once the worker confirms the end.
    pub(crate) fn stop_run(&mut self, now: Time, id: &RunId) {
        if let Some(run) = self.runs.get_mut(id) {
            run.request_stop(now);
        }
    }

    /// Handles the result of a stop.
    pub(crate) fn handle_stop(&mut self, now: Time, id: &RunId, result: Result<u64, CallError>) {
        match result {
            Ok(clock) => {
                self.set_clock(now, clock);
                if let Some(run) = self.runs.get_mut(id) {
                    run.stopped_clock = Some(clock);
                    run.next_stop = Time::NEVER;
                    run.stop_deadline = Time::NEVER;
                }
                // The renewal in flight may wait for an end that does not come.
                self.next_renewal = self.next_renewal.min(now);
            }
            Err(CallError::Fenced) => {
                if let Some(sent) = self.runs.get(id).map(|run| run.stop_sent) {
                    self.apply_fence(sent);
                }
            }
            Err(_) => {}
        }
    }

    /// Applies the rejection of the token of a call. One that was sent under a former token of this
    /// host only shows that the worker has seen the current one.
    fn apply_fence(&mut self, sent: Time) {
        if sent >= self.token_since {
            self.stage = Stage::Fenced;
        }
    }

    /// Updates the worker's clock. A delayed reply makes it too early, which only shortens
    /// leases.
    fn set_clock(&mut self, now: Time, clock: u64) {
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

    /// Sends due renewals and stops; returns the runs whose leases have all expired.
    pub(crate) fn tick(&mut self, now: Time, out: &mut Vec<WorkerCall>) -> Vec<EndedRun> {
        let not_owner = self.abandoned || self.stage == Stage::Fenced;
        let expired = self.lease_end <= now && !self.runs.is_empty();
        let ended = if expired && (not_owner || !self.responsive(now)) {
            if !not_owner {
                // Not even its registration is left of a worker that is gone.
                self.note_lost(now, !self.registered, |_| false);
            }
            self.end_all_runs(RunOutcome::Vanished)
        } else {
            Vec::new()
        };
        if not_owner {
            return ended;
        }
        self.send_stops(now, out);
        if self.renewal_due(now) {
            self.renew_lease(now, out);
        }
        ended
    }

    /// Sends the stops that are due, also again while they are not confirmed.
    fn send_stops(&mut self, now: Time, out: &mut Vec<WorkerCall>) {
        let (token, worker, address) = (self.token, &self.entry.id, &self.entry.address);
        for (id, run) in &mut self.runs {
            if !run.stopping || run.next_stop > now {
                continue;
            }
            run.stop_sent = now;
            run.next_stop = now.after_ms(REQUEST_TIMEOUT_MS + BACKOFF_MS);
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
        let wait_ms = self.next_wait_ms(now);
        let (number, lease_end_before) = (self.number, self.lease_end);
        self.in_flight = Some(Renewal { number, sent: now, wait_ms, lease_end_before });
        if self.failures == 0 && self.responsive(now) {
            self.responsive_until =
                self.responsive_until.max(now.after_ms(wait_ms + UNRESPONSIVE_MS));
        }
        let clearing = self.stage != Stage::Owned;
        let withhold = clearing || self.withholds_lease(now);
        let lease_until = if withhold { None } else { self.grant_lease(now) };
        out.push(WorkerCall::Renew(
            self.number,
            RenewRequest {
                worker: self.entry.id.clone(),
                address: self.entry.address.clone(),
                lease_until,
                token: self.token,
                observed: self.observed,
                wait_ms: wait_ms as u32,
            },
        ));
    }

    /// Returns the long-poll time of the next renewal, in milliseconds; it grows with the time
    /// for which the worker has been idle.
    fn next_wait_ms(&mut self, now: Time) -> u64 {
        if !self.runs.is_empty() {
            self.last_busy = now;
        }
        if self.needs_poll() {
            return 0;
        }
        let idle_ms = now.since(self.last_busy).as_millis() as u64;
        (idle_ms / 2).clamp(RENEW_WAIT_MS, IDLE_WAIT_MS)
    }

    /// Returns whether capacity waits only for the worker's next reply.
    fn needs_poll(&self) -> bool {
        let unresolved = |run: &Run| run.stopped_clock.is_some() || run.phase == Phase::Unconfirmed;
        self.stage != Stage::Owned || self.runs.values().any(unresolved)
    }

    /// Returns whether the driver can be dropped: it has no runs, and the worker is abandoned or
    /// unresponsive.
    pub(crate) fn removable(&self, now: Time) -> bool {
        self.runs.is_empty() && (self.abandoned || !self.responsive(now))
    }
}
