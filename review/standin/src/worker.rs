//! Stand-in for the platform's workers ("minions"), as PROTOCOL.md describes them.
//!
//! All workers share one lock, so that the checks see one moment. The work of a task is encoded
//! in `Spec`, as `ms=N;cpu=N;max=N`: its duration, its `Cpu` and its step's `MaxPerServer`.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;

/// `MaxHoldMs`.
const MAX_HOLD_MS: u64 = 1_000;
/// Service of all workers.
pub const SERVICE: &str = "order-desk";

/// A run in progress.
pub struct Run {
    pub job: String,
    pub step: String,
    pub cpu: u64,
    started: Instant,
    work_ms: u64,
}

/// One worker.
pub struct Worker {
    pub id: String,
    pub zone: String,
    pub up: bool,
    address: SocketAddr,
    cpu: u64,
    born_ms: u64,
    born: Instant,
    token: u64,
    /// End of the lease, on the worker's clock.
    lease_until: u64,
    pub runs: BTreeMap<(String, u64), Run>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
    observed: u64,
    /// Highest run that ended or was stopped, by task.
    closed: BTreeMap<String, u64>,
    connections: Vec<TcpStream>,
}

/// What a rule check sees at a start.
pub struct Started<'a> {
    pub worker: &'a Worker,
    pub task: &'a str,
    pub spec: &'a str,
}

