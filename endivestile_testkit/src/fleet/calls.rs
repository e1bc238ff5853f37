//! Simulated callers: the jobs that they submit, and the outcomes.

use endivestile_config::model::Name;
use endivestile_kernel::CallId;
use endivestile_kernel::fleet::{FleetEvent, Job, JobEnd, Step};

use super::worker::zero_need;
use super::world::{FleetWorld, ScheduledEvent, Work};

/// Time after which a caller without an answer submits its job again, in microseconds.
const RESUBMIT_DELAY_US: u64 = 1_300_000;

/// A call and its outcome.
#[derive(Debug)]
pub(crate) struct CallLog {
    /// Name of the call in the story.
    pub(crate) name: String,
    /// Id of the job.
    pub(crate) id: Name,
    /// Host that accepted the call, and its incarnation.
    pub(crate) front: (Name, u64),
    /// Virtual time of the call, in microseconds.
    pub(crate) made_at: u64,
    /// Virtual time and outcome of its end; the outcome is `None` if the connection broke.
    pub(crate) ended: Option<(u64, Option<JobEnd>)>,
    /// The job, with its deadline counted from zero, and the duration of each task in
    /// milliseconds.
    pub(crate) submission: (Job, u64),
    /// Whether the caller submits the job again after an end without an answer.
    pub(crate) resubmit: bool,
}

impl FleetWorld {
    /// Submits a job to a host; the job's deadline is counted from zero. Does nothing if the
    /// host is dead.
    pub(crate) fn submit(
        &mut self,
        name: &str,
        front: &Name,
        job: Job,
        work_ms: u64,
        resubmit: bool,
    ) {
        let Some(host) = self.hosts.get(front).filter(|host| host.fleet.is_some()) else { return };
        let (incarnation, time) = (host.incarnation, host.time(self.now));
        let number = self.calls.len() as u64;
        let need = job.steps.first().map_or_else(zero_need, |step: &Step| step.need);
        let near = job.steps.first().and_then(|step| step.near_label.clone());
        // Callers submit the same job again with the same work.
        let crash_us = self.job_work.get(&job.id).and_then(|work| work.crash_us);
        let required = job.steps.first().and_then(|step| step.required_label.clone());
        let max_per_worker = job.steps.first().map_or(0, |step| step.max_per_worker);
        let us = (work_ms * 1_000) as f64;
        let work = Work { us, need, required, max_per_worker, near, crash_us };
        self.job_work.insert(job.id.clone(), work);
        let log = CallLog {
            name: name.to_owned(),
            id: job.id.clone(),
            front: (front.clone(), incarnation),
            made_at: self.now,
            ended: None,
            submission: (job.clone(), work_ms),
            resubmit,
        };
        self.calls.insert(number, log);
        let time_budget = job.deadline.as_micros();
        self.schedule_at(self.now + time_budget, ScheduledEvent::CallerDeadline { call: number });
        let job = Job { arrived: time, deadline: time.after_us(time_budget), ..job };
        self.deliver(front, incarnation, FleetEvent::Call { call: CallId(number), job });
    }

    /// Closes the connection of the caller of this name.
    pub(crate) fn disconnect_caller(&mut self, name: &str) {
        let open = self.calls.iter().find(|(_, call)| call.name == name);
        if let Some((number, _)) = open {
            self.disconnect(*number);
        }
    }

    /// Closes the connection of an open call and cancels it at its host.
    pub(crate) fn disconnect(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        let (host, incarnation) = call.front.clone();
        self.end_call(number, None);
        self.deliver(&host, incarnation, FleetEvent::Cancel(CallId(number)));
    }

    /// Records the answer to a call.
    pub(crate) fn handle_answer(&mut self, number: u64, end: JobEnd) {
        self.end_call(number, Some(end));
    }

    /// Records the end of a call; schedules its resubmission if the outcome is unknown.
    pub(crate) fn end_call(&mut self, number: u64, end: Option<JobEnd>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        call.ended = Some((now, end));
        let unknown = matches!(end, None | Some(JobEnd::Lost(_)));
        if unknown && call.resubmit {
            self.schedule_at(now + RESUBMIT_DELAY_US, ScheduledEvent::Resubmit { call: number });
        }
    }

    /// Submits a job again to a live host of the same zone.
    pub(crate) fn resubmit_call(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (name, (job, work_ms)) = (format!("{}+", call.name), call.submission.clone());
        let zone = self.hosts.get(&call.front.0).map(|host| host.zone.clone());
        let alive = self.hosts.iter().filter(|(_, host)| {
            host.fleet.is_some() && host.paused.is_none() && Some(&host.zone) == zone.as_ref()
        });
        let alive: Vec<Name> = alive.map(|(name, _)| name.clone()).collect();
        let Some(front) = alive.get(number as usize % alive.len().max(1)).cloned() else { return };
        self.submit(&name, &front, job, work_ms, false);
    }

    /// Ends every open call to one incarnation of a host without an answer.
    pub(crate) fn end_connections(&mut self, host: &Name, incarnation: u64) {
        let front = (host.clone(), incarnation);
        let open =
            self.calls.iter().filter(|(_, call)| call.ended.is_none() && call.front == front);
        let numbers: Vec<u64> = open.map(|(number, _)| *number).collect();
        for number in numbers {
            self.end_call(number, None);
        }
    }
}
