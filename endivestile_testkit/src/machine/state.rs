//! State of a machine and its running tasks.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, watch};

use super::fault::{MachineFault, STRAGGLER_FACTOR};
use super::start::{TaskStart, Work};
use crate::deploy::wait_for;
use crate::lock::lock;
use crate::net::Topology;

/// Time limit for a port to open or close, in seconds.
const PORT_TIMEOUT_S: u64 = 10;

/// Description of a simulated machine.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineSpec {
    /// Name, as in the configuration.
    pub name: String,
    /// Number of tasks that can run at the same time.
    pub slots: usize,
    /// Connections accepted at the same time; further ones are closed at once.
    pub connections: usize,
    /// Speed factor: a task of 100 ms takes 50 ms at speed 2.
    pub speed: f64,
    /// Run time of a task whose work specifies none, in milliseconds.
    pub default_ms: f64,
}

impl MachineSpec {
    /// Describes a machine with 8 slots, 64 connections, speed 1 and a default run time of 0.
    pub fn new(name: impl Into<String>) -> Self {
        Self { name: name.into(), slots: 8, connections: 64, speed: 1.0, default_ms: 0.0 }
    }

    /// Sets the speed.
    pub fn speed(self, speed: f64) -> Self {
        Self { speed, ..self }
    }

    /// Sets the number of slots.
    pub fn slots(self, slots: usize) -> Self {
        Self { slots, ..self }
    }
}

/// A running task.
#[derive(Debug, Clone)]
pub(crate) struct RunningTask {
    /// Time at which it started.
    pub(crate) started_at: Instant,
    /// Time at which it completes.
    pub(crate) ends_at: Instant,
    /// Time at which its lease expires, if it has one.
    pub(crate) lease_expires_at: Option<Instant>,
    /// Whether it was requested to stop.
    pub(crate) stop_requested: bool,
    /// Notified when another field changes.
    pub(crate) changed: Arc<Notify>,
}

impl RunningTask {
    /// Returns the time at which the task completes or its lease expires.
    pub(crate) fn run_until(&self) -> Instant {
        self.lease_expires_at.map_or(self.ends_at, |lease| lease.min(self.ends_at))
    }
}

/// Reason for which a machine does not start a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// All slots are in use.
    Busy,
    /// The machine is leaving.
    Leaving,
}

/// A simulated machine.
#[derive(Debug)]
pub(crate) struct Machine {
    /// Name.
    pub(crate) name: Arc<str>,
    /// Listen address.
    pub(crate) address: SocketAddr,
    /// Generation of the connections, and whether the port should be open. A new
    /// generation closes the connections of earlier ones.
    pub(crate) port: watch::Sender<(u64, bool)>,
    /// Whether the port is open now.
    pub(crate) listens: AtomicBool,
    /// Mutable state.
    pub(crate) state: Mutex<State>,
    /// Description.
    pub(crate) spec: MachineSpec,
    /// Zone and the topology that contains it, once set.
    pub(crate) location: OnceLock<(String, Arc<Topology>)>,
}

/// Mutable state of a machine.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) fault: MachineFault,
    pub(crate) speed: f64,
    pub(crate) connections: usize,
    pub(crate) peak_tasks: usize,
    pub(crate) tasks: HashMap<u64, (String, RunningTask)>,
    pub(crate) usage: VecDeque<(Instant, usize)>,
    pub(crate) starts: Vec<TaskStart>,
    pub(crate) start_count: u64,
    pub(crate) rejected_calls: u64,
    last_number: u64,
    rng: SmallRng,
}

impl Machine {
    /// Creates a machine that listens on `address`. `seed` determines its stragglers.
    pub(crate) fn new(spec: MachineSpec, address: SocketAddr, seed: u64) -> Self {
        let state = State {
            fault: MachineFault::None,
            speed: spec.speed,
            connections: 0,
            peak_tasks: 0,
            tasks: HashMap::new(),
            usage: VecDeque::new(),
            starts: Vec::new(),
            start_count: 0,
            rejected_calls: 0,
            last_number: 0,
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
            location: OnceLock::new(),
        }
    }

    /// Returns the one-way latency to an entry host.
    pub(crate) fn distance_from(&self, host: &str) -> Duration {
        let us =
            self.location.get().map_or(0, |(zone, topology)| topology.host_distance_us(host, zone));
        Duration::from_micros(us)
    }

    /// Returns whether an entry host is disconnected from the machine's zone.
    pub(crate) fn is_disconnected_from(&self, host: &str) -> bool {
        self.location.get().is_some_and(|(zone, topology)| topology.is_disconnected(host, zone))
    }

