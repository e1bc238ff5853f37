//! State of one machine.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};

use super::fault::{MachineFault, STRAGGLE};
use super::start::{TaskStart, Work};
use crate::deploy::wait_for;
use crate::lock::lock;
use crate::net::Topology;

/// Longest wait for a port to open or close, in seconds.
const PORT_S: u64 = 10;

/// A machine to stand in for.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSpec {
    /// Name, as in the inventory.
    pub name: String,
    /// Tasks that it runs at once.
    pub slots: usize,
    /// Connections that it accepts; further ones are closed at once.
    pub connections: usize,
    /// Speed; a task of 100 ms takes 50 ms at speed 2.
    pub speed: f64,
    /// Run time of a task whose work names none, in milliseconds.
    pub default_ms: f64,
}

impl MachineSpec {
    /// Makes a machine of 8 slots, 64 connections and speed 1, whose tasks take no time by default.
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), slots: 8, connections: 64, speed: 1.0, default_ms: 0.0 }
    }

    /// Sets the speed.
    pub fn speed(self, speed: f64) -> Self {
        Self { speed, ..self }
    }

    /// Sets the slots.
    pub fn slots(self, slots: usize) -> Self {
        Self { slots, ..self }
    }
}

/// A task that runs.
#[derive(Debug, Clone)]
pub(crate) struct RunningTask {
    /// When it began.
    pub(crate) began: Instant,
    /// When it will have run to its end.
    pub(crate) ends: Instant,
    /// When its lease ends, if it has one.
    pub(crate) lease: Option<Instant>,
    /// Whether it was told to stop.
    pub(crate) stopped: bool,
    /// Told when one of these changes.
    pub(crate) changed: Arc<Notify>,
}

impl RunningTask {
    /// Returns the instant at which something happens next.
    pub(crate) fn next_event(&self) -> Instant {
        self.lease.map_or(self.ends, |lease| lease.min(self.ends))
    }
}

/// Why a machine does not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// All slots are taken.
    Busy,
    /// It is leaving.
    Leaving,
}

/// One machine.
#[derive(Debug)]
pub(crate) struct Machine {
    /// Name.
    pub(crate) name: Arc<str>,
    /// Address that it listens on.
    pub(crate) address: SocketAddr,
    /// Generation of its connections, and whether the port is to be open.
    pub(crate) port: watch::Sender<(u64, bool)>,
    /// Whether the port is open.
    pub(crate) listens: AtomicBool,
    /// What changes.
    pub(crate) state: Mutex<State>,
    /// Description.
    pub(crate) spec: MachineSpec,
    /// Where it stands among the zones, once it is told.
    pub(crate) site: OnceLock<(String, Arc<Topology>)>,
}

/// What changes of a machine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) fault: MachineFault,
    pub(crate) speed: f64,
    pub(crate) connections: usize,
    pub(crate) peak: usize,
    pub(crate) tasks: HashMap<u64, (String, RunningTask)>,
    pub(crate) usage: VecDeque<(Instant, usize)>,
    pub(crate) starts: Vec<TaskStart>,
    pub(crate) total: u64,
    pub(crate) denied: u64,
    last: u64,
    rng: SmallRng,
}

impl Machine {
    /// Makes a machine that listens on `address`; `seed` draws its stragglers.
    pub(crate) fn new(spec: MachineSpec, address: SocketAddr, seed: u64) -> Self {
        let state = State {
            fault: MachineFault::None,
            speed: spec.speed,
            connections: 0,
            peak: 0,
            tasks: HashMap::new(),
            usage: VecDeque::new(),
            starts: Vec::new(),
            total: 0,
            denied: 0,
            last: 0,
            rng: SmallRng::seed_from_u64(seed),
        };
        let (port, _) = watch::channel((0, true));
        Self {
            name: spec.name.as_str().into(),
            address,
            port,
            listens: AtomicBool::new(true),
            state: Mutex::new(state),
            spec,
            site: OnceLock::new(),
        }
    }

    /// Returns the one-way distance from an entry host.
    pub(crate) fn distance_from(&self, host: &str) -> Duration {
        let us = self.site.get().map_or(0, |(zone, zones)| zones.host_distance_us(host, zone));
        Duration::from_micros(us)
    }

    /// Tells whether an entry host is cut off from the machine's zone.
    pub(crate) fn is_cut_off_from(&self, host: &str) -> bool {
        self.site.get().is_some_and(|(zone, zones)| zones.is_cut_off(host, zone))
    }

