//! The machines of one stand-in and the thread that serves them.

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
    end: Option<oneshot::Sender<()>>,
    thread: Option<JoinHandle<()>>,
}

impl MachineSet {
    /// Starts the machines, each on an ephemeral port.
    ///
    /// # Errors
    /// Those of the listeners and the thread.
    pub(crate) fn start(specs: Vec<MachineSpec>) -> io::Result<Self> {
        let birth = Instant::now();
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
        let (end, ended) = oneshot::channel();
        let thread = thread::Builder::new().name("machines".into()).spawn(move || {
            // Machines that can't be served show at callers as closed ports.
            if let Err(err) = serve(ports, birth, ended) {
                eprintln!("event=machines_failed error={err:?}");
            }
        })?;
        Ok(Self { machines, end: Some(end), thread: Some(thread) })
    }

    /// Returns the names of the machines.
    pub(crate) fn names(&self) -> Vec<&str> {
        self.machines.keys().map(String::as_str).collect()
    }

    /// Returns the address of a machine.
    pub(crate) fn address(&self, name: &str) -> SocketAddr {
        self.machine(name).address
    }

    /// Returns a machine.
    pub(crate) fn machine(&self, name: &str) -> &Machine {
        match self.machines.get(name) {
            Some(machine) => machine,
            None => panic!("no machine {name}, there are {:?}", self.names()),
        }
    }

    /// Tells a machine where it stands among the zones.
    pub(crate) fn set_zone(&self, name: &str, zone: &str, zones: &Arc<Topology>) {
        // Told once, by the deployment that owns the zones.
        let _ = self.machine(name).site.set((zone.to_owned(), Arc::clone(zones)));
    }

    /// Sets a fault.
    pub(crate) fn set_fault(&self, name: &str, fault: MachineFault) {
        self.machine(name).set_fault(fault);
    }

    /// Sets the speed of tasks that start from now on.
    pub(crate) fn set_speed(&self, name: &str, speed: f64) {
        lock(&self.machine(name).state).speed = speed;
    }

    /// Returns all starts in the order of time.
    pub(crate) fn starts(&self) -> Vec<TaskStart> {
        let each = self.machines.values().map(|machine| lock(&machine.state).starts.clone());
        let mut starts: Vec<TaskStart> = each.flatten().collect();
        starts.sort_by_key(|start| start.at_us);
        starts
    }

    /// Forgets the starts so far.
    pub(crate) fn clear_starts(&self) {
        for machine in self.machines.values() {
            lock(&machine.state).starts.clear();
        }
    }

    /// Returns how often the work of this key was started.
    pub(crate) fn starts_of(&self, work: &str) -> usize {
        let each = self.machines.values().map(|machine| {
            lock(&machine.state).starts.iter().filter(|start| start.work == work).count()
        });
        each.sum()
    }

    /// Returns the works that were started more than once, with their counts.
    pub(crate) fn duplicate_starts(&self) -> Vec<(String, usize)> {
        repeated(self.starts().iter().map(|start| start.work.as_str()))
    }

    /// Returns the starts of one machine.
    pub(crate) fn starts_at(&self, name: &str) -> usize {
        lock(&self.machine(name).state).starts.len()
    }

    /// Returns the starts at all machines, forgotten ones included.
    pub(crate) fn total_starts(&self) -> u64 {
        self.machines.values().map(|machine| lock(&machine.state).total).sum()
    }

    /// Returns the most tasks that ran at once on a machine.
    pub(crate) fn peak_running(&self, name: &str) -> usize {
        lock(&self.machine(name).state).peak
    }

    /// Returns the tasks that run now on all machines.
    pub(crate) fn running(&self) -> usize {
        self.machines.values().map(|machine| lock(&machine.state).tasks.len()).sum()
    }

    /// Returns the calls refused as busy or leaving on all machines.
    pub(crate) fn rejections(&self) -> u64 {
        self.machines.values().map(|machine| lock(&machine.state).denied).sum()
    }
}

impl Drop for MachineSet {
    fn drop(&mut self) {
        if let Some(end) = self.end.take() {
            // A thread that has failed already needs no sign.
            let _ = end.send(());
        }
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has already been printed.
            let _ = thread.join();
        }
    }
}

fn serve(
    ports: Vec<(Arc<Machine>, TcpListener)>,
    birth: Instant,
    ended: oneshot::Receiver<()>,
) -> io::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async move {
        for (machine, listener) in ports {
            let listener = tokio::net::TcpListener::from_std(listener)?;
            tokio::spawn(connection::serve(machine, listener, birth));
        }
        // Both the sign and a dropped sender mean the end.
        let _ = ended.await;
        Ok(())
    })
}
