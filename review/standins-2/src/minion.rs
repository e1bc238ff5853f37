//! Minions as the pages describe them: runs under one lease, fencing tokens, lists of ends.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Reply, Request, Server};
use crate::record::Record;
use crate::store::Store;

const MAX_HOLD_MS: u64 = 1_000;
/// A stop takes at most 50 ms.
const STOP_MS: u64 = 20;
const STARTUP_CLOCK_MS: u64 = 1_000;

/// What a minion is.
#[derive(Clone)]
pub struct Kind {
    pub id: String,
    pub zone: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
}

/// A run that has begun; `end` is set when it is over.
#[derive(Clone)]
pub struct RunLog {
    pub minion: String,
    pub kind: String,
    pub born: u64,
    pub task: String,
    pub run: u64,
    pub start: Instant,
    pub end: Option<(Instant, &'static str)>,
}

impl RunLog {
    /// Returns the task's name for the record, with slashes: with dots, the end of a name such as
    /// that of task 2 looks like an address.
    pub fn task_label(&self) -> String {
        self.task.replace('.', "/")
    }
}

/// All runs on all minions.
#[derive(Default)]
pub struct RunLogs(pub Mutex<Vec<RunLog>>);

struct Run {
    number: u64,
    log: usize,
    start: Instant,
    work: Duration,
    stop_at: Option<Instant>,
}

struct State {
    kind: Kind,
    born: u64,
    since: Instant,
    token: u64,
    lease_end: u64,
    runs: BTreeMap<String, Run>,
    /// Highest run of a task that was stopped or has ended.
    over: HashMap<String, u64>,
    ends: Vec<(u64, String, u64, &'static str)>,
    next_end: u64,
}

impl State {
    fn new(kind: Kind) -> Self {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Self {
            kind,
            born: born as u64,
            since: Instant::now(),
            token: 0,
            lease_end: 0,
            runs: BTreeMap::new(),
            over: HashMap::new(),
            ends: Vec::new(),
            next_end: 1,
        }
    }

    fn clock(&self) -> u64 {
        STARTUP_CLOCK_MS + self.since.elapsed().as_millis() as u64
    }

    fn instant(&self, clock: u64) -> Instant {
        self.since + Duration::from_millis(clock.saturating_sub(STARTUP_CLOCK_MS))
    }

    fn extend_lease(&mut self, deadline: u64) {
        self.lease_end = self.lease_end.max(deadline.min(self.clock() + MAX_HOLD_MS));
    }

