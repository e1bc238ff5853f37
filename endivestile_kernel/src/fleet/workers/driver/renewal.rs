//! Replies to lease renewals: which runs go on, which have ended.

use super::{
    BACKOFF_MAX_MS, BACKOFF_MS, Driver, POLL_MS, RENEW_WAIT_MS, Renewal, Stage, UNRESPONSIVE_MS,
};
use crate::Time;
use crate::fleet::workers::protocol::{CallError, EndRecord, RenewReply, RunStatus};
use crate::fleet::workers::run::{
    EndedRun, LostRuns, Phase, Run, RunId, RunOutcome, STOP_TIMEOUT_MS,
};

impl Driver {
    /// Handles the result of a renewal; returns the runs that have ended.
    pub(crate) fn handle_renewal(
        &mut self,
        now: Time,
        number: u64,
        result: Result<RenewReply, CallError>,
    ) -> Vec<EndedRun> {
        let Some(renewal) = self.in_flight.filter(|renewal| renewal.number == number) else {
            return Vec::new();
        };
        self.in_flight = None;
        match result {
            Ok(reply) => self.apply_reply(now, renewal, reply),
            Err(error) => self.renewal_failed(now, renewal, error),
        }
    }

    fn renewal_failed(&mut self, now: Time, renewal: Renewal, error: CallError) -> Vec<EndedRun> {
        self.failures += 1;
        self.failing.get_or_insert((now, self.registered && !self.entry.leaving));
        self.stop_unconfirmed(now);
        let backoff = (BACKOFF_MS << self.failures.min(4)).min(BACKOFF_MAX_MS) / 2;
        self.next_renewal = now.after_ms(backoff);
        match error {
            CallError::Fenced => self.stage = Stage::Fenced,
            // Another worker answers at the address, so this one has ended.
            CallError::OtherIncarnation => {
                self.note_lost(now, true, |_| false);
                self.registered = false;
                if self.records_losses {
                    // What runs there is unknown until a worker replies again.
                    self.stage = Stage::Claiming;
                }
                return self.end_all_runs(RunOutcome::Vanished);
            }
            // Nothing was sent, so the lease was not renewed. Otherwise runs on a worker that
            // never comes back would count as in progress until their callers' deadlines.
            CallError::Unreachable if self.records_losses => {
                let starts = self.runs.values().map(|run| run.sent.after_ms(self.max_lease_ms()));
                self.lease_end = starts.fold(renewal.lease_end_before, Time::max);
            }
            _ => {}
        }
        Vec::new()
    }

    fn apply_reply(&mut self, now: Time, renewal: Renewal, reply: RenewReply) -> Vec<EndedRun> {
        self.failures = 0;
        self.responsive_until = now.after_ms(RENEW_WAIT_MS + UNRESPONSIVE_MS);
        self.next_renewal = now;
        let mut ended_runs = Vec::new();
        if reply.incarnation != 0 && self.incarnation != 0 && reply.incarnation != self.incarnation
        {
            self.note_lost(now, true, |id| lists(&reply, id));
            self.worker_restarted(now);
        }
        self.failing = None;
        if reply.incarnation != 0 {
            self.incarnation = reply.incarnation;
        }
        self.set_clock(now, reply.clock);
        for record in &reply.ended {
            ended_runs.extend(self.apply_end(record));
        }
        for status in &reply.running {
            self.apply_status(now, status);
        }
        ended_runs.extend(self.drop_absent(renewal, &reply));
        self.stop_unconfirmed(now);
        self.update_stage();
        if self.needs_poll() {
            self.next_renewal = now.after_ms(POLL_MS);
        }
        ended_runs
    }

    /// Handles a restart of the worker under the same id. Runs that it does not list ended
    /// with the old process, but a start sent before the restart was known may run in the new
    /// one.
    fn worker_restarted(&mut self, now: Time) {
        self.observed = 0;
        self.stage = Stage::Claiming;
        for run in self.runs.values_mut().filter(|run| run.stopping) {
            // The new process has not seen a stop that the old one confirmed.
            run.stopped_clock = None;
            run.next_stop = now;
        }
    }

