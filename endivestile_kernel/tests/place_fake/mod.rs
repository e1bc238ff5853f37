//! A placer with simulated backends in virtual time.

#![allow(dead_code, missing_docs, unreachable_pub)]

pub mod reference;
pub mod trace;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name, Server, Service, Team, Worker};
use endivestile_kernel::{
    AttemptEnd, AttemptId, HostState, HostView, Need, Note, Outcome, Peer, PlaceEffect,
    PlaceRequest, Placer, PlacerSetup, Target, Task, TaskKey, Time, View,
};

/// How a simulated backend treats a task.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Mode {
    /// Runs it for its size times the factor.
    Runs(f64),
    /// Fails it after 1 ms.
    Fails,
    /// Fails it after 100 ms.
    FailsSlowly,
    /// Refuses connections.
    Refuses,
    /// Reports that it is full.
    Busy,
    /// Reports that it is leaving.
    Leaving,
    /// Accepts it and loses the answer after 1 ms.
    LosesAnswer,
    /// Accepts it and never answers.
    Hangs,
}

/// One start of a task on a simulated backend.
#[derive(Debug, Clone)]
pub struct Start {
    pub at: Time,
    pub attempt: AttemptId,
    pub server: Name,
    pub key: TaskKey,
    pub team: Name,
}

pub struct Simulation {
    pub placer: Placer,
    pub config: Config,
    pub view: View,
    pub now: Time,
    pub modes: HashMap<Name, Mode>,
    pub starts: Vec<Start>,
    pub ended: Vec<(Time, TaskKey, Outcome)>,
    pub notes: Vec<(Time, Note)>,
    pub running: BTreeMap<AttemptId, (Name, u32)>,
    pub max_running: HashMap<Name, usize>,
    pending_ends: BinaryHeap<Reverse<(Time, AttemptId)>>,
    results: HashMap<AttemptId, AttemptEnd>,
    pub aborted: Vec<AttemptId>,
    out: Vec<PlaceEffect>,
}

pub fn home() -> Peer {
    Peer::new("h0", 1)
}

pub fn view(hosts: &[(&str, u32)]) -> View {
    let hosts = hosts.iter().map(|(name, weight)| {
        let view = HostView {
            peer: Peer::new(*name, 1),
            zone: Name::from("z"),
            address: Name::from("127.0.0.1:1"),
            weight: *weight,
            state: HostState::Live,
        };
        (Name::from(*name), view)
    });
    View {
        me: home(),
        zone: Name::from("z"),
        hosts: hosts.collect(),
        ended: BTreeSet::new(),
        store_available: true,
        has_inventory: true,
    }
}

/// Returns a configuration with one service `s` on `count` servers of `slots`
/// slots, four per rack.
pub fn servers(count: usize, slots: u32) -> Config {
    let mut config = Config::default();
    let mut names = Vec::new();
    for at in 0..count {
        let name = Name::from(format!("b{at:04}"));
        let server = Server {
            zone: Name::from("z"),
            rack: Name::from(format!("r{}", at / 4)),
            address: Name::from("127.0.0.1:2"),
            slots,
            connections: 64,
        };
        config.servers.insert(name.clone(), server);
        names.push(name);
    }
    let service = Service { servers: names, path: Name::from("/run") };
    config.services.insert(Name::from("s"), service);
    for name in ["a", "b", "c"] {
        config.teams.insert(Name::from(name), Team { limit: 1_000_000, weight: 1 });
    }
    config.rules.queue_limit = 1_000_000;
    config
}

pub fn add_worker(config: &mut Config, name: &str, cpu_milli: u32, accelerators: u16) {
    let worker = Worker {
        zone: Name::from("z"),
        rack: Name::from("w"),
        address: Name::from("127.0.0.1:3"),
        cpu_milli,
        memory_mb: 64_000,
        accelerators,
    };
    config.workers.insert(Name::from(name), worker);
}

pub fn need(cpu_milli: u32, accelerators: u16) -> Target {
    Target::Need(Need { cpu_milli, memory_mb: 100, accelerators })
}

pub fn service() -> Target {
    Target::Service(Name::from("s"))
}

/// Returns an order of one task that runs for `size_us` on a backend of factor 1.
pub fn new_order(now: Time, run: u64, team: &str, size_us: u64) -> PlaceRequest {
    PlaceRequest {
        key: TaskKey { run, index: 0, attempt: 0 },
        team: Name::from(team),
        deadline: now.after_ms(600_000),
        arrived: now,
        remaining: 1,
        task: Arc::new(Task {
            target: service(),
            work: Bytes::copy_from_slice(&size_us.to_be_bytes()),
            declared_ms: 0,
        }),
    }
}

pub fn for_target(mut order: PlaceRequest, target: Target) -> PlaceRequest {
    Arc::make_mut(&mut order.task).target = target;
    order
}

impl Simulation {
    pub fn new(config: Config) -> Self {
        Self::with_view(config, view(&[("h0", 1)]))
    }

    pub fn with_view(config: Config, view: View) -> Self {
        let mut sim = Self {
            placer: Placer::new(PlacerSetup { me: home(), seed: 7 }),
            config,
            view,
            now: Time::ZERO,
            modes: HashMap::new(),
            starts: Vec::new(),
            ended: Vec::new(),
            notes: Vec::new(),
            running: BTreeMap::new(),
            max_running: HashMap::new(),
            pending_ends: BinaryHeap::new(),
            results: HashMap::new(),
            aborted: Vec::new(),
            out: Vec::new(),
        };
        sim.configure();
        sim
    }

