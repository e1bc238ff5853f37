//! Stand-in for the users' platform: its store and workers, which serve their
//! protocols on loopback sockets.

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

/// State shared by all connections.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) keys: Mutex<Keys>,
    pub(crate) workers: Mutex<WorkerSet>,
}

/// Handle of the stand-in, which runs until the test process ends.
#[derive(Debug)]
pub struct PlatformStandIn {
    shared: Arc<Shared>,
    store: SocketAddr,
}

impl PlatformStandIn {
    /// Starts a store, and the given number of workers with 32 cores each in every zone.
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

    /// Returns the address of the store.
    pub fn store_address(&self) -> SocketAddr {
        self.store
    }

    /// Writes a configuration with a single route, for paths below `/jobs/`.
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

    /// Writes a key as another client of the store would.
    pub fn write(&self, key: &str, value: &[u8]) {
        lock(&self.shared.keys).put(key, value.to_vec());
    }

    /// Starts or ends the evacuation of a zone, as an operator does.
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

    /// Sets whether the store refuses every call.
    pub fn set_refusing(&self, refuse: bool) {
        lock(&self.shared.keys).refusing = refuse;
    }

    /// Sets the number of keys per page of a read.
    pub fn set_page_len(&self, keys: usize) {
        lock(&self.shared.keys).page_len = keys;
    }

    /// Sets which part of the page reads is refused, as by a store whose rate is exceeded: one
    /// of `part`, or none for 0.
    pub fn refuse_page_reads(&self, part: u64) {
        lock(&self.shared.keys).refused_part = part;
    }

    /// Returns the number of page reads of the workers' registrations, refused ones included.
    pub fn worker_page_reads(&self) -> u64 {
        lock(&self.shared.keys).page_reads.get("servers/").copied().unwrap_or(0)
    }

    /// Returns the number of watches of the keys with a prefix, refused ones included.
    pub fn watches(&self, prefix: &str) -> u64 {
        lock(&self.shared.keys).watches.get(prefix).copied().unwrap_or(0)
    }

    /// Sets the fault of a worker.
    pub fn set_fault(&self, worker: &str, fault: WorkerFault) {
        lock(&self.shared.workers).set_fault(worker, fault);
    }

    /// Returns the number of runs started on each worker.
    pub fn starts(&self) -> Vec<(String, u64)> {
        lock(&self.shared.workers).starts()
    }

    /// Returns the number of started runs of a job's tasks.
    pub fn starts_of(&self, id: &str) -> u64 {
        lock(&self.shared.workers).starts_of(id)
    }

    /// Returns the number of a job's tasks that have succeeded.
    pub fn tasks_done(&self, id: &str) -> usize {
        lock(&self.shared.workers).tasks_done(id)
    }

    /// Returns the listen addresses of the workers by name.
    pub fn worker_addresses(&self) -> Vec<(String, SocketAddr)> {
        lock(&self.shared.workers).addresses()
    }

    /// Registers a worker with another address, such as that of a relay.
    pub fn set_address(&self, worker: &str, address: SocketAddr) {
        let zone = worker.split('-').next().unwrap_or_default();
        self.register(zone, worker, address, "ready");
    }

    /// Registers a worker as leaving, or as ready again.
    pub fn set_leaving(&self, worker: &str, leaving: bool) {
        let zone = worker.split('-').next().unwrap_or_default();
        let registered = self.worker_addresses();
        if let Some((_, address)) = registered.iter().find(|(id, _)| id == worker) {
            self.register(zone, worker, *address, if leaving { "draining" } else { "ready" });
        }
    }

    /// Returns the number of runs in progress on all workers.
    pub fn running(&self) -> usize {
        lock(&self.shared.workers).running()
    }

    /// Returns the violations seen by workers: exceeded capacity, or a task with two
    /// runs at the same time.
    pub fn breaches(&self) -> Vec<String> {
        lock(&self.shared.workers).breaches.clone()
    }

    fn add_worker(&self, zone: &str, index: usize) {
        let id = format!("{zone}-w{index}");
        let address = server::listen(&self.shared, Some(id.clone()));
        lock(&self.shared.workers).add(zone, &id, address);
        self.register(zone, &id, address, "ready");
    }

    /// Writes a worker's entry to the store.
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

/// Runs a future on a thread of its own.
pub(crate) fn spawn(future: impl Future<Output = ()> + Send + 'static) {
    thread::spawn(move || {
        let runtime = Builder::new_current_thread().enable_all().build();
        runtime.expect("a single-threaded runtime").block_on(future);
    });
}
