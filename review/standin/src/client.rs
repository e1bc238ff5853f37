//! Clients, as PROTOCOL.md describes them.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};

use crate::deployment::TASK_CPU;
use crate::http;
use crate::record::Record;

pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";
/// How long clients wait.
const DEADLINE_MS: u64 = 12_000;

/// A job that needn't be stored.
pub struct Job {
    pub id: String,
    spec: String,
    steps: Vec<Value>,
}

impl Job {
    /// Creates a job whose tasks work for some milliseconds each.
    pub fn new(id: &str, work_ms: u64) -> Self {
        Self { id: id.to_owned(), spec: format!("ms={work_ms};cpu={TASK_CPU}"), steps: Vec::new() }
    }

    pub fn step(mut self, step: Value) -> Self {
        if let Some(max) = step["MaxPerServer"].as_u64() {
            self.spec.push_str(&format!(";max={max}"));
        }
        self.steps.push(step);
        self
    }

    fn body(&self) -> String {
        json!({"Spec": self.spec, "Steps": self.steps, "BestEffort": true}).to_string()
    }
}

/// Hands a job in and waits for its end; returns nothing if no answer came.
pub fn submit(record: &Record, host: SocketAddr, job: &Job) -> Option<(u16, String)> {
    let deadline = DEADLINE_MS.to_string();
    let headers = [("Host", HOST), ("X-Deadline-Ms", deadline.as_str())];
    let path = format!("{PREFIX}{}", job.id);
    record.write(&format!("client sends POST {} to {host}: {}", job.id, job.body()));
    let timeout = Duration::from_millis(DEADLINE_MS);
    let answer = http::call(host, "POST", &path, &headers, &job.body(), timeout);
    record.write(&format!("client gets for POST {}: {answer:?}", job.id));
    answer.ok()
}

/// Cancels a job; returns nothing if no answer came.
pub fn cancel(record: &Record, host: SocketAddr, id: &str) -> Option<u16> {
    let headers = [("Host", HOST), ("X-Deadline-Ms", "1500")];
    let path = format!("{PREFIX}{id}");
    record.write(&format!("client sends DELETE {id} to {host}"));
    let answer = http::call(host, "DELETE", &path, &headers, "", Duration::from_millis(1_500));
    record.write(&format!("client gets for DELETE {id}: {answer:?}"));
    answer.ok().map(|(status, _)| status)
}