    /// Notes the runs that were lost with the worker, unless it was draining. Those that the
    /// new incarnation lists were started by it.
    ///
    /// A start without a reply counts if it was sent before the worker failed: a task that
    /// crashes its worker at once is never confirmed.
    pub(super) fn note_lost(&mut self, now: Time, crashed: bool, listed: impl Fn(&RunId) -> bool) {
        let registered = self.registered && !self.entry.leaving;
        let (at, suspect) = self.failing.unwrap_or((now, registered));
        if !self.records_losses || !suspect {
            return;
        }
        let confirmed = |run: &Run| match run.phase {
            Phase::Running => true,
            Phase::Unconfirmed => run.sent < at,
            Phase::Sent => false,
        };
        let runs = self.runs.iter().filter(|(id, run)| confirmed(run) && !listed(id));
        let tasks = runs.filter_map(|(_, run)| Some((run.task?, run.alone))).collect();
        self.lost_at = now;
        self.lost = Some(LostRuns { incarnation: self.incarnation, at, crashed, tasks });
    }

    fn apply_end(&mut self, record: &EndRecord) -> Option<EndedRun> {
        if record.number <= self.observed {
            return None;
        }
        self.observed = record.number;
        let id = RunId { task: record.task.clone(), run: record.run };
        self.end_run(&id, RunOutcome::Ended(record.end))
    }

    fn apply_status(&mut self, now: Time, status: &RunStatus) {
        let id = RunId { task: status.task.clone(), run: status.run };
        if let Some(run) = self.runs.get_mut(&id) {
            run.percent = status.percent;
            run.seen = now;
            // The reply to the start was lost, not the request.
            if run.phase == Phase::Unconfirmed && !run.stopping {
                run.stop_deadline = Time::NEVER;
            }
            run.phase = Phase::Running;
            return;
        }
        // A former owner's run; its need is unknown, so it occupies the whole worker.
        let run = Run {
            task: None,
            need: self.entry.capacity,
            sent: now,
            expected_end: Time::NEVER,
            percent: status.percent,
            seen: now,
            alone: false,
            stopping: true,
            phase: Phase::Running,
            hold_end: Time::NEVER,
            start_by: 0,
            stopped_clock: None,
            stop_sent: Time::NEVER,
            next_stop: now,
            stop_deadline: now.after_ms(STOP_TIMEOUT_MS),
        };
        self.runs.insert(id, run);
    }

    /// Drops runs that must have ended, since the worker does not list them: stopped before
    /// the reply, not started in time, or confirmed before the renewal was even sent.
    fn drop_absent(&mut self, renewal: Renewal, reply: &RenewReply) -> Vec<EndedRun> {
        let lists = |id: &RunId| lists(reply, id);
        let absent = |id: &RunId, run: &Run| match run.phase {
            _ if lists(id) => false,
            _ if run.stopped_clock.is_some_and(|clock| reply.clock > clock) => true,
            Phase::Unconfirmed => reply.clock > run.start_by,
            Phase::Running => run.seen < renewal.sent && run.sent < renewal.sent,
            Phase::Sent => false,
        };
        let ids: Vec<RunId> = self
            .runs
            .iter()
            .filter(|(id, run)| absent(id, run))
            .map(|(id, _)| id.clone())
            .collect();
        ids.iter().filter_map(|id| self.end_run(id, RunOutcome::Vanished)).collect()
    }

    /// Stops unconfirmed runs that the worker does not list, since they may still start.
    ///
    /// Listed ones go on: on links that lose packets most unconfirmed runs are listed, and
    /// stopping them would make a third of the jobs late.
    fn stop_unconfirmed(&mut self, now: Time) {
        let unconfirmed = self.runs.values_mut().filter(|run| run.phase == Phase::Unconfirmed);
        unconfirmed.for_each(|run| run.request_stop(now));
    }

    fn update_stage(&mut self) {
        if self.stage != Stage::Claiming && self.stage != Stage::Clearing {
            return;
        }
        let foreign = self.runs.values().any(|run| run.start_by == 0);
        self.stage = if foreign { Stage::Clearing } else { Stage::Owned };
    }
}

/// Returns whether a reply lists a run as in progress.
fn lists(reply: &RenewReply, id: &RunId) -> bool {
    reply.running.iter().any(|status| status.run == id.run && status.task == id.task)
}
