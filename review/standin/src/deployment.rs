//! A small deployment on loopback: the store, workers in two zones, and entry hosts.

use std::collections::BTreeMap;
use std::env;
use std::fs;
use std::path::PathBuf;
use std::process;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{self, Job};
use crate::host::Host;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{SERVICE, Started, Worker, Workers};

/// `Cpu` of each worker, as in the small deployment's sheet.
pub const WORKER_CPU: u64 = 32_000;
/// `Cpu` of each task, as in the small deployment's sheet.
pub const TASK_CPU: u64 = 14_000;

/// The deployment; its processes end when it is dropped.
pub struct Deployment {
    pub store: Store,
    pub workers: Workers,
    pub hosts: Vec<Host>,
    dir: PathBuf,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        let keep = env::var_os("KEEP").is_some();
        if !keep {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}

impl Deployment {
    /// Starts the deployment and waits until every host completes jobs.
    pub fn start(
        record: &Record,
        zones: &[&str],
        workers_per_zone: usize,
        (hosts_per_zone, cores): (usize, &str),
        check: impl Fn(&BTreeMap<String, Worker>, &Started<'_>) -> Vec<String> + Send + 'static,
    ) -> Result<Self, String> {
        let root = env::current_dir().map_err(|e| e.to_string())?;
        if !root.join("target/release/endivestile").exists() {
            return Err(
                "target/release/endivestile is missing; run in the repository's root".into()
            );
        }
        let dir = env::temp_dir().join(format!("review-{}", process::id()));
        fs::create_dir_all(&dir).map_err(|e| e.to_string())?;
        let store = Store::default();
        let address = store.start();
        let workers = Workers::new(&store, record, check);
        store.put("op/config", &config());
        for zone in zones {
            for n in 1..=workers_per_zone {
                workers.add(zone, &format!("{zone}-w{n}"), WORKER_CPU);
            }
        }
        let mut hosts = Vec::new();
        for zone in zones {
            for n in 1..=hosts_per_zone {
                let name = format!("{zone}-{n}");
                hosts.push(Host::start(&root, &dir, (&name, zone), address, cores));
            }
        }
        let deployment = Self { store, workers, hosts, dir };
        // Traffic starts 10 s after the machines do.
        thread::sleep(Duration::from_secs(10));
        let limit = Instant::now() + Duration::from_secs(20);
        for (number, host) in deployment.hosts.iter().enumerate() {
            loop {
                let job = Job::new(&format!("{:016x}", 0xaaaa_0000usize + number), 100).step(
                    json!({"Count": 2, "Cpu": TASK_CPU, "MemoryRequestMb": 64, "EstimatedMs": 100}),
                );
                if client::submit(record, host.frontend, &job)
                    .is_some_and(|(status, _)| status == 200)
                {
                    break;
                }
                if Instant::now() > limit {
                    return Err(format!("host {} completes no job", host.name));
                }
                thread::sleep(Duration::from_millis(500));
            }
        }
        Ok(deployment)
    }

    /// Returns the host that owns a zone's workers, by the records in the store. Only used to
    /// choose a host that is not concerned; what a host says of itself is not judged.
    pub fn owners(&self, zone: &str) -> Vec<String> {
        let records = self.store.read(&format!("endivestile/pools/{zone}/"));
        let mut owners: Vec<String> = records
            .iter()
            .filter_map(|(_, record)| Some(record["owner"]["host"].as_str()?.to_owned()))
            .collect();
        owners.sort();
        owners.dedup();
        owners
    }
}

/// A configuration with one route, as `op/config` holds it.
fn config() -> serde_json::Value {
    json!({
        "Version": 7,
        "Routes": [{
            "Name": "r-jobs", "Host": client::HOST, "Prefix": client::PREFIX, "Kind": "unsafe",
            "TimeoutMs": 15000, "TargetCompletionMs": 60, "Priority": 0, "Service": SERVICE,
            "MaxAttempts": 2, "Stretch": 1.6,
        }],
        "Services": [{
            "Name": SERVICE, "HealthPath": "/health", "MaxConnections": 64, "Protocol": "h1",
            "Tls": false, "AdmissionControl": false, "Spare": false,
        }],
        "Limits": {
            "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
    })
}