    /// Ends the runs that are done, stopped or without a lease by now.
    fn advance(&mut self, logs: &RunLogs) {
        let now = Instant::now();
        let lapse = self.instant(self.lease_end);
        let mut over: Vec<(Instant, &'static str, String)> = Vec::new();
        for (task, run) in &self.runs {
            let done = run.start + run.work;
            let mut end = (done, "done");
            if let Some(at) = run.stop_at.filter(|at| *at < end.0) {
                end = (at, "stopped");
            }
            if lapse < end.0 {
                end = (lapse.max(run.start), "lapsed");
            }
            if end.0 <= now {
                over.push((end.0, end.1, task.clone()));
            }
        }
        over.sort();
        for (at, how, task) in over {
            self.end(logs, &task, at, how);
        }
    }

    fn end(&mut self, logs: &RunLogs, task: &str, at: Instant, how: &'static str) {
        let Some(run) = self.runs.remove(task) else { return };
        logs.0.lock().unwrap()[run.log].end = Some((at, how));
        let over = self.over.entry(task.to_owned()).or_default();
        *over = run.number.max(*over);
        self.ends.push((self.next_end, task.to_owned(), run.number, how));
        self.next_end += 1;
    }
}

pub struct Minion {
    state: Mutex<State>,
    changed: Condvar,
    server: Mutex<Option<Server>>,
    address: Mutex<SocketAddr>,
    logs: Arc<RunLogs>,
    record: Arc<Record>,
    store: Arc<Store>,
}

impl Minion {
    /// Starts a minion and registers it.
    pub fn start(
        kind: Kind,
        ip: [u8; 4],
        store: &Arc<Store>,
        logs: &Arc<RunLogs>,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let minion = Arc::new(Self {
            state: Mutex::new(State::new(kind)),
            changed: Condvar::new(),
            server: Mutex::new(None),
            address: Mutex::new(SocketAddr::from((ip, 0))),
            logs: Arc::clone(logs),
            record: Arc::clone(record),
            store: Arc::clone(store),
        });
        minion.listen()?;
        minion.register();
        let ticking = Arc::clone(&minion);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(2));
                let mut state = ticking.state.lock().unwrap();
                let before = state.next_end;
                state.advance(&ticking.logs);
                if state.next_end != before {
                    ticking.changed.notify_all();
                }
            }
        });
        Ok(minion)
    }

    fn listen(self: &Arc<Self>) -> std::io::Result<()> {
        let minion = Arc::clone(self);
        let address = *self.address.lock().unwrap();
        let server = Server::start(address, move |request| minion.answer(request))?;
        *self.address.lock().unwrap() = server.address;
        *self.server.lock().unwrap() = Some(server);
        Ok(())
    }

    /// Writes the minion's entry to the store.
    fn register(&self) {
        let state = self.state.lock().unwrap();
        let kind = &state.kind;
        let entry = json!({
            "Service": "order-desk", "Address": self.address.lock().unwrap().to_string(),
            "Zone": kind.zone, "Version": "v1", "Slots": 8, "State": "ready",
            "ColdRemainingMs": 0, "Sequence": 1, "born": state.born,
            "Capacity": {"Cpu": kind.cpu, "MemoryRequestMb": 65536, "Gpu": 0},
            "Labels": [kind.kind, kind.rack],
        });
        self.record
            .line(&format!("minion {} registers kind={} born={}", kind.id, kind.kind, state.born));
        self.store.put(&format!("servers/{}", kind.id), &entry);
    }

    /// Ends the minion: connections are reset, runs end, further calls are refused.
    pub fn crash(&self) {
        if let Some(server) = self.server.lock().unwrap().take() {
            server.stop();
        }
        let mut state = self.state.lock().unwrap();
        state.advance(&self.logs);
        let now = Instant::now();
        let tasks: Vec<String> = state.runs.keys().cloned().collect();
        for task in tasks {
            state.end(&self.logs, &task, now, "crashed");
        }
        self.record.line(&format!("minion {} crashes", state.kind.id));
    }

    /// Starts a new incarnation under the same id and address, which may be of another kind.
    pub fn restart(self: &Arc<Self>, kind: &str) -> std::io::Result<()> {
        {
            let mut state = self.state.lock().unwrap();
            let kind = Kind { kind: kind.to_owned(), ..state.kind.clone() };
            *state = State::new(kind);
        }
        self.listen()?;
        self.register();
        Ok(())
    }

    fn answer(self: &Arc<Self>, request: &Request) -> Reply {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
        let expected = request.instance.as_deref();
        if expected.is_some_and(|id| id != self.state.lock().unwrap().kind.id) {
            return (421, "{}".to_owned());
        }
        let (status, body) = match request.path.as_str() {
            "/run-start" => self.run_start(&body),
            "/run-stop" => self.run_stop(&body),
            "/hold" => self.hold(&body),
            _ => (404, json!({})),
        };
        (status, body.to_string())
    }

    fn run_start(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        state.advance(&self.logs);
        let clock = state.clock();
        let refused = |reason: &str| (409, json!({"ClockMs": clock, "Reason": reason}));
        let (Some(task), Some(number)) = (body["Task"].as_str(), body["Run"].as_u64()) else {
            return (400, json!({}));
        };
        if !state.accept_token(body) {
            return refused("fence");
        }
        let deadline = body["DeadlineMs"].as_u64().unwrap_or(0);
        if deadline <= clock {
            return refused("late");
        }
        state.extend_lease(deadline);
        if state.runs.get(task).is_some_and(|run| run.number == number) {
            return (200, json!({"ClockMs": clock}));
        }
        if state.over.get(task).is_some_and(|over| *over >= number) || state.runs.contains_key(task)
        {
            return refused("old");
        }
        let spec = body["Spec"].as_str().unwrap_or_default();
        let work = Duration::from_millis(spec.trim_start_matches("ms=").parse().unwrap_or(60));
        let start = Instant::now();
        let mut logs = self.logs.0.lock().unwrap();
        let log = logs.len();
        logs.push(RunLog {
            minion: state.kind.id.clone(),
            kind: state.kind.kind.clone(),
            born: state.born,
            task: task.to_owned(),
            run: number,
            start,
            end: None,
        });
        state.runs.insert(task.to_owned(), Run { number, log, start, work, stop_at: None });
        (200, json!({"ClockMs": clock}))
    }

    fn run_stop(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        state.advance(&self.logs);
        let clock = state.clock();
        let (Some(task), Some(number)) = (body["Task"].as_str(), body["Run"].as_u64()) else {
            return (400, json!({}));
        };
        if !state.accept_token(body) {
            return (409, json!({"ClockMs": clock, "Reason": "fence"}));
        }
        match state.runs.get_mut(task).filter(|run| run.number <= number) {
            Some(run) => {
                run.stop_at.get_or_insert(Instant::now() + Duration::from_millis(STOP_MS));
            }
            None => {
                let over = state.over.entry(task.to_owned()).or_default();
                *over = number.max(*over);
            }
        }
        (200, json!({"ClockMs": clock}))
    }

    fn hold(&self, body: &Value) -> (u16, Value) {
        let mut state = self.state.lock().unwrap();
        state.advance(&self.logs);
        if !state.accept_token(body) {
            return (409, json!({"ClockMs": state.clock(), "Reason": "fence"}));
        }
        if let Some(deadline) = body["DeadlineMs"].as_u64() {
            state.extend_lease(deadline);
        }
        let observed = body["Observed"].as_u64().unwrap_or(0);
        state.ends.retain(|(number, ..)| *number > observed);
        let end = Instant::now() + Duration::from_millis(body["WaitMs"].as_u64().unwrap_or(0));
        let born = state.born;
        while state.ends.is_empty() && born == state.born {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        state.advance(&self.logs);
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let share = run.start.elapsed().as_secs_f64() / run.work.as_secs_f64().max(1e-3);
                json!([task, run.number, "", (share * 100.0).min(99.0) as u64, 1000])
            })
            .collect();
        let ends: Vec<Value> = state
            .ends
            .iter()
            .take(500)
            .map(|(number, task, run, how)| json!([number, task, run, how, ""]))
            .collect();
        (
            200,
            json!({"ClockMs": state.clock(), "born": state.born, "Running": running, "Finished": ends}),
        )
    }
}

impl State {
    /// Returns whether an order's token is not below the highest one seen.
    fn accept_token(&mut self, body: &Value) -> bool {
        let token = body["FencingToken"].as_u64().unwrap_or(0);
        if token < self.token {
            return false;
        }
        self.token = token;
        true
    }
}
