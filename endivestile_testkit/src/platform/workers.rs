//! The platform's workers: the model of the virtual worlds behind real sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivestile_config::model::Name;
use endivestile_kernel::Need;
use endivestile_kernel::fleet::{
    CallError, RenewReply, RenewRequest, RunEnd, StartRequest, StartResult, StopRequest,
    WorkerEntry,
};
use serde_json::{Value, json};
use tokio::time::sleep;

use super::Shared;
use super::server::{Answer, Call};
use crate::fleet::{Behaviour, Worker};
use crate::lock::lock;

/// Pause between two looks of a hold that waits, in milliseconds.
const LOOK_MS: u64 = 2;
/// What every task takes: two fit on a worker of 32 cores.
const TASK: Need = Need { cpu_milli: 14_000, memory_mb: 64, accelerators: 0 };

/// How a worker misbehaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WorkerFault {
    /// It does not.
    None,
    /// It answers nothing.
    Silent,
    /// It fails all that it starts.
    Errors,
    /// What it starts makes no progress.
    Hangs,
}

/// All workers.
#[derive(Debug)]
pub(crate) struct WorkerSet {
    start: Instant,
    workers: BTreeMap<String, Worker>,
    starts: BTreeMap<String, u64>,
    /// Starts by job, and tasks that ended well by job.
    jobs: BTreeMap<String, (u64, BTreeSet<Name>)>,
    /// What was seen broken.
    pub(crate) breaches: Vec<String>,
}

impl Default for WorkerSet {
    fn default() -> Self {
        Self {
            start: Instant::now(),
            workers: BTreeMap::new(),
            starts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }
}

impl WorkerSet {
    fn now(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    /// Adds a worker.
    pub(crate) fn add(&mut self, zone: &str, id: &str, address: SocketAddr) {
        let entry = WorkerEntry {
            id: Name::from(id),
            service: Name::from("service"),
            address: Name::from(address.to_string()),
            zone: Name::from(zone),
            labels: Vec::new(),
            capacity: Need { cpu_milli: 32_000, memory_mb: 65_536, accelerators: 0 },
            leaving: false,
            incarnation: 1,
        };
        self.workers.insert(id.to_owned(), Worker::new(self.now(), entry, 1.0));
    }

    /// Makes a worker misbehave.
    pub(crate) fn set_fault(&mut self, id: &str, fault: WorkerFault) {
        let now = self.now();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.advance(now);
        worker.unresponsive = fault == WorkerFault::Silent;
        worker.behaviour = match fault {
            WorkerFault::Errors => Behaviour::Errors,
            WorkerFault::Hangs => Behaviour::Hangs,
            WorkerFault::None | WorkerFault::Silent => Behaviour::Good,
        };
    }

    /// Returns the starts of each worker.
    pub(crate) fn starts(&self) -> Vec<(String, u64)> {
        self.starts.iter().map(|(id, count)| (id.clone(), *count)).collect()
    }

    /// Returns how many runs of a job's tasks have started.
    pub(crate) fn starts_of(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |(starts, _)| *starts)
    }

    /// Returns how many tasks of a job have ended well.
    pub(crate) fn tasks_done(&self, id: &str) -> usize {
        self.jobs.get(id).map_or(0, |(_, done)| done.len())
    }

    /// Returns where the workers listen.
    pub(crate) fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let address = |worker: &Worker| worker.entry.address.parse().ok();
        self.workers.iter().filter_map(|(id, it)| Some((id.clone(), address(it)?))).collect()
    }

