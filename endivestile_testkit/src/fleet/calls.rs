//! Callers of the world: what they hand in, and how it ends.

use endivestile_config::model::Name;
use endivestile_kernel::CallId;
use endivestile_kernel::fleet::{FleetEvent, Job, JobEnd, Step};

use super::worker::none;
use super::world::{FleetWorld, Happening, Work};

/// Time after which a caller without an answer sends its job again, in microseconds.
const RESEND_US: u64 = 1_300_000;

/// A call of a caller.
#[derive(Debug)]
pub(crate) struct CallLog {
    /// Name in the story.
    pub(crate) name: String,
    /// The job's id.
    pub(crate) id: Name,
    /// Host and incarnation that took it.
    pub(crate) at: (Name, u64),
    /// When.
    pub(crate) made: u64,
    /// How it ended; none of the second when the connection broke.
    pub(crate) ended: Option<(u64, Option<JobEnd>)>,
    /// What was handed in, with its instants from zero, and its work.
    pub(crate) sent: (Job, u64),
    /// Whether it is sent again when it ends without an answer.
    pub(crate) again: bool,
}

impl FleetWorld {
    /// Hands a job in at a host; its deadline is counted from zero.
    pub(crate) fn submit(&mut self, name: &str, at: &Name, job: Job, work_ms: u64, again: bool) {
        let Some(host) = self.hosts.get(at).filter(|host| host.fleet.is_some()) else { return };
        let (birth, time) = (host.birth, host.time(self.now));
        let number = self.calls.len() as u64;
        let need = job.steps.first().map_or_else(none, |step: &Step| step.need);
        let near = job.steps.first().and_then(|step| step.near_label.clone());
        self.works.insert(job.id.clone(), Work { us: (work_ms * 1_000) as f64, need, near });
        let log = CallLog {
            name: name.to_owned(),
            id: job.id.clone(),
            at: (at.clone(), birth),
            made: self.now,
            ended: None,
            sent: (job.clone(), work_ms),
            again,
        };
        self.calls.insert(number, log);
        let patience = job.deadline.as_micros();
        self.at(self.now + patience, Happening::Deadline { call: number });
        let job = Job { arrived: time, deadline: time.after_us(patience), ..job };
        self.deliver(at, birth, FleetEvent::Call { call: CallId(number), job });
    }

    /// Lets a caller hang up.
    pub(crate) fn leave(&mut self, name: &str) {
        let open = self.calls.iter().find(|(_, call)| call.name == name);
        if let Some((number, _)) = open {
            self.hang_up(*number);
        }
    }

    pub(crate) fn hang_up(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        let (host, birth) = call.at.clone();
        self.end_call(number, None);
        self.deliver(&host, birth, FleetEvent::Cancel(CallId(number)));
    }

    pub(crate) fn answered(&mut self, number: u64, end: JobEnd) {
        self.end_call(number, Some(end));
    }

    pub(crate) fn end_call(&mut self, number: u64, end: Option<JobEnd>) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&number).filter(|call| call.ended.is_none()) else {
            return;
        };
        call.ended = Some((now, end));
        let unknown = matches!(end, None | Some(JobEnd::Lost(_)));
        if unknown && call.again {
            self.at(now + RESEND_US, Happening::Resend { call: number });
        }
    }

    /// Sends a job again, at any host of the zone that lives.
    pub(crate) fn resend(&mut self, number: u64) {
        let Some(call) = self.calls.get(&number) else { return };
        let (name, (job, work_ms)) = (format!("{}+", call.name), call.sent.clone());
        let zone = self.hosts.get(&call.at.0).map(|host| host.zone.clone());
        let lives = self.hosts.iter().filter(|(_, host)| {
            host.fleet.is_some() && host.paused.is_none() && Some(&host.zone) == zone.as_ref()
        });
        let lives: Vec<Name> = lives.map(|(name, _)| name.clone()).collect();
        let Some(at) = lives.get(number as usize % lives.len().max(1)).cloned() else { return };
        self.submit(&name, &at, job, work_ms, false);
    }

    pub(crate) fn connections_end(&mut self, host: &Name, birth: u64) {
        let at = (host.clone(), birth);
        let open = self.calls.iter().filter(|(_, call)| call.ended.is_none() && call.at == at);
        let numbers: Vec<u64> = open.map(|(number, _)| *number).collect();
        for number in numbers {
            self.end_call(number, None);
        }
    }
}
