//! Stand-ins for the platform's minions. They start whatever they are told to start
//! (`AdmissionControl` false), and keep leases, fencing tokens and run numbers as the protocol says.
//! The work of a task is named in its `Spec` as `MILLISECONDS CPU`, one for each step.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Answer, Call, Server};
use crate::record::Record;
use crate::store::Store;

/// Longest lease (`MaxHoldMs`), in milliseconds.
const MAX_HOLD_MS: u64 = 1_000;
/// Time that a stop takes (`StopMs` at most), in milliseconds.
const STOP_MS: u64 = 20;
/// Interval between two heartbeats (`HeartbeatIntervalMs`), in milliseconds.
const HEARTBEAT_MS: u64 = 1_500;

struct Run {
    ends_at: Instant,
    stops_at: Option<Instant>,
    started_at: Instant,
    cpu: u64,
}

struct Worker {
    zone: String,
    address: SocketAddr,
    /// Time of day of its start, in milliseconds since 1970.
    born: u64,
    clock_zero: Instant,
    token: u64,
    lease_until: u64,
    runs: BTreeMap<(String, u64), Run>,
    /// Highest run of each task that was stopped or has ended.
    highest: BTreeMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    last_end: u64,
    capacity: u64,
    sequence: u64,
    /// Whether its process is down.
    down: bool,
}

impl Worker {
    fn clock(&self) -> u64 {
        self.clock_zero.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, until: u64) {
        let longest = self.clock() + MAX_HOLD_MS;
        self.lease_until = self.lease_until.max(until.min(longest));
    }

    fn used(&self) -> u64 {
        self.runs.values().map(|run| run.cpu).sum()
    }
}

/// A start that was carried out.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    pub at: Instant,
    /// Processor need of all runs on the minion, this one included.
    pub used: u64,
    /// Capacity of the minion.
    pub capacity: u64,
}

#[derive(Default)]
struct State {
    workers: BTreeMap<String, Worker>,
    starts: Vec<Start>,
}

/// All minions.
#[derive(Clone)]
pub struct Workers {
    state: Arc<Mutex<State>>,
    record: Arc<Record>,
    store: Store,
    servers: Arc<Mutex<BTreeMap<String, Server>>>,
}

