//! A stand-in for the users' platform over real sockets: its store and its
//! workers, speaking their protocol on loopback.

mod host;
mod server;
mod store;
mod workers;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;

use serde_json::json;
use tokio::runtime::Builder;

pub use host::{PlatformHost, PlatformSignal};
pub use workers::WorkerFault;

use crate::lock::lock;
use store::Keys;
use workers::WorkerSet;

/// State that all connections share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) keys: Mutex<Keys>,
    pub(crate) workers: Mutex<WorkerSet>,
}

/// The stand-in; it lives until the test's process ends.
#[derive(Debug)]
pub struct PlatformStandIn {
    shared: Arc<Shared>,
    store: SocketAddr,
}

impl PlatformStandIn {
    /// Starts a store and so many workers, of 32 cores each, in each zone.
    pub fn start(zones: &[&str], workers: usize) -> Self {
        let shared = Arc::new(Shared { keys: Mutex::default(), workers: Mutex::default() });
        let store = server::listen(&shared, None);
        let stand_in = Self { shared, store };
        for zone in zones {
            for index in 1..=workers {
                stand_in.add_worker(zone, index);
            }
        }
        stand_in
    }

    /// Returns the store's address.
    pub fn store_address(&self) -> SocketAddr {
        self.store
    }

    /// Puts a configuration with one route in force: any path below `/jobs/`.
    pub fn configure(&self, version: u64) {
        let config = json!({
            "Version": version,
            "Routes": [{
                "Name": "jobs", "Host": "jobs.example", "Prefix": "/jobs/", "Kind": "unsafe",
                "TimeoutMs": 3000, "TargetCompletionMs": 60, "Priority": 0,
                "Service": "service", "MaxAttempts": 2, "Stretch": 1.6,
            }],
            "Services": [{"Name": "service", "MaxConnections": 64}],
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 4096,
                "HeaderTimeoutMs": 1000, "IdleTimeoutMs": 15000,
            },
        });
        lock(&self.shared.keys).put("op/config", config.to_string().into_bytes());
    }

    /// Writes a key as another writer of the store would.
    pub fn write(&self, key: &str, value: &[u8]) {
        lock(&self.shared.keys).put(key, value.to_vec());
    }

    /// Has a zone evacuated, or takes it back, as an operator does.
    pub fn set_evacuated(&self, zone: &str, evacuated: bool) {
        let key = format!("op/evacuate/{zone}");
        let mut keys = lock(&self.shared.keys);
        if evacuated {
            keys.put(&key, b"{}".to_vec());
        } else {
            keys.delete(&key);
        }
    }

    /// Returns the value of a key.
    pub fn read(&self, key: &str) -> Option<Vec<u8>> {
        lock(&self.shared.keys).get(key)
    }

    /// Turns every call to the store away, or serves them again.
    pub fn set_refusing(&self, refuse: bool) {
        lock(&self.shared.keys).refusing = refuse;
    }

    /// Makes a worker misbehave, or behave again.
    pub fn set_fault(&self, worker: &str, fault: WorkerFault) {
        lock(&self.shared.workers).set_fault(worker, fault);
    }

    /// Returns how many runs each worker has started.
    pub fn starts(&self) -> Vec<(String, u64)> {
        lock(&self.shared.workers).starts()
    }

    /// Returns how many runs of a job's tasks have started.
    pub fn starts_of(&self, id: &str) -> u64 {
        lock(&self.shared.workers).starts_of(id)
    }

    /// Returns how many tasks of a job have ended well.
    pub fn tasks_done(&self, id: &str) -> usize {
        lock(&self.shared.workers).tasks_done(id)
    }

    /// Returns the addresses at which the workers listen.
    pub fn worker_addresses(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.shared.workers).addresses()
    }

    /// Registers a worker anew, at another address by which it can be reached.
    pub fn set_address(&self, worker: &str, address: SocketAddr) {
        let zone = worker.split('-').next().unwrap_or_default();
        self.register(zone, worker, address, "ready");
    }

    /// Registers a worker anew, as one that leaves or that has changed its mind.
    pub fn set_leaving(&self, worker: &str, leaves: bool) {
        let zone = worker.split('-').next().unwrap_or_default();
        let all = self.worker_addresses();
        if let Some((_, address)) = all.iter().find(|(id, _)| id == worker) {
            self.register(zone, worker, *address, if leaves { "draining" } else { "ready" });
        }
    }

    /// Returns how many runs go on at all workers.
    pub fn running(&self) -> usize {
        lock(&self.shared.workers).running()
    }

    /// Returns everything that workers saw broken: room, or a task run twice at once.
    pub fn breaches(&self) -> Vec<String> {
        lock(&self.shared.workers).breaches.clone()
    }

    fn add_worker(&self, zone: &str, index: usize) {
        let id = format!("{zone}-w{index}");
        let address = server::listen(&self.shared, Some(id.clone()));
        lock(&self.shared.workers).add(zone, &id, address);
        self.register(zone, &id, address, "ready");
    }

    fn register(&self, zone: &str, id: &str, address: SocketAddr, state: &str) {
        let entry = json!({
            "Service": "service", "Address": address.to_string(), "Zone": zone,
            "Version": "v1", "Slots": 8, "State": state, "ColdRemainingMs": 0,
            "Capacity": {"Cpu": 32000, "MemoryRequestMb": 65536, "Gpu": 0},
            "Labels": ["a", format!("{zone}-r1")], "ClockMs": 0, "Sequence": 1, "born": 1,
        });
        lock(&self.shared.keys).put(&format!("servers/{id}"), entry.to_string().into_bytes());
    }
}

/// Runs a future on a thread of its own until the process ends.
pub(crate) fn spawn(work: impl Future<Output = ()> + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime of one thread").block_on(work);
    });
}
