//! The machines of a stand-in and the thread that serves them.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Instant;

use tokio::runtime::Builder;
use tokio::sync::oneshot;

use super::start::{TaskStart, repeated};
use super::state::{Machine, MachineSpec};
use super::{MachineFault, connection};
use crate::lock::lock;
use crate::net::Topology;

/// Machines by name, served by one thread.
#[derive(Debug)]
pub(crate) struct MachineSet {
    machines: BTreeMap<String, Arc<Machine>>,
    stop: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl MachineSet {
    /// Starts the machines, each on an ephemeral port.
    ///
    /// # Errors
    /// Returns an error when a listener or the thread cannot be started.
    pub(crate) fn start(specs: Vec<MachineSpec>) -> io::Result<Self> {
        let origin = Instant::now();
        let mut machines = BTreeMap::new();
        let mut ports = Vec::new();
        for (seed, spec) in specs.into_iter().enumerate() {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
            listener.set_nonblocking(true)?;
            let name = spec.name.clone();
            let machine = Arc::new(Machine::new(spec, listener.local_addr()?, seed as u64));
            ports.push((Arc::clone(&machine), listener));
            machines.insert(name, machine);
        }
        let (stop, stopped) = oneshot::channel();
        let thread = thread::Builder::new().name("machines".into()).spawn(move || {
            // Callers see machines that fail to serve as closed ports.
            if let Err(err) = serve(ports, origin, stopped) {
                eprintln!("event=machines_failed error={err:?}");
            }
        })?;
        Ok(Self { machines, stop: Some(stop), thread: Some(thread) })
    }

    /// Returns the names of the machines.
    pub(crate) fn names(&self) -> Vec<&str> {
        self.machines.keys().map(String::as_str).collect()
    }

    /// Returns the address of a machine.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        self.machine(name).address
    }

    /// Returns the machine of the given name.
    pub(crate) fn machine(&self, name: &str) -> &Machine {
        match self.machines.get(name) {
            Some(machine) => machine,
            None => panic!("unknown machine {name}, known are {:?}", self.names()),
        }
    }

    /// Sets the zone of a machine and the topology that contains it.
    pub(crate) fn set_zone(&self, name: &str, zone: &str, topology: &Arc<Topology>) {
        // Set once, by the deployment that owns the topology.
        let _ = self.machine(name).location.set((zone.to_owned(), Arc::clone(topology)));
    }

    /// Sets the fault of a machine.
    pub(crate) fn set_fault(&self, name: &str, fault: MachineFault) {
        self.machine(name).set_fault(fault);
    }

    /// Sets the speed for tasks that start from now on.
    pub(crate) fn set_speed(&self, name: &str, speed: f64) {
        lock(&self.machine(name).state).speed = speed;
    }

    /// Returns all recorded starts, ordered by time.
    pub(crate) fn starts(&self) -> Vec<TaskStart> {
        let per_machine = self.machines.values().map(|machine| lock(&machine.state).starts.clone());
        let mut starts: Vec<TaskStart> = per_machine.flatten().collect();
        starts.sort_by_key(|start| start.at_us);
        starts
    }

    /// Clears the recorded starts.
    pub(crate) fn clear_starts(&self) {
        for machine in self.machines.values() {
            lock(&machine.state).starts.clear();
        }
    }

    /// Returns the number of recorded starts of the work with a key.
    pub(crate) fn starts_of(&self, work: &str) -> usize {
        let per_machine = self.machines.values().map(|machine| {
            lock(&machine.state).starts.iter().filter(|start| start.work == work).count()
        });
        per_machine.sum()
    }

    /// Returns the keys of works that were started more than once, with their counts.
    pub(crate) fn duplicate_starts(&self) -> Vec<(String, usize)> {
        repeated(self.starts().iter().map(|start| start.work.as_str()))
    }

    /// Returns the number of recorded starts on a machine.
    pub(crate) fn starts_at(&self, name: &str) -> usize {
        lock(&self.machine(name).state).starts.len()
    }

    /// Returns the number of starts on all machines, including cleared ones.
    pub(crate) fn total_starts(&self) -> u64 {
        self.machines.values().map(|machine| lock(&machine.state).start_count).sum()
    }

    /// Returns the largest number of tasks that ran on a machine at the same time.
    pub(crate) fn peak_running(&self, name: &str) -> usize {
        lock(&self.machine(name).state).peak_tasks
    }

    /// Returns the number of tasks running on all machines.
    pub(crate) fn running(&self) -> usize {
        self.machines.values().map(|machine| lock(&machine.state).tasks.len()).sum()
    }

    /// Returns the number of calls that all machines rejected as busy or leaving.
    pub(crate) fn rejections(&self) -> u64 {
        self.machines.values().map(|machine| lock(&machine.state).rejected_calls).sum()
    }
}

impl Drop for MachineSet {
    fn drop(&mut self) {
        if let Some(stop) = self.stop.take() {
            // Sending fails when the thread has already ended.
            let _ = stop.send(());
        }
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}

fn serve(
    ports: Vec<(Arc<Machine>, TcpListener)>,
    origin: Instant,
    stopped: oneshot::Receiver<()>,
) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        for (machine, listener) in ports {
            let listener = tokio::net::TcpListener::from_std(listener)?;
            tokio::spawn(connection::serve(machine, listener, origin));
        }
        // Both a message and a dropped sender mean stop.
        let _ = stopped.await;
        Ok(())
    })
}
