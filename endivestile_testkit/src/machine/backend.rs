//! Backend servers as tests hold them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use super::park::Park;
use super::{Fault, Spec, Start};
use crate::net::Zones;

/// Backend servers on ephemeral ports of 127.0.0.1.
///
/// A `POST` on any path runs a task. Its body is the work, best
/// `{"key":"k1","ms":120}`; the answer is [`echo`](super::echo) of it. A full
/// or leaving server answers 503 with `Not-Run: busy` or `Not-Run: leaving`.
/// Dropping it closes all ports.
#[derive(Debug)]
pub struct BackendStandIn {
    park: Park,
}

impl BackendStandIn {
    /// Starts the backend servers.
    ///
    /// # Errors
    /// Those of the listeners and the thread.
    pub fn start(specs: Vec<Spec>) -> io::Result<Self> {
        Ok(Self { park: Park::start(specs)? })
    }

    /// Returns the names of the servers.
    pub fn names(&self) -> Vec<&str> {
        self.park.names()
    }

    /// Returns the address of a server.
    ///
    /// # Panics
    /// As every call that names a server, when there is none of that name.
    pub fn address(&self, name: &str) -> SocketAddr {
        self.park.address(name)
    }

    /// Tells a machine where it stands among the zones.
    pub(crate) fn settle(&self, name: &str, zone: &str, zones: &Arc<Zones>) {
        self.park.settle(name, zone, zones);
    }

    /// Sets a server's fault.
    pub fn set_fault(&self, name: &str, fault: Fault) {
        self.park.set_fault(name, fault);
    }

    /// Sets the speed of tasks that start from now on.
    pub fn set_speed(&self, name: &str, speed: f64) {
        self.park.set_speed(name, speed);
    }

    /// Cuts the open connections of a server, its idle ones too.
    pub fn cut(&self, name: &str) {
        self.park.machine(name).cut();
    }

    /// Returns all starts in the order of time.
    pub fn starts(&self) -> Vec<Start> {
        self.park.starts()
    }

    /// Forgets the starts so far.
    pub fn forget(&self) {
        self.park.forget();
    }

    /// Returns how often the work of this key was started.
    pub fn count(&self, work: &str) -> usize {
        self.park.count(work)
    }

    /// Returns the works that were started more than once, with their counts.
    pub fn doubled(&self) -> Vec<(String, usize)> {
        self.park.doubled()
    }

    /// Returns the starts at one server.
    pub fn started(&self, name: &str) -> usize {
        self.park.started(name)
    }

    /// Returns the starts at all servers, forgotten ones included.
    pub fn total(&self) -> u64 {
        self.park.total()
    }

    /// Returns the most tasks that ran at once on a server.
    pub fn peak(&self, name: &str) -> usize {
        self.park.peak(name)
    }

    /// Returns the tasks that run now on all servers.
    pub fn running(&self) -> usize {
        self.park.running()
    }

    /// Returns the calls that servers refused as busy or leaving.
    pub fn denied(&self) -> u64 {
        self.park.denied()
    }
}