    /// Sets a fault; one that closes the port cuts the open connections too.
    /// Returns once the port is as the fault says: a call that came before would
    /// still be served.
    pub(crate) fn set_fault(&self, fault: MachineFault) {
        lock(&self.state).fault = fault;
        let open = fault != MachineFault::Refuse;
        self.port.send_if_modified(|(generation, was)| {
            let changed = *was != open;
            *generation += u64::from(changed);
            *was = open;
            changed
        });
        wait_for(PORT_S, || self.listens.load(Ordering::Acquire) == open);
    }

    /// Cuts the open connections.
    pub(crate) fn close_connections(&self) {
        self.port.send_modify(|(generation, _)| *generation += 1);
    }

    /// Starts a task, unless the machine is full or leaving; returns its number and fault.
    pub(crate) fn start(
        &self,
        birth: Instant,
        key: &str,
        text: &str,
        lease_ms: Option<u64>,
    ) -> Result<(u64, MachineFault), Rejection> {
        let mut state = lock(&self.state);
        let fault = state.fault;
        let full = state.tasks.len() >= self.spec.slots;
        let deny = match fault {
            MachineFault::Leaving => Some(Rejection::Leaving),
            MachineFault::Busy => Some(Rejection::Busy),
            _ => full.then_some(Rejection::Busy),
        };
        if let Some(deny) = deny {
            state.denied += 1;
            return Err(deny);
        }
        let work = Work::parse(text);
        let service_us = state.service_us(&work, self.spec.default_ms);
        let began = Instant::now();
        let at_us = began.duration_since(birth).as_micros() as u64;
        state.starts.push(TaskStart {
            machine: Arc::clone(&self.name),
            task: key.to_owned(),
            work: work.key.unwrap_or_else(|| text.to_owned()),
            at_us,
            service_us,
        });
        state.total += 1;
        let running = RunningTask {
            began,
            ends: began + Duration::from_micros(service_us),
            lease: lease_ms.map(|ms| began + Duration::from_millis(ms)),
            stopped: false,
            changed: Arc::default(),
        };
        Ok((state.insert(key, running), fault))
    }

    /// Frees the slot of a task; returns how it stood, none when it was not running.
    pub(crate) fn finish(&self, number: u64) -> Option<RunningTask> {
        let mut state = lock(&self.state);
        let (_, running) = state.tasks.remove(&number)?;
        state.note_usage();
        Some(running)
    }

    /// Returns how a running task stands.
    pub(crate) fn running(&self, number: u64) -> Option<RunningTask> {
        lock(&self.state).tasks.get(&number).map(|(_, running)| running.clone())
    }

    /// Changes the running tasks of a key; returns how many there are.
    pub(crate) fn update(&self, key: &str, mut change: impl FnMut(&mut RunningTask)) -> usize {
        let mut state = lock(&self.state);
        let mut count = 0;
        for (name, running) in state.tasks.values_mut() {
            if name == key {
                change(running);
                running.changed.notify_one();
                count += 1;
            }
        }
        count
    }

    /// Returns the number of tasks that ran at `when`, as far as remembered.
    pub(crate) fn usage_at(&self, when: Instant) -> usize {
        let state = lock(&self.state);
        state.usage.iter().rev().find(|(at, _)| *at <= when).map_or(0, |(_, count)| *count)
    }
}

/// Changes of usage that are remembered.
const USAGE_CHANGES: usize = 10_000;

impl State {
    fn insert(&mut self, key: &str, running: RunningTask) -> u64 {
        self.last += 1;
        self.tasks.insert(self.last, (key.to_owned(), running));
        self.peak = self.peak.max(self.tasks.len());
        self.note_usage();
        self.last
    }

    fn note_usage(&mut self) {
        self.usage.push_back((Instant::now(), self.tasks.len()));
        if self.usage.len() > USAGE_CHANGES {
            self.usage.pop_front();
        }
    }

    fn service_us(&mut self, work: &Work, default_ms: f64) -> u64 {
        let ms = work.ms.unwrap_or(default_ms) / self.speed;
        let slow = match self.fault {
            MachineFault::Straggle(percent) => self.rng.random_range(0..100) < percent,
            MachineFault::Status(_) => return 0,
            _ => false,
        };
        (ms * if slow { STRAGGLE } else { 1.0 } * 1_000.0) as u64
    }
}