    /// Sets the fault. One that closes the port also closes the connections.
    ///
    /// Waits until the port is open or closed as required, since a call that
    /// arrived earlier would still be served.
    pub(crate) fn set_fault(&self, fault: MachineFault) {
        lock(&self.state).fault = fault;
        let open = fault != MachineFault::Refuse;
        self.port.send_if_modified(|(generation, was_open)| {
            let changed = *was_open != open;
            *generation += u64::from(changed);
            *was_open = open;
            changed
        });
        wait_for(PORT_TIMEOUT_S, || self.listens.load(Ordering::Acquire) == open);
    }

    /// Closes all connections.
    pub(crate) fn close_connections(&self) {
        self.port.send_modify(|(generation, _)| *generation += 1);
    }

    /// Starts a task and returns its number and the fault in effect.
    ///
    /// # Errors
    /// Returns the rejection when the machine is full or leaving.
    pub(crate) fn start(
        &self,
        origin: Instant,
        key: &str,
        text: &str,
        lease_ms: Option<u64>,
    ) -> Result<(u64, MachineFault), Rejection> {
        let mut state = lock(&self.state);
        let fault = state.fault;
        let full = state.tasks.len() >= self.spec.slots;
        let rejection = match fault {
            MachineFault::Leaving => Some(Rejection::Leaving),
            MachineFault::Busy => Some(Rejection::Busy),
            _ => full.then_some(Rejection::Busy),
        };
        if let Some(rejection) = rejection {
            state.rejected_calls += 1;
            return Err(rejection);
        }
        let work = Work::parse(text);
        let service_us = state.service_us(&work, self.spec.default_ms);
        let started_at = Instant::now();
        let at_us = started_at.duration_since(origin).as_micros() as u64;
        state.starts.push(TaskStart {
            machine: Arc::clone(&self.name),
            task: key.to_owned(),
            work: work.key.unwrap_or_else(|| text.to_owned()),
            at_us,
            service_us,
        });
        state.start_count += 1;
        let running = RunningTask {
            started_at,
            ends_at: started_at + Duration::from_micros(service_us),
            lease_expires_at: lease_ms.map(|ms| started_at + Duration::from_millis(ms)),
            stop_requested: false,
            changed: Arc::default(),
        };
        Ok((state.insert(key, running), fault))
    }

    /// Removes a task, which frees its slot, and returns it. Returns `None` when
    /// the task is not running.
    pub(crate) fn finish(&self, number: u64) -> Option<RunningTask> {
        let mut state = lock(&self.state);
        let (_, running) = state.tasks.remove(&number)?;
        state.record_usage();
        Some(running)
    }

    /// Returns a copy of a running task.
    pub(crate) fn running(&self, number: u64) -> Option<RunningTask> {
        lock(&self.state).tasks.get(&number).map(|(_, running)| running.clone())
    }

    /// Updates the running tasks of a key and returns their number.
    pub(crate) fn update(&self, key: &str, mut apply: impl FnMut(&mut RunningTask)) -> usize {
        let mut state = lock(&self.state);
        let mut count = 0;
        for (task_key, running) in state.tasks.values_mut() {
            if task_key == key {
                apply(running);
                running.changed.notify_one();
                count += 1;
            }
        }
        count
    }

    /// Returns the number of tasks that ran at `when`, or 0 when that is not recorded.
    pub(crate) fn usage_at(&self, when: Instant) -> usize {
        let state = lock(&self.state);
        state.usage.iter().rev().find(|(at, _)| *at <= when).map_or(0, |(_, count)| *count)
    }
}

/// Number of usage changes kept.
const MAX_USAGE_CHANGES: usize = 10_000;

impl State {
    fn insert(&mut self, key: &str, running: RunningTask) -> u64 {
        self.last_number += 1;
        self.tasks.insert(self.last_number, (key.to_owned(), running));
        self.peak_tasks = self.peak_tasks.max(self.tasks.len());
        self.record_usage();
        self.last_number
    }

    fn record_usage(&mut self) {
        self.usage.push_back((Instant::now(), self.tasks.len()));
        if self.usage.len() > MAX_USAGE_CHANGES {
            self.usage.pop_front();
        }
    }

    /// Returns the run time of a task, in microseconds.
    fn service_us(&mut self, work: &Work, default_ms: f64) -> u64 {
        let ms = work.ms.unwrap_or(default_ms) / self.speed;
        let straggles = match self.fault {
            MachineFault::Straggle(percent) => self.rng.random_range(0..100) < percent,
            MachineFault::Status(_) => return 0,
            _ => false,
        };
        (ms * if straggles { STRAGGLER_FACTOR } else { 1.0 } * 1_000.0) as u64
    }
}
