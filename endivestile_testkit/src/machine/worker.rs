//! Stand-in for workers: tasks with leases, control of running tasks and delayed usage reports.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use endivestile_wire::call::LEASE_HEADER;
use serde_json::json;

use super::http::{Call, Reply};
use super::machine_set::MachineSet;
use super::state::{Machine, RunningTask};
use super::{MachineFault, MachineSpec, TaskStart};
use crate::net::Topology;

/// Age of the usage that a worker reports, in milliseconds.
const USAGE_LAG_MS: u64 = 500;
/// Prefix of the paths that control a running task.
const TASKS_PREFIX: &str = "/v1/tasks/";

/// Workers on ephemeral ports of 127.0.0.1.
///
/// `POST /v1/run` with `Lease-Ms` runs a task until it completes or its lease
/// expires. `POST /v1/tasks/<key>/lease` renews the lease, `DELETE /v1/tasks/<key>`
/// stops the task, `POST /v1/tasks/<key>/throttle` with a percentage as body slows
/// it down, `POST /v1/tasks/<key>/checkpoint` returns its progress, and
/// `GET /v1/usage` returns the slots in use half a second ago.
#[derive(Debug)]
pub struct WorkerStandIn {
    machines: MachineSet,
}

impl WorkerStandIn {
    /// Starts the workers.
    ///
    /// # Errors
    /// Returns an error when a listener or the thread cannot be started.
    pub fn start(specs: Vec<MachineSpec>) -> io::Result<Self> {
        Ok(Self { machines: MachineSet::start(specs)? })
    }

    /// Returns the names of the workers.
    pub fn names(&self) -> Vec<&str> {
        self.machines.names()
    }

    /// Returns the address of a worker.
    ///
    /// # Panics
    /// Like every method that takes a worker's name, panics when no worker has that name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.machines.address(name)
    }

    /// Sets the zone of a worker and the topology that contains it.
    pub(crate) fn set_zone(&self, name: &str, zone: &str, topology: &Arc<Topology>) {
        self.machines.set_zone(name, zone, topology);
    }

    /// Sets the fault of a worker.
    pub fn set_fault(&self, name: &str, fault: MachineFault) {
        self.machines.set_fault(name, fault);
    }

    /// Sets the speed for tasks that start from now on.
    pub fn set_speed(&self, name: &str, speed: f64) {
        self.machines.set_speed(name, speed);
    }

    /// Closes all connections of a worker, including idle ones.
    pub fn close_connections(&self, name: &str) {
        self.machines.machine(name).close_connections();
    }

    /// Returns all recorded starts, ordered by time.
    pub fn starts(&self) -> Vec<TaskStart> {
        self.machines.starts()
    }

    /// Returns the number of recorded starts of the work with a key.
    pub fn starts_of(&self, work: &str) -> usize {
        self.machines.starts_of(work)
    }

    /// Returns the keys of works that were started more than once, with their counts.
    pub fn duplicate_starts(&self) -> Vec<(String, usize)> {
        self.machines.duplicate_starts()
    }

    /// Returns the largest number of tasks that ran on a worker at the same time.
    pub fn peak_running(&self, name: &str) -> usize {
        self.machines.peak_running(name)
    }

    /// Returns the number of tasks running on all workers.
    pub fn running(&self) -> usize {
        self.machines.running()
    }
}

/// Answers calls for usage and calls that control a running task. Returns `None`
/// for other calls.
pub(crate) fn control(machine: &Machine, call: &Call) -> Option<Reply> {
    if call.method == "GET" && call.path == "/v1/usage" {
        return Some(usage(machine));
    }
    let rest = call.path.strip_prefix(TASKS_PREFIX)?;
    let (key, action) = rest.split_once('/').unwrap_or((rest, ""));
    let found = match (call.method.as_str(), action) {
        ("DELETE", "") => machine.update(key, |running| running.stop_requested = true),
        ("POST", "lease") => {
            let ms = call.header(LEASE_HEADER)?.parse().ok()?;
            let expires_at = Instant::now() + Duration::from_millis(ms);
            machine.update(key, |running| running.lease_expires_at = Some(expires_at))
        }
        ("POST", "throttle") => {
            let percent: u32 = call.text().trim().parse().ok()?;
            machine.update(key, |running| throttle(running, percent))
        }
        ("POST", "checkpoint") => return Some(checkpoint(machine, key)),
        _ => return Some(Reply::new(404, "no such path")),
    };
    Some(if found > 0 { Reply::new(200, "ok") } else { Reply::new(404, "no such task") })
}

fn usage(machine: &Machine) -> Reply {
    let lag = Duration::from_millis(USAGE_LAG_MS);
    let when = Instant::now().checked_sub(lag);
    let running = when.map_or(0, |when| machine.usage_at(when));
    let slots = machine.spec.slots;
    Reply::new(
        200,
        json!({ "running": running, "slots": slots, "lag_ms": USAGE_LAG_MS }).to_string(),
    )
}

/// Slows the rest of a task down to `percent` of its current speed.
fn throttle(running: &mut RunningTask, percent: u32) {
    let now = Instant::now();
    let remaining = running.ends_at.saturating_duration_since(now);
    running.ends_at = now + remaining * 100 / percent.clamp(1, 100);
}

/// Returns the progress of a running task.
fn checkpoint(machine: &Machine, key: &str) -> Reply {
    let now = Instant::now();
    let mut done_percent = None;
    machine.update(key, |running| {
        let total =
            running.ends_at.saturating_duration_since(running.started_at).as_micros().max(1);
        let elapsed = now.saturating_duration_since(running.started_at).as_micros();
        done_percent = Some((elapsed * 100 / total).min(100) as u64);
    });
    match done_percent {
        Some(percent) => Reply::new(200, json!({ "done_percent": percent }).to_string()),
        None => Reply::new(404, "no such task"),
    }
}
