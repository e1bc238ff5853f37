//! Stand-in for backend servers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::machine_set::MachineSet;
use super::{MachineFault, MachineSpec, TaskStart};
use crate::net::Topology;

/// Backend servers on ephemeral ports of 127.0.0.1.
///
/// A `POST` to any path runs a task. Its body is the work, preferably in the form
/// `{"key":"k1","ms":120}`, and the answer is [`echo`](super::echo) of it. A full
/// or leaving server answers 503 with `Not-Run: busy` or `Not-Run: leaving`.
/// Dropping the stand-in closes all ports.
#[derive(Debug)]
pub struct BackendStandIn {
    machines: MachineSet,
}

impl BackendStandIn {
    /// Starts the backend servers.
    ///
    /// # Errors
    /// Returns an error when a listener or the thread cannot be started.
    pub fn start(specs: Vec<MachineSpec>) -> io::Result<Self> {
        Ok(Self { machines: MachineSet::start(specs)? })
    }

    /// Returns the names of the servers.
    pub fn names(&self) -> Vec<&str> {
        self.machines.names()
    }

    /// Returns the address of a server.
    ///
    /// # Panics
    /// Like every method that takes a server's name, panics when no server has that name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.machines.address(name)
    }

    /// Sets the zone of a server and the topology that contains it.
    pub(crate) fn set_zone(&self, name: &str, zone: &str, topology: &Arc<Topology>) {
        self.machines.set_zone(name, zone, topology);
    }

    /// Sets the fault of a server.
    pub fn set_fault(&self, name: &str, fault: MachineFault) {
        self.machines.set_fault(name, fault);
    }

    /// Sets the speed for tasks that start from now on.
    pub fn set_speed(&self, name: &str, speed: f64) {
        self.machines.set_speed(name, speed);
    }

    /// Closes all connections of a server, including idle ones.
    pub fn close_connections(&self, name: &str) {
        self.machines.machine(name).close_connections();
    }

    /// Returns all recorded starts, ordered by time.
    pub fn starts(&self) -> Vec<TaskStart> {
        self.machines.starts()
    }

    /// Clears the recorded starts.
    pub fn clear_starts(&self) {
        self.machines.clear_starts();
    }

    /// Returns the number of recorded starts of the work with a key.
    pub fn starts_of(&self, work: &str) -> usize {
        self.machines.starts_of(work)
    }

    /// Returns the keys of works that were started more than once, with their counts.
    pub fn duplicate_starts(&self) -> Vec<(String, usize)> {
        self.machines.duplicate_starts()
    }

    /// Returns the number of recorded starts on a server.
    pub fn starts_at(&self, name: &str) -> usize {
        self.machines.starts_at(name)
    }

    /// Returns the number of starts on all servers, including cleared ones.
    pub fn total_starts(&self) -> u64 {
        self.machines.total_starts()
    }

    /// Returns the largest number of tasks that ran on a server at the same time.
    pub fn peak_running(&self, name: &str) -> usize {
        self.machines.peak_running(name)
    }

    /// Returns the number of tasks running on all servers.
    pub fn running(&self) -> usize {
        self.machines.running()
    }

    /// Returns the number of calls that servers rejected as busy or leaving.
    pub fn rejections(&self) -> u64 {
        self.machines.rejections()
    }
}
