//! The platform's workers: serves the worker model of the simulation over sockets.

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

/// Interval at which a waiting renewal checks for ended runs, in milliseconds.
const POLL_INTERVAL_MS: u64 = 2;
/// Resources of every task; two tasks fit on a worker of 32 cores.
const TASK_NEED: Need = Need { cpu_milli: 14_000, memory_mb: 64, accelerators: 0 };

/// Fault of a worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WorkerFault {
    /// No fault.
    None,
    /// The worker does not answer calls.
    Unresponsive,
    /// Every run fails.
    Errors,
    /// Runs make no progress.
    Hangs,
}

/// All workers, with the counts and checks of a test.
#[derive(Debug)]
pub(crate) struct WorkerSet {
    started_at: Instant,
    workers: BTreeMap<String, Worker>,
    starts: BTreeMap<String, u64>,
    /// Number of started runs and the succeeded tasks, by job.
    jobs: BTreeMap<String, (u64, BTreeSet<Name>)>,
    /// Violations seen so far.
    pub(crate) breaches: Vec<String>,
}

impl Default for WorkerSet {
    fn default() -> Self {
        Self {
            started_at: Instant::now(),
            workers: BTreeMap::new(),
            starts: BTreeMap::new(),
            jobs: BTreeMap::new(),
            breaches: Vec::new(),
        }
    }
}

