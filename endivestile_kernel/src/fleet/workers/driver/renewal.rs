//! What a worker's answer to a hold shows of its runs.

use super::{Driver, Flight, HOLD_WAIT_MS, LOOK_MS, QUIET_MS, RETRY_MAX_MS, RETRY_MS, Stage};
use crate::Time;
use crate::fleet::workers::protocol::{CallError, EndRecord, RenewReply, RunStatus};
use crate::fleet::workers::run::{EndedRun, Phase, Run, RunId, RunOutcome, STOP_TIMEOUT_MS};

impl Driver {
    /// Takes in the answer to a hold; returns the runs that are over.
    pub(crate) fn handle_renewal(
        &mut self,
        now: Time,
        number: u64,
        end: Result<RenewReply, CallError>,
    ) -> Vec<EndedRun> {
        let Some(flight) = self.flight.filter(|flight| flight.number == number) else {
            return Vec::new();
        };
        self.flight = None;
        match end {
            Ok(held) => self.look(now, flight, held),
            Err(fault) => self.fault(now, fault),
        }
    }

    fn fault(&mut self, now: Time, fault: CallError) -> Vec<EndedRun> {
        self.faults += 1;
        self.stop_unsure(now);
        let pause = (RETRY_MS << self.faults.min(4)).min(RETRY_MAX_MS) / 2;
        self.due = now.after_ms(pause);
        match fault {
            CallError::Fenced => self.stage = Stage::Fenced,
            // Somebody else answers at the address: this life has ended.
            CallError::OtherIncarnation => {
                self.registered = false;
                return self.end_all_runs(RunOutcome::Vanished);
            }
            _ => {}
        }
        Vec::new()
    }

    fn look(&mut self, now: Time, flight: Flight, held: RenewReply) -> Vec<EndedRun> {
        self.faults = 0;
        self.heard_until = now.after_ms(HOLD_WAIT_MS + QUIET_MS);
        self.due = now;
        let mut past = Vec::new();
        if held.incarnation != 0 && self.incarnation != 0 && held.incarnation != self.incarnation {
            self.reborn(now);
        }
        if held.incarnation != 0 {
            self.incarnation = held.incarnation;
        }
        self.tell_clock(now, held.clock);
        for row in &held.ended {
            past.extend(self.ended(row));
        }
        for row in &held.running {
            self.running(now, row);
        }
        past.extend(self.absent(flight, &held));
        self.stop_unsure(now);
        self.settle_stage();
        if self.in_haste() {
            self.due = now.after_ms(LOOK_MS);
        }
        past
    }

    /// The worker has started again under its id. Runs that it does not list
    /// are gone with its former life, but an order that was sent before this
    /// was known may run in the new one.
    fn reborn(&mut self, now: Time) {
        self.observed = 0;
        self.stage = Stage::Asking;
        for run in self.runs.values_mut().filter(|run| run.stopping) {
            // The new life knows nothing of a stop that the former one answered.
            run.stopped_clock = None;
            run.next_stop = now;
        }
    }

    fn ended(&mut self, row: &EndRecord) -> Option<EndedRun> {
        if row.number <= self.observed {
            return None;
        }
        self.observed = row.number;
        let id = RunId { task: row.task.clone(), run: row.run };
        self.end_run(&id, RunOutcome::Ended(row.end))
    }

    fn running(&mut self, now: Time, row: &RunStatus) {
        let id = RunId { task: row.task.clone(), run: row.run };
        if let Some(run) = self.runs.get_mut(&id) {
            run.percent = row.percent;
            run.seen = now;
            // The answer to the order was lost, not the order.
            if run.phase == Phase::Unconfirmed && !run.stopping {
                run.stop_deadline = Time::NEVER;
            }
            run.phase = Phase::Running;
            return;
        }
        // A former owner's run: nothing is known of what it takes.
        let run = Run {
            task: None,
            need: self.entry.capacity,
            sent: now,
            percent: row.percent,
            seen: now,
            stopping: true,
            phase: Phase::Running,
            start_by: 0,
            stopped_clock: None,
            next_stop: now,
            stop_deadline: now.after_ms(STOP_TIMEOUT_MS),
        };
        self.runs.insert(id, run);
    }

    /// Drops runs that the worker shows to be over by not listing them: those
    /// stopped before it looked, those whose start came too late, and those
    /// that it had before the hold was even sent.
    fn absent(&mut self, flight: Flight, held: &RenewReply) -> Vec<EndedRun> {
        let lists =
            |id: &RunId| held.running.iter().any(|row| row.run == id.run && row.task == id.task);
        let gone = |id: &RunId, run: &Run| match run.phase {
            _ if lists(id) => false,
            _ if run.stopped_clock.is_some_and(|clock| held.clock > clock) => true,
            Phase::Unconfirmed => held.clock > run.start_by,
            Phase::Running => run.seen < flight.sent && run.sent < flight.sent,
            Phase::Sent => false,
        };
        let ids: Vec<RunId> =
            self.runs.iter().filter(|(id, run)| gone(id, run)).map(|(id, _)| id.clone()).collect();
        ids.iter().filter_map(|id| self.end_run(id, RunOutcome::Vanished)).collect()
    }

    /// Stops runs whose orders got no answer and that the worker does not list: they
    /// may yet start. Those that it lists go on; on links that lose packets these are
    /// most, and to stop them would make a third of the jobs late.
    fn stop_unsure(&mut self, now: Time) {
        let unsure = self.runs.values_mut().filter(|run| run.phase == Phase::Unconfirmed);
        unsure.for_each(|run| run.request_stop(now));
    }

    fn settle_stage(&mut self) {
        if self.stage != Stage::Asking && self.stage != Stage::Clearing {
            return;
        }
        let foreign = self.runs.values().any(|run| run.start_by == 0);
        self.stage = if foreign { Stage::Clearing } else { Stage::Owned };
    }
}
