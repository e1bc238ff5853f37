//! Stands in for the kernel until it lands: each task goes to the first back end that fits.

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};
use endivestile_kernel::{
    Answer, AttemptId, CallId, Cause, Class, Effect, End, Event, Failure, Order, Peer, Refusal,
    SubmissionId, Target, TaskKey, Time,
};

#[derive(Debug, Clone)]
pub(crate) struct Setup {
    pub(crate) me: Peer,
    pub(crate) zone: Name,
    pub(crate) address: Name,
    pub(crate) wall_s: u64,
    pub(crate) seed: u64,
}

#[derive(Debug)]
struct Run {
    call: CallId,
    left: usize,
    results: Vec<Bytes>,
}

#[derive(Debug)]
pub(crate) struct Kernel {
    setup: Setup,
    config: Option<Arc<Config>>,
    serial: u64,
    attempts: HashMap<AttemptId, (u64, usize)>,
    runs: HashMap<u64, Run>,
    stopping: bool,
}

impl Kernel {
    pub(crate) fn new(setup: Setup) -> Self {
        let _ = (&setup.zone, &setup.address, setup.wall_s, setup.seed);
        Self {
            setup,
            config: None,
            serial: 0,
            attempts: HashMap::new(),
            runs: HashMap::new(),
            stopping: false,
        }
    }

    pub(crate) fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Effect>) {
        match event {
            Event::Config { config, .. } => self.config = Some(config),
            Event::Call { call, submission } => {
                let Some(config) = self.config.clone().filter(|_| !self.stopping) else {
                    let cause = if self.stopping { Cause::Stopping } else { Cause::NoConfig };
                    let refusal =
                        Refusal { class: Class::NotRun, cause, retry: now.after_ms(1_000) };
                    let answer = Arc::new(Answer::Refused(refusal));
                    out.push(Effect::Answer { call, answer });
                    return;
                };
                self.serial += 1;
                let run = self.serial;
                let left = submission.tasks.len();
                self.runs.insert(run, Run { call, left, results: vec![Bytes::new(); left] });
                for (index, task) in submission.tasks.iter().enumerate() {
                    self.serial += 1;
                    let attempt = AttemptId(self.serial);
                    let (address, path) = match &task.target {
                        Target::Service(name) => {
                            let service = &config.services[name];
                            let server = &config.servers[&service.servers[0]];
                            (server.address.clone(), service.path.clone())
                        }
                        Target::Need(_) => {
                            let worker = config.workers.values().next();
                            (worker.map_or(Name::from(""), |w| w.address.clone()), Name::from(""))
                        }
                    };
                    self.attempts.insert(attempt, (run, index));
                    let key = TaskKey { run, index: index as u16, attempt: 0 };
                    let order = Order {
                        key,
                        member: submission.member.clone(),
                        deadline: submission.deadline,
                        arrived: now,
                        left: left as u16,
                        task: task.clone(),
                    };
                    out.push(Effect::Start { attempt, address, path, order });
                }
            }
            Event::End { attempt, end } => {
                let Some((id, index)) = self.attempts.remove(&attempt) else { return };
                let Some(run) = self.runs.get_mut(&id) else { return };
                let task = index as u16;
                let peer = Name::from("backend");
                let answer = match end {
                    End::Answered(body) => {
                        run.results[index] = body;
                        run.left -= 1;
                        if run.left > 0 {
                            return;
                        }
                        Answer::Complete(std::mem::take(&mut run.results))
                    }
                    End::Rejected(status) => {
                        Answer::Failed(Failure::Rejected { task, peer, status })
                    }
                    End::Lost => Answer::Failed(Failure::Lost { task, peer }),
                    End::Busy | End::Leaving | End::Unreachable => Answer::Refused(Refusal {
                        class: Class::NotRun,
                        cause: Cause::NoBackend,
                        retry: now.after_ms(1_000),
                    }),
                };
                out.push(Effect::Answer { call: run.call, answer: Arc::new(answer) });
                self.runs.remove(&id);
            }
            Event::Ask { call, .. } => {
                out.push(Effect::Answer { call, answer: Arc::new(Answer::NotFound) });
            }
            Event::Shutdown => self.stopping = true,
            _ => {}
        }
        if self.stopping && self.runs.is_empty() {
            out.push(Effect::Drained);
        }
    }

    pub(crate) fn deadline(&self) -> Option<Time> {
        None
    }

    pub(crate) fn status(&self, _now: Time) -> Vec<u8> {
        Vec::new()
    }

    pub(crate) fn ready(&self) -> bool {
        self.config.is_some() && !self.stopping
    }

    pub(crate) fn mint(&mut self, count: usize) -> Vec<SubmissionId> {
        (0..count)
            .map(|_| {
                self.serial += 1;
                SubmissionId::mint(&self.setup.me, self.serial)
            })
            .collect()
    }
}