impl WorkerSet {
    /// Returns the microseconds since the workers started.
    fn now(&self) -> u64 {
        self.started_at.elapsed().as_micros() as u64
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

    /// Sets the fault of a worker.
    pub(crate) fn set_fault(&mut self, id: &str, fault: WorkerFault) {
        let now = self.now();
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.advance(now);
        worker.unresponsive = fault == WorkerFault::Unresponsive;
        worker.behaviour = match fault {
            WorkerFault::Errors => Behaviour::Errors,
            WorkerFault::Hangs => Behaviour::Hangs,
            WorkerFault::None | WorkerFault::Unresponsive => Behaviour::Good,
        };
    }

    /// Returns the number of runs started on each worker.
    pub(crate) fn starts(&self) -> Vec<(String, u64)> {
        self.starts.iter().map(|(id, count)| (id.clone(), *count)).collect()
    }

    /// Returns the number of started runs of a job's tasks.
    pub(crate) fn starts_of(&self, id: &str) -> u64 {
        self.jobs.get(id).map_or(0, |(starts, _)| *starts)
    }

    /// Returns the number of a job's tasks that have succeeded.
    pub(crate) fn tasks_done(&self, id: &str) -> usize {
        self.jobs.get(id).map_or(0, |(_, done)| done.len())
    }

    /// Returns the listen addresses of the workers by name.
    pub(crate) fn addresses(&self) -> Vec<(String, SocketAddr)> {
        let address = |worker: &Worker| worker.entry.address.parse().ok();
        self.workers.iter().filter_map(|(id, it)| Some((id.clone(), address(it)?))).collect()
    }

    /// Returns the number of runs in progress.
    pub(crate) fn running(&mut self) -> usize {
        let now = self.now();
        self.workers.values_mut().for_each(|worker| {
            worker.advance(now);
        });
        self.workers.values().map(|worker| worker.runs.len()).sum()
    }

    /// Checks that a worker's runs fit its capacity and that none of its tasks has
    /// a second run. All workers are advanced first, so that runs with an expired
    /// lease on workers that had no call for a while do not count.
    fn check(&mut self, id: &str) {
        let now = self.now();
        self.workers.values_mut().for_each(|worker| {
            worker.advance(now);
        });
        let Some(worker) = self.workers.get(id) else { return };
        let used: u32 = worker.runs.values().map(|run| run.need.cpu_milli).sum();
        if used > worker.entry.capacity.cpu_milli {
            self.breaches.push(format!("runs of {id} need {used} mCPU, more than its capacity"));
        }
        for (task, _) in worker.runs.keys() {
            let all_runs = self.workers.values().flat_map(|other| other.runs.keys());
            if all_runs.filter(|(other_task, _)| other_task == task).count() > 1 {
                self.breaches.push(format!("{task} has more than one run at the same time"));
            }
        }
    }

    /// Starts a run. The task's spec is its run time in milliseconds, 50 if it is no number.
    fn start(&mut self, id: &str, request: &StartRequest) -> Option<StartResult> {
        let now = self.now();
        let work_ms: f64 = request.spec.parse().unwrap_or(50.0);
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        let runs_before = worker.runs.len();
        let result = worker.start(now, request, TASK_NEED, work_ms * 1_000.0);
        if worker.runs.len() > runs_before {
            *self.starts.entry(id.to_owned()).or_default() += 1;
            self.jobs.entry(job_of(&request.task)).or_default().0 += 1;
        }
        self.check(id);
        Some(result)
    }

    fn stop(&mut self, id: &str, request: &StopRequest) -> Option<Result<u64, CallError>> {
        let now = self.now();
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        Some(worker.stop(now, request))
    }

    fn renew(&mut self, id: &str, request: &RenewRequest) -> Option<Result<bool, CallError>> {
        let now = self.now();
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        Some(worker.renew(now, request))
    }

    /// Returns the reply to a renewal. With `wait`, returns `None` until a run has ended.
    fn renewal_reply(&mut self, id: &str, wait: bool) -> Option<RenewReply> {
        let now = self.now();
        let worker = self.workers.get_mut(id)?;
        worker.advance(now);
        let reply = (!wait || worker.has_ends()).then(|| worker.renew_reply(now))?;
        for row in reply.ended.iter().filter(|row| row.end == RunEnd::Done) {
            self.jobs.entry(job_of(&row.task)).or_default().1.insert(row.task.clone());
        }
        Some(reply)
    }

    fn is_unresponsive(&self, id: &str) -> bool {
        self.workers.get(id).is_none_or(|worker| worker.unresponsive)
    }
}

/// Answers a call to a worker.
pub(crate) async fn answer(shared: &Arc<Shared>, id: &str, call: &Call) -> Answer {
    if lock(&shared.workers).is_unresponsive(id) {
        return None;
    }
    if call.expected_instance.as_deref().is_some_and(|instance| instance != id) {
        return Some((421, Value::Null));
    }
    match call.path.as_str() {
        "/run-start" => {
            let result = lock(&shared.workers).start(id, &parse_start(id, &call.body)?)?;
            Some(start_answer(result))
        }
        "/run-stop" => {
            let result = lock(&shared.workers).stop(id, &parse_stop(id, &call.body)?)?;
            Some(match result {
                Ok(clock) => (200, json!({"ClockMs": clock})),
                Err(_) => refused("fence"),
            })
        }
        "/hold" => renew_leases(shared, id, &call.body).await,
        _ => Some((404, Value::Null)),
    }
}

/// Renews the leases of a worker's runs. The answer waits for the end of a run, up to
/// the caller's wait time.
async fn renew_leases(shared: &Arc<Shared>, id: &str, body: &Value) -> Answer {
    let request = parse_renewal(id, body)?;
    let end = Instant::now() + Duration::from_millis(u64::from(request.wait_ms));
    let at_once = match lock(&shared.workers).renew(id, &request)? {
        Ok(at_once) => at_once,
        Err(_) => return Some(refused("fence")),
    };
    loop {
        let wait = !at_once && Instant::now() < end;
        if let Some(reply) = lock(&shared.workers).renewal_reply(id, wait) {
            return Some((200, renewal_body(&reply)));
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
    }
}

fn start_answer(result: StartResult) -> (u16, Value) {
    match result {
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

/// Encodes the reply to a renewal.
fn renewal_body(reply: &RenewReply) -> Value {
    let running = reply.running.iter().map(|row| json!([row.task, row.run, "", row.percent, 0]));
    let finished = reply.ended.iter().map(|row| {
        let outcome = match row.end {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Expired => "lapsed",
            RunEnd::Broken => "broken",
        };
        json!([row.number, row.task, row.run, outcome, ""])
    });
    json!({
        "ClockMs": reply.clock, "born": reply.incarnation,
        "Running": running.collect::<Vec<_>>(), "Finished": finished.collect::<Vec<_>>(),
    })
}

/// Returns the id of the job that a task belongs to.
fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or(task).to_owned()
}

fn text(body: &Value, key: &str) -> Option<Name> {
    body[key].as_str().map(Name::from)
}

fn parse_start(id: &str, body: &Value) -> Option<StartRequest> {
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

fn parse_stop(id: &str, body: &Value) -> Option<StopRequest> {
    Some(StopRequest {
        worker: Name::from(id),
        address: Name::from(""),
        task: text(body, "Task")?,
        run: body["Run"].as_u64()? as u32,
        token: body["FencingToken"].as_u64().unwrap_or(0),
    })
}

fn parse_renewal(id: &str, body: &Value) -> Option<RenewRequest> {
    Some(RenewRequest {
        worker: Name::from(id),
        address: Name::from(""),
        lease_until: body["DeadlineMs"].as_u64(),
        token: body["FencingToken"].as_u64().unwrap_or(0),
        observed: body["Observed"].as_u64()?,
        wait_ms: body["WaitMs"].as_u64().unwrap_or(0) as u32,
    })
}