type Check = Box<dyn Fn(&BTreeMap<String, Worker>, &Started<'_>) -> Vec<String> + Send>;

struct State {
    workers: BTreeMap<String, Worker>,
    /// A job of which the first start is held up on its way, and for how long.
    held_up: Option<(String, Duration)>,
    /// The worker to which the start was on its way.
    held_up_for: Option<String>,
    check: Check,
    breaches: Vec<String>,
}

/// All workers.
#[derive(Clone)]
pub struct Workers {
    state: Arc<Mutex<State>>,
    store: Store,
    record: Record,
}

/// Returns a number of a task's description.
pub fn figure(spec: &str, key: &str) -> u64 {
    let pair =
        spec.split(';').filter_map(|pair| pair.split_once('=')).find(|(name, _)| *name == key);
    pair.and_then(|(_, value)| value.parse().ok()).unwrap_or(0)
}

impl Worker {
    fn clock(&self, now: Instant) -> u64 {
        now.duration_since(self.born).as_millis() as u64
    }

    /// Ends the runs that are done, and all of them once the lease has expired.
    fn advance(&mut self, now: Instant) {
        let clock = self.clock(now);
        let lease_left = self.lease_until > clock;
        let ended: Vec<_> = self
            .runs
            .iter()
            .filter_map(|(id, run)| {
                let done = now.duration_since(run.started).as_millis() as u64 >= run.work_ms;
                let how = if done { "done" } else { "lapsed" };
                (done || !lease_left).then(|| (id.clone(), how))
            })
            .collect();
        for (id, how) in ended {
            self.end(&id, how);
        }
    }

    fn end(&mut self, id: &(String, u64), how: &'static str) {
        if self.runs.remove(id).is_some() {
            self.ends.push((self.next_end, id.0.clone(), id.1, how));
            self.next_end += 1;
            let closed = self.closed.entry(id.0.clone()).or_default();
            *closed = (*closed).max(id.1);
        }
    }

    fn extend_lease(&mut self, until: u64, clock: u64) {
        self.lease_until = self.lease_until.max(until.min(clock + MAX_HOLD_MS));
    }

    fn entry(&self, state: &str) -> Value {
        json!({
            "Service": SERVICE, "Address": self.address.to_string(), "Zone": self.zone,
            "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
            "Capacity": {"Cpu": self.cpu, "MemoryRequestMb": 65536, "Gpu": 0},
            "Labels": ["a", format!("{}-r1", self.zone)], "ClockMs": 0, "Sequence": 1,
            "born": self.born_ms,
        })
    }

    fn reset(&mut self) {
        self.born = Instant::now();
        self.born_ms = unix_ms();
        self.token = 0;
        self.lease_until = 0;
        self.runs.clear();
        self.ends.clear();
        self.next_end = 1;
        self.observed = 0;
        self.closed.clear();
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Workers {
    /// Creates a set without workers; `check` returns the broken rules at a start.
    pub fn new(
        store: &Store,
        record: &Record,
        check: impl Fn(&BTreeMap<String, Worker>, &Started<'_>) -> Vec<String> + Send + 'static,
    ) -> Self {
        let state = State {
            workers: BTreeMap::new(),
            held_up: None,
            held_up_for: None,
            check: Box::new(check),
            breaches: Vec::new(),
        };
        Self { state: Arc::new(Mutex::new(state)), store: store.clone(), record: record.clone() }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Adds a worker and registers it.
    pub fn add(&self, zone: &str, id: &str, cpu: u64) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
        let address = listener.local_addr().expect("address of a bound socket");
        let mut worker = Worker {
            id: id.to_owned(),
            zone: zone.to_owned(),
            up: true,
            address,
            cpu,
            born_ms: 0,
            born: Instant::now(),
            token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            observed: 0,
            closed: BTreeMap::new(),
            connections: Vec::new(),
        };
        worker.reset();
        let entry = worker.entry("ready");
        self.lock().workers.insert(id.to_owned(), worker);
        let (set, name) = (self.clone(), id.to_owned());
        let (accepting, accepted_name) = (self.clone(), id.to_owned());
        http::serve(
            listener,
            move |request| set.answer(&name, &request),
            move |stream| {
                let mut state = accepting.lock();
                let Some(worker) = state.workers.get_mut(&accepted_name) else { return false };
                if worker.up {
                    worker.connections.extend(stream.try_clone());
                }
                worker.up
            },
        );
        self.store.put(&format!("servers/{id}"), &entry);
    }

    /// Crashes a worker: it holds nothing any more and closes its connections.
    pub fn crash(&self, id: &str) {
        let mut state = self.lock();
        let Some(worker) = state.workers.get_mut(id) else { return };
        worker.up = false;
        worker.reset();
        for stream in worker.connections.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
        self.record.write(&format!("worker {id} crashes"));
    }

    /// Starts a crashed worker again under its id.
    pub fn restart(&self, id: &str) {
        let mut state = self.lock();
        let Some(worker) = state.workers.get_mut(id) else { return };
        worker.reset();
        worker.up = true;
        let entry = worker.entry("ready");
        drop(state);
        self.store.put(&format!("servers/{id}"), &entry);
        self.record.write(&format!("worker {id} is back"));
    }

    /// Holds up the first start of a job on its way to the worker, as a relay between them does: it
    /// gets no answer and reaches the worker's address later.
    pub fn hold_up_start(&self, job: &str, delay: Duration) {
        self.lock().held_up = Some((job.to_owned(), delay));
    }

    /// Returns the worker to which a start is held up.
    pub fn held_up_for(&self) -> Option<String> {
        self.lock().held_up_for.clone()
    }

    /// Returns how long to hold up a start, if it is the one to be held up.
    fn take_held_up(&self, id: &str, task: &str) -> Option<Duration> {
        let mut state = self.lock();
        let (_, delay) = state.held_up.take_if(|(job, _)| task.starts_with(job.as_str()))?;
        state.held_up_for = Some(id.to_owned());
        Some(delay)
    }

    /// Returns the broken rules so far.
    pub fn breaches(&self) -> Vec<String> {
        self.lock().breaches.clone()
    }

    /// Adds a broken rule that a caller found.
    pub fn add_breach(&self, breach: String) {
        self.record.write(&format!("BROKEN {breach}"));
        self.lock().breaches.push(breach);
    }

    /// Returns the tasks of a job that run now, with their workers.
    pub fn running(&self, job: &str) -> Vec<(String, String)> {
        let now = Instant::now();
        let mut state = self.lock();
        let mut found = Vec::new();
        for worker in state.workers.values_mut() {
            worker.advance(now);
            let own = worker.runs.iter().filter(|(_, run)| run.job == job);
            found.extend(own.map(|((task, _), _)| (task.clone(), worker.id.clone())));
        }
        found
    }

    fn answer(&self, id: &str, request: &Request) -> Option<(u16, String)> {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let task = body["Task"].as_str().unwrap_or_default();
        if request.path == "/run-start"
            && let Some(delay) = self.take_held_up(id, task)
        {
            self.record
                .write(&format!("the start of {task} run {} to {id} is held up", body["Run"]));
            thread::sleep(delay);
            self.record.write(&format!("the start of {task} run {} reaches {id}", body["Run"]));
        }
        {
            let mut state = self.lock();
            let worker = state.workers.get_mut(id).filter(|worker| worker.up)?;
            worker.advance(Instant::now());
        }
        if request.header("x-expect-instance").is_some_and(|instance| instance != id) {
            return Some((421, "{}".to_owned()));
        }
        match request.path.as_str() {
            "/health" => Some((200, "{}".to_owned())),
            "/run-start" => Some(self.start(id, &body)),
            "/run-stop" => self.stop(id, &body),
            "/hold" => self.hold(id, &body),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn start(&self, id: &str, body: &Value) -> (u16, String) {
        let now = Instant::now();
        let mut state = self.lock();
        let State { workers, check, breaches, .. } = &mut *state;
        let Some(worker) = workers.get_mut(id) else { return (404, "{}".to_owned()) };
        let clock = worker.clock(now);
        let refuse = |reason: &str| (409, json!({"ClockMs": clock, "Reason": reason}).to_string());
        let (Some(task), Some(run), Some(until)) =
            (body["Task"].as_str(), body["Run"].as_u64(), body["DeadlineMs"].as_u64())
        else {
            return (400, "{}".to_owned());
        };
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if token < worker.token {
            return refuse("fence");
        }
        worker.token = token;
        if worker.runs.contains_key(&(task.to_owned(), run)) {
            return (200, json!({"ClockMs": clock}).to_string());
        }
        if worker.closed.get(task).is_some_and(|closed| run <= *closed) {
            worker.extend_lease(until, clock);
            return refuse("old");
        }
        if until <= clock {
            return refuse("late");
        }
        worker.extend_lease(until, clock);
        let spec = body["Spec"].as_str().unwrap_or_default();
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default().to_owned();
        let step = parts.nth(1).unwrap_or_default().to_owned();
        let (cpu, work_ms) = (figure(spec, "cpu"), figure(spec, "ms"));
        let new = Run { job, step, cpu, started: now, work_ms };
        worker.runs.insert((task.to_owned(), run), new);
        self.record.write(&format!("start {task} run {run} on {id} ({})", worker.zone));
        workers.values_mut().for_each(|worker| worker.advance(now));
        let Some(worker) = workers.get(id) else { return (404, "{}".to_owned()) };
        for breach in check(workers, &Started { worker, task, spec }) {
            self.record.write(&format!("BROKEN {breach}"));
            breaches.push(breach);
        }
        (200, json!({"ClockMs": clock}).to_string())
    }

    fn stop(&self, id: &str, body: &Value) -> Option<(u16, String)> {
        let mut state = self.lock();
        let worker = state.workers.get_mut(id)?;
        let clock = worker.clock(Instant::now());
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if token < worker.token {
            return Some((409, json!({"ClockMs": clock, "Reason": "fence"}).to_string()));
        }
        worker.token = token;
        let (task, run) = (body["Task"].as_str()?.to_owned(), body["Run"].as_u64()?);
        worker.end(&(task.clone(), run), "stopped");
        let closed = worker.closed.entry(task.clone()).or_default();
        *closed = (*closed).max(run);
        self.record.write(&format!("stop {task} run {run} on {id}"));
        Some((200, json!({"ClockMs": clock}).to_string()))
    }

    fn hold(&self, id: &str, body: &Value) -> Option<(u16, String)> {
        let wait_ms = body["WaitMs"].as_u64().unwrap_or(0).min(2_000);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let born = {
            let mut state = self.lock();
            let worker = state.workers.get_mut(id)?;
            let clock = worker.clock(Instant::now());
            let token = body["FencingToken"].as_u64().unwrap_or(0);
            if token < worker.token {
                return Some((409, json!({"ClockMs": clock, "Reason": "fence"}).to_string()));
            }
            worker.token = token;
            worker.observed = worker.observed.max(body["Observed"].as_u64().unwrap_or(0));
            let observed = worker.observed;
            worker.ends.retain(|end| end.0 > observed);
            if let Some(until) = body["DeadlineMs"].as_u64() {
                worker.extend_lease(until, clock);
            }
            worker.born
        };
        loop {
            let now = Instant::now();
            let mut state = self.lock();
            let worker = state.workers.get_mut(id).filter(|it| it.up && it.born == born)?;
            worker.advance(now);
            if !worker.ends.is_empty() || now >= end {
                let clock = worker.clock(now);
                let percent = |run: &Run| {
                    let ms = now.duration_since(run.started).as_millis() as u64;
                    (100 * ms / run.work_ms.max(1)).min(99)
                };
                let running: Vec<Value> = worker
                    .runs
                    .iter()
                    .map(|((task, run), it)| json!([task, run, "", percent(it), it.cpu]))
                    .collect();
                let ended = worker.ends.iter().take(500);
                let finished: Vec<Value> =
                    ended.map(|(n, task, run, how)| json!([n, task, run, how, ""])).collect();
                let reply = json!({
                    "ClockMs": clock, "born": worker.born_ms, "Running": running,
                    "Finished": finished,
                });
                return Some((200, reply.to_string()));
            }
            drop(state);
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Returns a breach of TWICE: at a start, another run of the task is in progress on a worker that is
/// up.
pub fn twice(workers: &BTreeMap<String, Worker>, started: &Started<'_>) -> Vec<String> {
    let runs = workers.values().filter(|worker| worker.up).flat_map(|worker| {
        let own = worker.runs.keys().filter(|(task, _)| task == started.task);
        own.map(move |(_, run)| format!("run {run} on {}", worker.id))
    });
    let runs: Vec<String> = runs.collect();
    if runs.len() < 2 {
        return Vec::new();
    }
    vec![format!("TWICE: {} runs twice at the same time: {}", started.task, runs.join(", "))]
}
