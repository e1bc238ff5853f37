//! Callers of the world: what they hand in, and how it ends.

use endivestile_config::model::Name;
use endivestile_kernel::CallId;
use endivestile_kernel::fleet::{FleetEvent, Job, JobEnd, Step};

use super::worker::no_need;
use super::world::{FleetWorld, ScheduledEvent, Work};

/// Time after which a caller without an answer sends its job again, in microseconds.
const RESUBMIT_DELAY_US: u64 = 1_300_000;

/// A call of a caller.
#[derive(Debug)]
pub(crate) struct CallLog {
    /// Name in the story.
    pub(crate) name: String,
    /// The job's id.
    pub(crate) id: Name,
    /// Host and incarnation that took it.
    pub(crate) front: (Name, u64),
    /// When.
    pub(crate) made_at: u64,
    /// How it ended; none of the second when the connection broke.
    pub(crate) ended: Option<(u64, Option<JobEnd>)>,
    /// What was handed in, with its instants from zero, and its work.
    pub(crate) submission: (Job, u64),
    /// Whether it is sent again when it ends without an answer.
    pub(crate) resubmit: bool,
}

impl FleetWorld {
    /// Hands a job in at a host; its deadline is counted from zero.
    pub(crate) fn submit(&mut self, name: &str, at: &Name, job: Job, work_ms: u64, resubmit: bool) {
        let Some(host) = self.hosts.get(at).filter(|host| host.fleet.is_some()) else { return };
        let (incarnation, time) = (host.incarnation, host.time(self.now));
        let number = self.calls.len() as u64;
        let need = job.steps.first().map_or_else(no_need, |step: &Step| step.need);
        let near = job.steps.first().and_then(|step| step.near_label.clone());
        self.job_work.insert(job.id.clone(), Work { us: (work_ms * 1_000) as f64, need, near });
        let log = CallLog {
            name: name.to_owned(),
            id: job.id.clone(),
            front: (at.clone(), incarnation),
            made_at: self.now,
            ended: None,
            submission: (job.clone(), work_ms),
            resubmit,
        };
        self.calls.insert(number, log);
        let time_budget = job.deadline.as_micros();
        self.schedule_at(self.now + time_budget, ScheduledEvent::CallerDeadline { call: number });
        let job = Job { arrived: time, deadline: time.after_us(time_budget), ..job };
        self.deliver(at, incarnation, FleetEvent::Call { call: CallId(number), job });
    }

    /// Lets a caller hang up.
    pub(crate) fn disconnect_caller(&mut self, name: &str) {
        let open = self.calls.iter().find(|(_, call)| call.name == name);
        if let Some((number, _)) = open {
            self.disconnect(*number);
        }
    }

    pub(crate) fn disconnect(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        let (host, incarnation) = call.front.clone();
        self.end_call(number, None);
        self.deliver(&host, incarnation, FleetEvent::Cancel(CallId(number)));
    }

    pub(crate) fn handle_answer(&mut self, number: u64, end: JobEnd) {
        self.end_call(number, Some(end));
    }

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

    /// Sends a job again, at any host of the zone that lives.
    pub(crate) fn resubmit_call(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (name, (job, work_ms)) = (format!("{}+", call.name), call.submission.clone());
        let zone = self.hosts.get(&call.front.0).map(|host| host.zone.clone());
        let lives = self.hosts.iter().filter(|(_, host)| {
            host.fleet.is_some() && host.paused.is_none() && Some(&host.zone) == zone.as_ref()
        });
        let lives: Vec<Name> = lives.map(|(name, _)| name.clone()).collect();
        let Some(at) = lives.get(number as usize % lives.len().max(1)).cloned() else { return };
        self.submit(&name, &at, job, work_ms, false);
    }

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
