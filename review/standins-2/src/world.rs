//! A small deployment: store, minions, entry hosts and clients.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::hosts::Host;
use crate::http;
use crate::minion::{Kind, Minion, RunLog, RunLogs};
use crate::record::Record;
use crate::store::{Door, Store};

/// Time from the start of the hosts to the first request; the sheets give 10 s.
const LEAD: Duration = Duration::from_secs(8);

pub struct World {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub logs: Arc<RunLogs>,
    pub minions: Vec<Arc<Minion>>,
    pub hosts: Vec<Host>,
    pub doors: Vec<Door>,
    root: PathBuf,
    folder: PathBuf,
    /// Second and third byte of all addresses of this run.
    net: (u8, u8),
}

/// What a client got for one attempt.
#[derive(Clone, Debug)]
pub struct Answer {
    pub ended: Instant,
    /// `None` after a broken connection or no response.
    pub status: Option<u16>,
}

impl World {
    pub fn new(root: &Path, folder: &Path, record: &Path) -> std::io::Result<Self> {
        let record = Arc::new(Record::create(record)?);
        let pid = std::process::id();
        let world = Self {
            record,
            store: Arc::default(),
            logs: Arc::default(),
            minions: Vec::new(),
            hosts: Vec::new(),
            doors: Vec::new(),
            root: root.to_owned(),
            folder: folder.to_owned(),
            net: (16 + (pid % 199) as u8, 4 * (pid / 199 % 60) as u8),
        };
        let route = |name: &str| {
            json!({
                "Name": name, "Host": "orders.example", "Prefix": format!("/{name}/"),
                "Kind": "unsafe", "TimeoutMs": 30000, "TargetCompletionMs": 60, "Priority": 0,
                "Service": "order-desk", "MaxAttempts": 2, "Stretch": 1.6,
            })
        };
        let config = json!({
            "Version": 3,
            "Routes": [route("orders"), route("quick")],
            "Services": [{"Name": "order-desk", "MaxConnections": 64, "AdmissionControl": false}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144,
                "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        });
        world.store.put("op/config", &config);
        Ok(world)
    }

    pub fn add_minion(
        &mut self,
        id: &str,
        zone: &str,
        kind: &str,
        rack: &str,
    ) -> std::io::Result<()> {
        let kind = Kind {
            id: id.to_owned(),
            zone: zone.to_owned(),
            kind: kind.to_owned(),
            rack: rack.to_owned(),
            cpu: 32_000,
        };
        let ip = self.ip(1, 1 + self.minions.len() as u8);
        let minion = Minion::start(kind, ip, &self.store, &self.logs, &self.record)?;
        self.minions.push(minion);
        Ok(())
    }

    pub fn add_host(&mut self, name: &str, zone: &str, cores: &str) -> std::io::Result<()> {
        let number = 1 + self.hosts.len() as u8;
        let door = self.store.open_door(self.ip(3, number))?;
        let ip = self.ip(2, number);
        let host = Host::start(&self.root, &self.folder, name, zone, ip, door.address(), cores)?;
        self.record.line(&format!("host {name} zone={zone} starts at {}", host.address));
        self.hosts.push(host);
        self.doors.push(door);
        Ok(())
    }

    fn ip(&self, group: u8, number: u8) -> [u8; 4] {
        [127, self.net.0, self.net.1 + group, number]
    }

    /// Waits until the hosts are up, as the platform does before traffic starts; returns whether
    /// all of them are ready.
    pub fn wait_ready(&self) -> bool {
        thread::sleep(LEAD);
        let end = Instant::now() + LEAD;
        let mut ready = self.hosts.iter().all(Host::ready);
        while !ready && Instant::now() < end {
            thread::sleep(Duration::from_millis(500));
            ready = self.hosts.iter().all(Host::ready);
        }
        for host in self.hosts.iter().filter(|host| !host.ready()) {
            self.record.line(&format!("host {} is not ready: {}", host.name, host.last_lines()));
        }
        for (key, value) in self.store.list("endivestile/pools/") {
            self.record.line(&format!("pool {key} owner {}", value["owner"]));
        }
        self.record.line(&format!("all hosts ready: {ready}"));
        ready
    }

    /// Returns the names of the hosts that own workers, by the records in the store.
    pub fn owners(&self) -> Vec<String> {
        let records = self.store.list("endivestile/pools/");
        let owner = |value: &Value| value["owner"]["host"].as_str().map(str::to_owned);
        let mut names: Vec<String> = records.iter().filter_map(|(_, value)| owner(value)).collect();
        names.sort();
        names.dedup();
        names
    }

    pub fn host(&mut self, name: &str) -> &mut Host {
        self.hosts.iter_mut().find(|host| host.name == name).expect("a known host")
    }

    /// Returns the runs, with those that are still in progress.
    pub fn runs(&self) -> Vec<RunLog> {
        self.logs.0.lock().unwrap().clone()
    }

    /// Writes all runs to the record.
    pub fn record_runs(&self) {
        for run in self.runs() {
            let (end, how) = match run.end {
                Some((at, how)) => (format!("{:.1}", self.record.ms(at)), how),
                None => ("-".to_owned(), "running"),
            };
            self.record.line_at(
                run.start,
                &format!(
                    "run {} {} on {} kind={} born={} until {end} {how}",
                    run.task_label(),
                    run.run,
                    run.minion,
                    run.kind,
                    run.born
                ),
            );
        }
    }
}

/// Submits a job of a route once; the thread returns what the client got.
pub fn submit(
    record: &Arc<Record>,
    address: SocketAddr,
    route: &str,
    id: &str,
    body: &Value,
    deadline_ms: u64,
) -> JoinHandle<Answer> {
    let (record, id, body) = (Arc::clone(record), id.to_owned(), body.to_string());
    let path = format!("/{route}/{id}");
    thread::spawn(move || {
        record.line(&format!("client sends POST {id} to {address}"));
        let headers = format!("Host: orders.example\r\nX-Deadline-Ms: {deadline_ms}\r\n");
        let limit = Duration::from_millis(deadline_ms);
        let answer = http::call(address, "POST", &path, &headers, &body, limit);
        let ended = Instant::now();
        let (status, body) =
            answer.map_or((None, String::new()), |(status, body)| (Some(status), body));
        record.line(&format!("client got {id} {status:?} {body}"));
        Answer { ended, status }
    })
}

/// Returns an id of 16 hexadecimal digits.
pub fn job_id(series: u32, number: u32) -> String {
    let seed =
        (u64::from(std::process::id()) << 32) ^ (u64::from(series) << 16) ^ u64::from(number);
    format!("{:016x}", seed.wrapping_mul(0x9E37_79B9_7F4A_7C15))
}