    /// Returns how many runs go on.
    pub(crate) fn running(&mut self) -> usize {
        let now = self.now();
        self.workers.values_mut().for_each(|worker| {
            worker.advance(now);
        });
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    /// Looks for a worker over its room and for a task that runs twice. Workers
    /// that nobody has called for a while are brought up to date first: a run
    /// whose lease has passed there counts no more.
    fn check(&mut self, id: &str) {
        let now = self.now();
        self.workers.values_mut().for_each(|worker| {
            worker.advance(now);
        });
        let Some(worker) = self.workers.get(id) else { return };
        let taken: u32 = worker.runs.values().map(|run| run.need.cpu_milli).sum();
        if taken > worker.entry.capacity.cpu_milli {
            self.breaches.push(format!("{id} is over its room"));
        }
        for (task, _) in worker.runs.keys() {
            let all = self.workers.values().flat_map(|other| other.runs.keys());
            if all.filter(|(twin, _)| twin == task).count() > 1 {
                self.breaches.push(format!("{task} runs twice at a time"));
            }
        }
    }

    /// Carries an order out; `work` is the run time that a task's work names.
    fn start(&mut self, id: &str, order: &StartRequest) -> Option<StartResult> {
        let now = self.now();
        let work_ms: f64 = order.spec.parse().unwrap_or(50.0);
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        let before = worker.runs.len();
        let end = worker.start(now, order, TASK, work_ms * 1_000.0);
        if worker.runs.len() > before {
            *self.starts.entry(id.to_owned()).or_default() += 1;
            self.jobs.entry(job_of(&order.task)).or_default().0 += 1;
        }
        self.check(id);
        Some(end)
    }

    fn stop(&mut self, id: &str, order: &StopRequest) -> Option<Result<u64, CallError>> {
        let now = self.now();
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        Some(worker.stop(now, order))
    }

    fn hold(&mut self, id: &str, order: &RenewRequest) -> Option<Result<bool, CallError>> {
        let now = self.now();
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        Some(worker.renew(now, order))
    }

    /// Returns what a hold is answered, none while it waits.
    fn held(&mut self, id: &str, waits: bool) -> Option<RenewReply> {
        let now = self.now();
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        let held = (!waits || worker.has_ends()).then(|| worker.renew_reply(now))?;
        for row in held.ended.iter().filter(|row| row.end == RunEnd::Done) {
            self.jobs.entry(job_of(&row.task)).or_default().1.insert(row.task.clone());
        }
        Some(held)
    }

    fn is_silent(&self, id: &str) -> bool {
        self.workers.get(id).is_none_or(|worker| worker.unresponsive)
    }
}

/// Answers a call to a worker.
pub(crate) async fn answer(shared: &Arc<Shared>, id: &str, call: &Call) -> Answer {
    if lock(&shared.workers).is_silent(id) {
        return None;
    }
    if call.life.as_deref().is_some_and(|life| life != id) {
        return Some((421, Value::Null));
    }
    match call.path.as_str() {
        "/run-start" => {
            let end = lock(&shared.workers).start(id, &start_order(id, &call.body)?)?;
            Some(started(end))
        }
        "/run-stop" => {
            let end = lock(&shared.workers).stop(id, &stop_order(id, &call.body)?)?;
            Some(match end {
                Ok(clock) => (200, json!({"ClockMs": clock})),
                Err(_) => refused("fence"),
            })
        }
        "/hold" => hold(shared, id, &call.body).await,
        _ => Some((404, Value::Null)),
    }
}

async fn hold(shared: &Arc<Shared>, id: &str, body: &Value) -> Answer {
    let order = hold_order(id, body)?;
    let end = Instant::now() + Duration::from_millis(u64::from(order.wait_ms));
    let at_once = match lock(&shared.workers).hold(id, &order)? {
        Ok(at_once) => at_once,
        Err(_) => return Some(refused("fence")),
    };
    loop {
        let waits = !at_once && Instant::now() < end;
        if let Some(held) = lock(&shared.workers).held(id, waits) {
            return Some((200, lists(&held)));
        }
        sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

fn started(end: StartResult) -> (u16, Value) {
    match end {
        StartResult::Started(clock) => (200, json!({"ClockMs": clock})),
        StartResult::Superseded => refused("old"),
        StartResult::Expired => refused("late"),
        StartResult::Full => refused("room"),
        StartResult::Failed(_) => refused("fence"),
    }
}

fn refused(reason: &str) -> (u16, Value) {
    (409, json!({"ClockMs": 0, "Reason": reason}))
}

fn lists(held: &RenewReply) -> Value {
    let running = held.running.iter().map(|row| json!([row.task, row.run, "", row.percent, 0]));
    let finished = held.ended.iter().map(|row| {
        let how = match row.end {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Expired => "lapsed",
            RunEnd::Broken => "broken",
        };
        json!([row.number, row.task, row.run, how, ""])
    });
    json!({
        "ClockMs": held.clock, "born": held.incarnation,
        "Running": running.collect::<Vec<_>>(), "Finished": finished.collect::<Vec<_>>(),
    })
}

/// Returns the id of a task's job.
fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or(task).to_owned()
}

fn text(body: &Value, key: &str) -> Option<Name> {
    body[key].as_str().map(Name::from)
}

fn start_order(id: &str, body: &Value) -> Option<StartRequest> {
    Some(StartRequest {
        worker: Name::from(id),
        address: Name::from(""),
        task: text(body, "Task")?,
        run: body["Run"].as_u64()? as u32,
        spec: text(body, "Spec")?,
        lease_until: body["DeadlineMs"].as_u64()?,
        token: body["FencingToken"].as_u64().unwrap_or(0),
    })
}

fn stop_order(id: &str, body: &Value) -> Option<StopRequest> {
    Some(StopRequest {
        worker: Name::from(id),
        address: Name::from(""),
        task: text(body, "Task")?,
        run: body["Run"].as_u64()? as u32,
        token: body["FencingToken"].as_u64().unwrap_or(0),
    })
}

fn hold_order(id: &str, body: &Value) -> Option<RenewRequest> {
    Some(RenewRequest {
        worker: Name::from(id),
        address: Name::from(""),
        lease_until: body["DeadlineMs"].as_u64(),
        token: body["FencingToken"].as_u64().unwrap_or(0),
        observed: body["Observed"].as_u64()?,
        wait_ms: body["WaitMs"].as_u64().unwrap_or(0) as u32,
    })
}
