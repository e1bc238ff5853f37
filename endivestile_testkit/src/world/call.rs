//! Simulated callers, their calls and the answers.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{
    Answer, Ask, CallId, Event, Need, Submission, SubmissionId, Target, Task, Time,
};

use super::World;

/// Submission of a caller.
#[derive(Debug, Clone)]
pub struct SubmitCall {
    /// Host that the call goes to.
    pub host: Name,
    /// Submission id; `None` for an idempotent request.
    pub id: Option<SubmissionId>,
    /// Name that distinguishes the work of this submission from others'.
    pub work_name: String,
    /// Team.
    pub team: Name,
    /// Number of tasks.
    pub tasks: usize,
    /// Time until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Declared run time of every task, in milliseconds; 0 for none.
    pub declared_ms: u32,
    /// Resources that every task needs; `None` for tasks of a service.
    pub need: Option<Need>,
}

/// A call and its answer.
#[derive(Debug)]
pub struct CallLog {
    /// Host that the call went to.
    pub host: Name,
    /// Submission id; `None` for an idempotent request.
    pub id: Option<SubmissionId>,
    /// Name of the work.
    pub work_name: String,
    /// Number of tasks.
    pub tasks: usize,
    /// Virtual time of the call, in microseconds.
    pub made_at: u64,
    /// Virtual time of the answer, in microseconds.
    pub ended: Option<u64>,
    /// Answer; `None` while the call is open or broken.
    pub answer: Option<Answer>,
    /// Whether the host ended before it answered.
    pub broken: bool,
    /// Number of task starts of the work up to the answer.
    pub starts: usize,
}

impl CallLog {
    /// Returns the answer with its cause, as stories print it.
    pub fn label(&self) -> String {
        match &self.answer {
            Some(Answer::Refused(refusal)) => {
                let tenths = self.ended.map_or(0, |ended| (ended - self.made_at) / 100_000);
                let after = format!("{}.{} s", tenths / 10, tenths % 10);
                format!("{} {:?} after {after}", self.status(), refusal.cause)
            }
            Some(Answer::Failed(failure)) => format!("{} {failure:?}", self.status()),
            _ => self.status().to_owned(),
        }
    }

    /// Returns the status of the answer, or `broken` or `open` if there is none.
    pub fn status(&self) -> &'static str {
        match &self.answer {
            Some(answer) => answer.label(),
            None if self.broken => "broken",
            None => "open",
        }
    }
}

impl World {
    /// Submits work to a host; returns the number of the call.
    pub fn submit(&mut self, submit: SubmitCall) -> u64 {
        let call = self.log_call(&submit);
        let Some(sim_host) = self.sim_hosts.get(&submit.host) else { return call };
        let clock = sim_host.clock(self.now);
        let submission = Submission {
            id: submit.id.clone(),
            team: submit.team.clone(),
            deadline: clock.after_ms(submit.deadline_ms),
            idempotent: submit.id.is_none(),
            tasks: (0..submit.tasks).map(|index| Arc::new(task(&submit, index))).collect(),
        };
        let incarnation = sim_host.incarnation;
        let event = Event::Submitted { call: CallId(call), submission };
        self.deliver_in(0, &submit.host, incarnation, event);
        call
    }

    /// Fetches the answer to an id from a host, or cancels it; returns the number of the call.
    pub fn ask(&mut self, host: &str, id: &SubmissionId, ask: Ask) -> u64 {
        let submit = SubmitCall {
            host: Name::from(host),
            id: Some(id.clone()),
            work_name: String::from("?"),
            team: Name::from("m"),
            tasks: 0,
            deadline_ms: 0,
            declared_ms: 0,
            need: None,
        };
        let call = self.log_call(&submit);
        let Some(sim_host) = self.sim_hosts.get(host) else { return call };
        let incarnation = sim_host.incarnation;
        let event = Event::Ask { call: CallId(call), id: id.clone(), ask };
        self.deliver_in(0, &submit.host, incarnation, event);
        call
    }

    /// Mints an id at a host, if the host runs.
    pub fn mint(&mut self, host: &str) -> Option<SubmissionId> {
        let now = self.now;
        let sim_host = self.sim_hosts.get_mut(host)?;
        let clock = sim_host.clock(now);
        sim_host.kernel.as_mut()?.mint(clock, 1).pop()
    }

    /// Adds an open call to the log, or a broken one if the host does not run.
    fn log_call(&mut self, submit: &SubmitCall) -> u64 {
        let call = self.calls.len() as u64 + 1;
        let sim_host = self.sim_hosts.get(&submit.host);
        let broken = sim_host.is_none_or(|sim_host| sim_host.kernel.is_none());
        let log = CallLog {
            host: submit.host.clone(),
            id: submit.id.clone(),
            work_name: submit.work_name.clone(),
            tasks: submit.tasks,
            made_at: self.now,
            ended: None,
            answer: None,
            broken,
            starts: 0,
        };
        self.calls.insert(call, log);
        call
    }

    /// Records and checks the answer to a call.
    pub(super) fn handle_answer(&mut self, call: CallId, answer: &Answer) {
        let Some(log) = self.calls.get(&call.0) else { return };
        let starts = self.count_starts(&log.work_name);
        let Some(log) = self.calls.get_mut(&call.0) else { return };
        if log.answer.is_some() {
            self.breaches.push(format!("promise 3: call {} answered twice", call.0));
            return;
        }
        log.answer = Some(answer.clone());
        log.ended = Some(self.now);
        log.starts = starts;
        self.check_answer(call.0);
    }

    /// Returns the number of task starts of the work of this name.
    pub(super) fn count_starts(&self, name: &str) -> usize {
        let matches = |work: &str| work.rsplit_once('/').is_some_and(|(prefix, _)| prefix == name);
        self.starts.iter().filter(|start| matches(&start.work)).count()
    }
}

fn task(submit: &SubmitCall, index: usize) -> Task {
    let target = match submit.need {
        Some(need) => Target::Need(need),
        None => Target::Service(Name::from("service")),
    };
    Task {
        target,
        work: Bytes::from(work_text(&submit.work_name, index)),
        declared_ms: submit.declared_ms,
    }
}

/// Returns the work of a task, `<name>/<index>`.
pub(super) fn work_text(word: &str, index: usize) -> String {
    format!("{word}/{index}")
}

/// Converts microseconds to milliseconds.
pub(super) fn millis(micros: u64) -> u64 {
    Time::from_micros(micros).as_micros() / 1_000
}