    pub fn configure(&mut self) {
        self.placer.configure(self.now, &self.config, &self.view, &mut self.out);
        self.apply_effects();
    }

    pub fn set_view(&mut self, view: View) {
        self.view = view;
        self.placer.handle_view(self.now, &self.view, &mut self.out);
        self.apply_effects();
    }

    pub fn set_leaving(&mut self, name: &str, leaving: bool) {
        self.placer.set_leaving(self.now, name, leaving, &mut self.out);
        self.apply_effects();
    }

    pub fn submit(&mut self, order: PlaceRequest) {
        self.placer.handle_order(self.now, &home(), order, &mut self.out);
        self.apply_effects();
    }

    /// Submits `count` tasks of one size, numbered from `run`.
    pub fn submit_many(&mut self, run: u64, count: u64, team: &str, size_us: u64) {
        for step in 0..count {
            self.submit(new_order(self.now, run + step, team, size_us));
        }
    }

    pub fn drop_task(&mut self, run: u64) {
        let key = TaskKey { run, index: 0, attempt: 0 };
        self.placer.handle_drop(self.now, &home(), key, &mut self.out);
        self.apply_effects();
    }

    pub fn remove_home(&mut self) {
        self.placer.handle_home_gone(self.now, &home(), &mut self.out);
        self.apply_effects();
    }

    pub fn set_mode(&mut self, name: &str, mode: Mode) {
        self.modes.insert(Name::from(name), mode);
    }

    /// Advances the time to `until`, handling finished calls and timers in order.
    pub fn run_until(&mut self, until: Time) {
        loop {
            let end = self.pending_ends.peek().map(|Reverse((at, _))| *at);
            let timer = self.placer.next_timer();
            let next = end.into_iter().chain(timer).min();
            let Some(next) = next.filter(|next| *next <= until) else { break };
            self.now = self.now.max(next);
            if end == Some(next) {
                self.finish();
            } else {
                self.placer.tick(self.now, &mut self.out);
                self.apply_effects();
            }
        }
        self.now = self.now.max(until);
    }

    pub fn run_ms(&mut self, millis: u64) {
        self.run_until(self.now.after_ms(millis));
    }

    pub fn outcome(&self, run: u64) -> Option<&Outcome> {
        self.ended.iter().find(|(_, key, _)| key.run == run).map(|(_, _, outcome)| outcome)
    }

    pub fn count_outcomes(&self, expected: &Outcome) -> usize {
        self.ended.iter().filter(|(_, _, outcome)| outcome == expected).count()
    }

    pub fn count_done(&self) -> usize {
        self.ended.iter().filter(|(_, _, outcome)| matches!(outcome, Outcome::Done(_))).count()
    }

    pub fn starts_on(&self, name: &str) -> usize {
        self.starts.iter().filter(|start| start.server.as_ref() == name).count()
    }

    pub fn start_of(&self, run: u64) -> Option<&Start> {
        self.starts.iter().find(|start| start.key.run == run)
    }

    fn finish(&mut self) {
        let Some(Reverse((_, attempt))) = self.pending_ends.pop() else { return };
        self.running.remove(&attempt);
        let Some(end) = self.results.remove(&attempt) else { return };
        self.placer.handle_end(self.now, attempt, end, &mut self.out);
        self.apply_effects();
    }

    fn apply_effects(&mut self) {
        for effect in std::mem::take(&mut self.out) {
            match effect {
                PlaceEffect::Start { attempt, server, order, .. } => {
                    self.start(attempt, server, order);
                }
                PlaceEffect::Abort(attempt) => {
                    self.aborted.push(attempt);
                    self.results.insert(attempt, AttemptEnd::Lost);
                    self.pending_ends.push(Reverse((self.now.after_us(100), attempt)));
                }
                PlaceEffect::Ended { key, outcome, .. } => {
                    self.ended.push((self.now, key, outcome));
                }
                PlaceEffect::Log(note) => self.notes.push((self.now, note)),
                PlaceEffect::Count(..) => {}
            }
        }
    }

    fn start(&mut self, attempt: AttemptId, server: Name, order: PlaceRequest) {
        let size = order.task.work.as_ref().try_into().map_or(1_000, u64::from_be_bytes);
        let mode = self.modes.get(&server).copied().unwrap_or(Mode::Runs(1.0));
        let (after, end) = match mode {
            Mode::Runs(factor) => {
                (size as f64 * factor, AttemptEnd::Answered(Bytes::from_static(b"x")))
            }
            Mode::Fails => (1_000.0, AttemptEnd::Rejected(500)),
            Mode::FailsSlowly => (100_000.0, AttemptEnd::Rejected(500)),
            Mode::Refuses => (100.0, AttemptEnd::Unreachable),
            Mode::Busy => (300.0, AttemptEnd::Busy),
            Mode::Leaving => (300.0, AttemptEnd::Leaving),
            Mode::LosesAnswer => (1_000.0, AttemptEnd::Lost),
            Mode::Hangs => (f64::MAX, AttemptEnd::Lost),
        };
        let cpu = match order.task.target {
            Target::Need(need) => need.cpu_milli,
            Target::Service(_) => 1,
        };
        self.running.insert(attempt, (server.clone(), cpu));
        let concurrent = self.running.values().filter(|(name, _)| *name == server).count();
        let peak = self.max_running.entry(server.clone()).or_default();
        *peak = concurrent.max(*peak);
        self.starts.push(Start { at: self.now, attempt, server, key: order.key, team: order.team });
        if mode != Mode::Hangs {
            self.results.insert(attempt, end);
            self.pending_ends.push(Reverse((self.now.after_us(after as u64), attempt)));
        }
    }
}
