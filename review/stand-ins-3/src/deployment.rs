//! A small deployment: the platform's stand-ins and entry hosts.

use std::path::PathBuf;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use std::{env, fs, process};

use serde_json::{Value, json};

use crate::host::Host;
use crate::http::{receive, send};
use crate::record::Record;
use crate::store::Store;
use crate::workers::Workers;

/// Longest wait for the deployment to serve, in seconds.
const START_S: u64 = 20;
/// Time for the deployment to settle once it serves, in milliseconds.
const SETTLE_MS: u64 = 1_500;

/// A small deployment.
pub struct Deployment {
    pub record: Arc<Record>,
    pub store: Store,
    pub workers: Workers,
    pub hosts: Vec<Host>,
    mechanisms: Vec<&'static str>,
    root: PathBuf,
    dir: PathBuf,
}

/// Why a case could not run.
pub struct NotRun(pub String);

impl Deployment {
    /// Starts the stand-ins, without minions and hosts. `mechanisms` replaces those that the
    /// template of the settings enables, unless it is empty.
    pub fn start(record: &str, mechanisms: &[&'static str], timeout_ms: u64) -> Self {
        let record = Arc::new(Record::create(record));
        let store = Store::default();
        let workers = Workers::start(&record, &store);
        let root = env::current_dir().expect("the working directory");
        let dir = env::temp_dir().join(format!("case-3-{}", process::id()));
        fs::create_dir_all(&dir).expect("create a temporary directory");
        let mechanisms = mechanisms.to_vec();
        let it = Self { record, store, workers, hosts: Vec::new(), mechanisms, root, dir };
        it.configure(7, timeout_ms, &["/jobs/"]);
        it
    }

    /// Writes a configuration with a route for each prefix.
    pub fn configure(&self, version: u64, timeout_ms: u64, prefixes: &[&str]) {
        let routes = prefixes.iter().map(|prefix| {
            json!({
                "Name": format!("r{prefix}"), "Host": "jobs.example", "Prefix": prefix,
                "Kind": "unsafe", "TimeoutMs": timeout_ms, "TargetCompletionMs": 60,
                "Priority": 0, "Service": "service", "MaxAttempts": 2, "Stretch": 1.6,
            })
        });
        let config = json!({
            "Version": version,
            "Routes": routes.collect::<Vec<_>>(),
            "Services": [{
                "Name": "service", "HealthPath": "/health", "MaxConnections": 64,
                "Protocol": "h1", "Tls": false, "AdmissionControl": false, "Spare": false,
            }],
            "Limits": {
                "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000,
            },
        });
        self.store.put("op/config", config.to_string().as_bytes());
    }

    /// Starts a host of the deployment.
    pub fn add_host(&mut self, name: &str, zone: &str) -> Result<(), NotRun> {
        let host = self.start_host(name, zone, self.hosts.len())?;
        self.record.write(&format!("host {name} in {zone}: clients at {}", host.http));
        self.hosts.push(host);
        Ok(())
    }

    /// Starts a host that uses the store's port for hosts of this number.
    pub fn start_host(&self, name: &str, zone: &str, number: usize) -> Result<Host, NotRun> {
        let store = self.store.port(number);
        let host = Host::start(&self.root, &self.dir, name, zone, store, &self.mechanisms);
        host.map_err(|error| NotRun(format!("start {name}: {error}")))
    }

    /// Waits until every host has served a job.
    pub fn wait_until_serving(&self) -> Result<(), NotRun> {
        let end = Instant::now() + Duration::from_secs(START_S);
        for (number, host) in self.hosts.iter().enumerate() {
            let mut tries = 0;
            loop {
                let id = format!("aa{number:04x}{tries:010x}");
                tries += 1;
                let answer = self.call(number, &id, 1_500, &job(&[(1, 10, 100)]));
                if answer.is_some_and(|(status, _)| status == 200) {
                    break;
                }
                if Instant::now() > end {
                    return Err(NotRun(format!("{} does not serve", host.name)));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(Duration::from_millis(SETTLE_MS));
        self.record.write("all hosts serve");
        Ok(())
    }

    /// Hands a job in and waits for the response until the client's deadline.
    pub fn call(
        &self,
        host: usize,
        id: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Option<(u16, Value)> {
        self.call_at("/jobs/", host, id, deadline_ms, body)
    }

    /// Hands a job in at a prefix.
    pub fn call_at(
        &self,
        prefix: &str,
        host: usize,
        id: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Option<(u16, Value)> {
        let host = &self.hosts[host];
        self.record.write(&format!("client: POST {prefix}{id} at {}: {body}", host.name));
        let stream = send(host.http, "POST", &format!("{prefix}{id}"), deadline_ms, body);
        let answer = stream.ok().and_then(|stream| receive(&stream, deadline_ms));
        self.record.write(&format!("client: the response to {id}: {answer:?}"));
        answer
    }

    /// Returns the number of the host that owns most pools, by their records in the store.
    pub fn owner(&self) -> Result<usize, NotRun> {
        let records = self.store.list("endivestile/pools/");
        let owner = |value: &[u8]| {
            let value: Value = serde_json::from_slice(value).ok()?;
            Some(value["owner"]["host"].as_str()?.to_owned())
        };
        let owners: Vec<String> = records.iter().filter_map(|(_, value)| owner(value)).collect();
        let owned = |host: &Host| owners.iter().filter(|name| **name == host.name).count();
        let hosts = self.hosts.iter().enumerate().filter(|(_, host)| owned(host) > 0);
        let most = hosts.max_by_key(|(_, host)| owned(host));
        most.map(|(number, _)| number).ok_or_else(|| NotRun("no owner is known".to_owned()))
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Returns the body of a job. Each step is its number of tasks, their length in milliseconds and
/// their processor need; it begins after the one before it.
pub fn job(steps: &[(u64, u64, u64)]) -> String {
    let rows = steps.iter().enumerate().map(|(number, (count, work_ms, cpu))| {
        let mut row = json!({
            "Count": count, "Cpu": cpu, "MemoryRequestMb": 64, "EstimatedMs": work_ms,
        });
        if let Some(before) = number.checked_sub(1) {
            row["After"] = json!([before]);
        }
        row
    });
    let spec = steps.iter().map(|(_, work_ms, cpu)| format!("{work_ms} {cpu}"));
    let spec = spec.collect::<Vec<_>>().join(",");
    json!({"Spec": spec, "BestEffort": true, "Steps": rows.collect::<Vec<_>>()}).to_string()
}
