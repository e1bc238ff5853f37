//! Backend servers as tests hold them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::machine_set::MachineSet;
use super::{MachineFault, MachineSpec, TaskStart};
use crate::net::Topology;

/// Backend servers on ephemeral ports of 127.0.0.1.
///
/// A `POST` on any path runs a task. Its body is the work, best
/// `{"key":"k1","ms":120}`; the answer is [`echo`](super::echo) of it. A full
/// or leaving server answers 503 with `Not-Run: busy` or `Not-Run: leaving`.
/// Dropping it closes all ports.
#[derive(Debug)]
pub struct BackendStandIn {
    machines: MachineSet,
}

impl BackendStandIn {
    /// Starts the backend servers.
    ///
    /// # Errors
    /// Those of the listeners and the thread.
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
    /// As every call that names a server, when there is none of that name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.machines.address(name)
    }

    /// Tells a machine where it stands among the zones.
    pub(crate) fn set_zone(&self, name: &str, zone: &str, zones: &Arc<Topology>) {
        self.machines.set_zone(name, zone, zones);
    }

    /// Sets a server's fault.
    pub fn set_fault(&self, name: &str, fault: MachineFault) {
        self.machines.set_fault(name, fault);
    }

    /// Sets the speed of tasks that start from now on.
    pub fn set_speed(&self, name: &str, speed: f64) {
        self.machines.set_speed(name, speed);
    }

    /// Cuts the open connections of a server, its idle ones too.
    pub fn close_connections(&self, name: &str) {
        self.machines.machine(name).close_connections();
    }

    /// Returns all starts in the order of time.
    pub fn starts(&self) -> Vec<TaskStart> {
        self.machines.starts()
    }

    /// Forgets the starts so far.
    pub fn clear_starts(&self) {
        self.machines.clear_starts();
    }

    /// Returns how often the work of this key was started.
    pub fn starts_of(&self, work: &str) -> usize {
        self.machines.starts_of(work)
    }

    /// Returns the works that were started more than once, with their counts.
    pub fn duplicate_starts(&self) -> Vec<(String, usize)> {
        self.machines.duplicate_starts()
    }

    /// Returns the starts at one server.
    pub fn starts_at(&self, name: &str) -> usize {
        self.machines.starts_at(name)
    }

    /// Returns the starts at all servers, forgotten ones included.
    pub fn total_starts(&self) -> u64 {
        self.machines.total_starts()
    }

    /// Returns the most tasks that ran at once on a server.
    pub fn peak_running(&self, name: &str) -> usize {
        self.machines.peak_running(name)
    }

    /// Returns the tasks that run now on all servers.
    pub fn running(&self) -> usize {
        self.machines.running()
    }

    /// Returns the calls that servers refused as busy or leaving.
    pub fn rejections(&self) -> u64 {
        self.machines.rejections()
    }
}
