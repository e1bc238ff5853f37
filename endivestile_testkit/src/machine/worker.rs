//! Workers: tasks under leases, usage with a lag, control of running tasks.

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

/// How old the usage is that a worker reports, in milliseconds.
const USAGE_LAG_MS: u64 = 500;
/// Prefix of the paths that control a running task.
const TASKS: &str = "/v1/tasks/";

/// Workers on ephemeral ports of 127.0.0.1.
///
/// `POST /v1/run` with `Lease-Ms` runs a task until its end or the end of the
/// lease, whichever comes first. `POST /v1/tasks/<key>/lease` renews the lease,
/// `DELETE /v1/tasks/<key>` stops the task, `POST /v1/tasks/<key>/throttle`
/// with a percentage as body slows it down, `POST /v1/tasks/<key>/checkpoint`
/// tells how far it is, and `GET /v1/usage` tells the slots taken half a second ago.
#[derive(Debug)]
pub struct WorkerStandIn {
    machines: MachineSet,
}

impl WorkerStandIn {
    /// Starts the workers.
    ///
    /// # Errors
    /// Those of the listeners and the thread.
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
    /// As every call that names a worker, when there is none of that name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.machines.address(name)
    }

    /// Tells a machine where it stands among the zones.
    pub(crate) fn set_zone(&self, name: &str, zone: &str, zones: &Arc<Topology>) {
        self.machines.set_zone(name, zone, zones);
    }

    /// Sets a worker's fault.
    pub fn set_fault(&self, name: &str, fault: MachineFault) {
        self.machines.set_fault(name, fault);
    }

    /// Sets the speed of tasks that start from now on.
    pub fn set_speed(&self, name: &str, speed: f64) {
        self.machines.set_speed(name, speed);
    }

    /// Cuts the open connections of a worker, its idle ones too.
    pub fn close_connections(&self, name: &str) {
        self.machines.machine(name).close_connections();
    }

    /// Returns all starts in the order of time.
    pub fn starts(&self) -> Vec<TaskStart> {
        self.machines.starts()
    }

    /// Returns how often the work of this key was started.
    pub fn starts_of(&self, work: &str) -> usize {
        self.machines.starts_of(work)
    }

    /// Returns the works that were started more than once, with their counts.
    pub fn duplicate_starts(&self) -> Vec<(String, usize)> {
        self.machines.duplicate_starts()
    }

    /// Returns the most tasks that ran at once on a worker.
    pub fn peak_running(&self, name: &str) -> usize {
        self.machines.peak_running(name)
    }

    /// Returns the tasks that run now on all workers.
    pub fn running(&self) -> usize {
        self.machines.running()
    }
}

/// Answers a call that controls a running task or asks for usage.
pub(crate) fn control(machine: &Machine, call: &Call) -> Option<Reply> {
    if call.method == "GET" && call.path == "/v1/usage" {
        return Some(usage(machine));
    }
    let rest = call.path.strip_prefix(TASKS)?;
    let (key, verb) = rest.split_once('/').unwrap_or((rest, ""));
    let found = match (call.method.as_str(), verb) {
        ("DELETE", "") => machine.update(key, |running| running.stopped = true),
        ("POST", "lease") => {
            let ms = call.header(LEASE_HEADER)?.parse().ok()?;
            let lease = Instant::now() + Duration::from_millis(ms);
            machine.update(key, |running| running.lease = Some(lease))
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

/// Lets what is left of a task run at `percent` of its speed.
fn throttle(running: &mut RunningTask, percent: u32) {
    let now = Instant::now();
    let left = running.ends.saturating_duration_since(now);
    running.ends = now + left * 100 / percent.clamp(1, 100);
}

fn checkpoint(machine: &Machine, key: &str) -> Reply {
    let now = Instant::now();
    let mut done = None;
    machine.update(key, |running| {
        let whole = running.ends.saturating_duration_since(running.began).as_micros().max(1);
        let ran = now.saturating_duration_since(running.began).as_micros();
        done = Some((ran * 100 / whole).min(100) as u64);
    });
    match done {
        Some(percent) => Reply::new(200, json!({ "done_percent": percent }).to_string()),
        None => Reply::new(404, "no such task"),
    }
}