impl Workers {
    /// Starts without minions.
    pub fn start(record: &Arc<Record>, store: &Store) -> Self {
        let workers = Self {
            state: Arc::default(),
            record: Arc::clone(record),
            store: store.clone(),
            servers: Arc::default(),
        };
        let ticking = workers.clone();
        thread::spawn(move || {
            let mut next_beat = Instant::now();
            loop {
                ticking.advance();
                if next_beat <= Instant::now() {
                    next_beat += Duration::from_millis(HEARTBEAT_MS);
                    ticking.beat();
                }
                thread::sleep(Duration::from_millis(1));
            }
        });
        workers
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a minion with this processor capacity, in thousandths of a core.
    pub fn add(&self, zone: &str, id: &str, capacity: u64) {
        let (workers, name) = (self.clone(), id.to_owned());
        let server = Server::start([127, 0, 0, 1], move |call| workers.answer(&name, &call));
        let worker = Worker {
            zone: zone.to_owned(),
            address: server.address,
            born: unix_ms(),
            clock_zero: Instant::now(),
            token: 0,
            lease_until: 0,
            runs: BTreeMap::new(),
            highest: BTreeMap::new(),
            ends: Vec::new(),
            last_end: 0,
            capacity,
            sequence: 0,
            down: false,
        };
        self.lock().workers.insert(id.to_owned(), worker);
        self.servers.lock().unwrap_or_else(PoisonError::into_inner).insert(id.to_owned(), server);
        self.register(id);
    }

    /// Changes the capacity of a minion, which it reports at once.
    pub fn set_capacity(&self, id: &str, capacity: u64) {
        if let Some(worker) = self.lock().workers.get_mut(id) {
            worker.capacity = capacity;
        }
        self.record.write(&format!("minion {id}: Capacity.Cpu is now {capacity}"));
        self.register(id);
    }

    /// Ends the process of a minion and starts it again under its id.
    pub fn restart(&self, id: &str, down_ms: u64, capacity: u64) {
        let server = self.servers.lock().unwrap_or_else(PoisonError::into_inner).get(id).cloned();
        let Some(server) = server else { return };
        if let Some(worker) = self.lock().workers.get_mut(id) {
            worker.down = true;
            worker.runs.clear();
        }
        self.record.write(&format!("minion {id} crashes"));
        server.set_open(false);
        thread::sleep(Duration::from_millis(down_ms));
        if let Some(worker) = self.lock().workers.get_mut(id) {
            worker.down = false;
            worker.born = unix_ms();
            worker.clock_zero = Instant::now();
            worker.token = 0;
            worker.lease_until = 0;
            worker.runs.clear();
            worker.highest.clear();
            worker.ends.clear();
            worker.last_end = 0;
            worker.capacity = capacity;
            worker.sequence = 0;
        }
        server.set_open(true);
        self.record.write(&format!("minion {id} is back, Capacity.Cpu {capacity}"));
        self.register(id);
    }

    /// Returns the starts so far.
    pub fn starts(&self) -> Vec<Start> {
        self.lock().starts.clone()
    }

    /// Returns the tasks that run now, each with its minion.
    pub fn running(&self) -> Vec<(String, String)> {
        let state = self.lock();
        let rows = state.workers.iter();
        rows.flat_map(|(id, it)| it.runs.keys().map(move |(task, _)| (task.clone(), id.clone())))
            .collect()
    }

    fn beat(&self) {
        let ids: Vec<String> = self.lock().workers.keys().cloned().collect();
        ids.iter().for_each(|id| self.register(id));
    }

    fn register(&self, id: &str) {
        let entry = {
            let mut state = self.lock();
            let Some(worker) = state.workers.get_mut(id) else { return };
            if worker.down {
                return;
            }
            worker.sequence += 1;
            json!({
                "Service": "service", "Address": worker.address.to_string(), "Zone": worker.zone,
                "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
                "Capacity": {"Cpu": worker.capacity, "MemoryRequestMb": 65536, "Gpu": 0},
                "Labels": ["a", "r1"], "ClockMs": worker.clock(), "Sequence": worker.sequence,
                "born": worker.born,
            })
        };
        self.store.put(&format!("servers/{id}"), entry.to_string().as_bytes());
    }

    /// Ends the runs whose time, lease or stop is over.
    fn advance(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut lines = Vec::new();
        for (id, worker) in &mut state.workers {
            let lapsed = worker.lease_until <= worker.clock();
            let how = |run: &Run| match run {
                _ if run.ends_at <= now => Some("done"),
                _ if run.stops_at.is_some_and(|at| at <= now) => Some("stopped"),
                _ if lapsed => Some("lapsed"),
                _ => None,
            };
            let ended: Vec<_> = worker
                .runs
                .iter()
                .filter_map(|(key, run)| Some((key.clone(), how(run)?, run.started_at)))
                .collect();
            for ((task, run), how, started_at) in ended {
                worker.runs.remove(&(task.clone(), run));
                let highest = worker.highest.entry(task.clone()).or_default();
                *highest = (*highest).max(run);
                worker.last_end += 1;
                worker.ends.push((worker.last_end, task.clone(), run, how));
                let ran = started_at.elapsed().as_millis();
                lines.push(format!("minion {id}: run {run} of {task} {how} after {ran} ms"));
            }
        }
        drop(state);
        lines.iter().for_each(|line| self.record.write(line));
    }

    fn answer(&self, id: &str, call: &Call) -> Answer {
        if call.header("x-expect-instance").is_some_and(|instance| instance != id) {
            return Some((421, Value::Null));
        }
        self.advance();
        let token = call.body["FencingToken"].as_u64().unwrap_or(0);
        {
            let mut state = self.lock();
            let worker = state.workers.get_mut(id).filter(|worker| !worker.down)?;
            if token < worker.token {
                return Some((409, json!({"ClockMs": worker.clock(), "Reason": "fence"})));
            }
            worker.token = token;
        }
        match call.path.as_str() {
            "/run-start" => self.start_run(id, &call.body),
            "/run-stop" => self.stop_run(id, &call.body),
            "/hold" => self.hold(id, &call.body),
            _ => Some((404, Value::Null)),
        }
    }

    fn start_run(&self, id: &str, body: &Value) -> Answer {
        let (task, run) = (body["Task"].as_str()?.to_owned(), body["Run"].as_u64()?);
        let until = body["DeadlineMs"].as_u64()?;
        let step: usize = task.split('.').nth(2).and_then(|step| step.parse().ok())?;
        let spec = body["Spec"].as_str()?.split(',').nth(step)?;
        let mut words = spec.split(' ').map(|word| word.parse().unwrap_or(0));
        let (work_ms, cpu) = (words.next().unwrap_or(50), words.next().unwrap_or(1_000));
        let mut state = self.lock();
        let others = state.workers.iter().filter(|(_, it)| it.runs.keys().any(|key| key.0 == task));
        let others: Vec<String> = others.map(|(other, _)| other.clone()).collect();
        let worker = state.workers.get_mut(id)?;
        let clock = worker.clock();
        if worker.runs.contains_key(&(task.clone(), run)) {
            return Some((200, json!({"ClockMs": clock})));
        }
        if worker.highest.get(&task).is_some_and(|highest| *highest >= run) {
            worker.extend_lease(until);
            return Some((409, json!({"ClockMs": clock, "Reason": "old"})));
        }
        if until <= clock {
            return Some((409, json!({"ClockMs": clock, "Reason": "late"})));
        }
        worker.extend_lease(until);
        let now = Instant::now();
        let ends_at = now + Duration::from_millis(work_ms);
        let started = Run { ends_at, stops_at: None, started_at: now, cpu };
        worker.runs.insert((task.clone(), run), started);
        let (used, capacity) = (worker.used(), worker.capacity);
        self.record.write(&format!(
            "minion {id}: start of run {run} of {task}, {cpu} Cpu; in use {used} of {capacity}; \
             token {:x}; also at work on {others:?}",
            worker.token
        ));
        state.starts.push(Start { at: now, used, capacity });
        Some((200, json!({"ClockMs": clock})))
    }

    fn stop_run(&self, id: &str, body: &Value) -> Answer {
        let (task, run) = (body["Task"].as_str()?.to_owned(), body["Run"].as_u64()?);
        let mut state = self.lock();
        let worker = state.workers.get_mut(id)?;
        if let Some(run) = worker.runs.get_mut(&(task.clone(), run)) {
            run.stops_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
        }
        let highest = worker.highest.entry(task).or_default();
        *highest = (*highest).max(run);
        Some((200, json!({"ClockMs": worker.clock()})))
    }

    fn hold(&self, id: &str, body: &Value) -> Answer {
        let wait_ms = body["WaitMs"].as_u64().unwrap_or(0).min(2_000);
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let born;
        {
            let mut state = self.lock();
            let worker = state.workers.get_mut(id)?;
            born = worker.born;
            if let Some(until) = body["DeadlineMs"].as_u64() {
                worker.extend_lease(until);
            }
            let observed = body["Observed"].as_u64().unwrap_or(0);
            worker.ends.retain(|(number, ..)| *number > observed);
        }
        loop {
            {
                let state = self.lock();
                let worker = state.workers.get(id).filter(|it| it.born == born)?;
                if !worker.ends.is_empty() || Instant::now() >= end {
                    return Some((200, worker.lists()));
                }
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

impl Worker {
    fn lists(&self) -> Value {
        let now = Instant::now();
        let running = self.runs.iter().map(|((task, run), it)| {
            let total = it.ends_at.duration_since(it.started_at).as_millis().max(1);
            let percent = 100 * now.duration_since(it.started_at).as_millis() / total;
            json!([task, run, "", percent.min(99) as u64, it.cpu])
        });
        let finished = self.ends.iter().take(500);
        let finished = finished.map(|(number, task, run, how)| json!([number, task, run, how, ""]));
        json!({
            "ClockMs": self.clock(), "born": self.born,
            "Running": running.collect::<Vec<_>>(), "Finished": finished.collect::<Vec<_>>(),
        })
    }
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |it| it.as_millis() as u64)
}
