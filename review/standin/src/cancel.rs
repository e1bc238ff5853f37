//! A client cancels its job; the connection of the first try is reset.

use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{self, Job};
use crate::deployment::{Deployment, TASK_CPU};
use crate::record::Record;

/// `cancel_ms`.
const CANCEL_MS: u64 = 3_000;
/// Work of each task.
const WORK_MS: u64 = 4_000;
const JOB: &str = "00000000cccc0001";

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let deployment = Deployment::start(record, &["a", "b"], 8, (2, "0.25"), |_, _| Vec::new())?;
    let owners = deployment.owners("a");
    // The client's host; a host that gives no orders, so that the one that does is untouched.
    let own = deployment.hosts.iter().find(|host| host.zone == "a" && !owners.contains(&host.name));
    let own = own.or(deployment.hosts.first()).ok_or("no host")?;
    let other = deployment.hosts.iter().find(|host| host.zone == "a" && host.name != own.name);
    let other = other.ok_or("no other host")?;
    record
        .write(&format!("the client's connections go to {}, retries to {}", own.name, other.name));
    let (frontend, posting) = (own.frontend, record.clone());
    let post = thread::spawn(move || {
        let step = |after: &[u32]| {
            let mut step = json!({
                "Count": 2, "Cpu": TASK_CPU, "MemoryRequestMb": 64, "EstimatedMs": WORK_MS,
            });
            if !after.is_empty() {
                step["After"] = json!(after);
            }
            step
        };
        let job = Job::new(JOB, WORK_MS).step(step(&[])).step(step(&[0]));
        client::submit(&posting, frontend, &job)
    });
    thread::sleep(Duration::from_millis(600));
    if deployment.workers.running(JOB).is_empty() {
        return Err("the job did not start".into());
    }
    // The platform's path to the client's host; a disruption resets the connection.
    let first = if trouble { resetting_relay() } else { frontend };
    let status = match client::cancel(record, first, JOB) {
        Some(status) => status,
        // Retries reach other nodes.
        None => client::cancel(record, other.frontend, JOB).ok_or("no answer to the retry")?,
    };
    let acknowledged = Instant::now();
    if !(200..300).contains(&status) && status != 410 {
        return Err(format!("the cancel was not acknowledged: {status}"));
    }
    let mut known: Vec<(String, String)> = Vec::new();
    while acknowledged.elapsed() < Duration::from_millis(CANCEL_MS + 3_000) {
        let running = deployment.workers.running(JOB);
        let new: Vec<_> = running.iter().filter(|run| !known.contains(run)).cloned().collect();
        let after_ms = acknowledged.elapsed().as_millis() as u64;
        for (task, worker) in new {
            if after_ms > CANCEL_MS && !known.is_empty() {
                deployment.workers.add_breach(format!(
                    "UNASKED: {task} is started on {worker} {after_ms} ms after the cancelling of \
                     its job was acknowledged with {status}"
                ));
            }
            known.push((task, worker));
        }
        thread::sleep(Duration::from_millis(5));
    }
    let _ = post.join();
    Ok(deployment.workers.breaches())
}

/// Accepts a connection, reads some of the request and resets it.
fn resetting_relay() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind a loopback port");
    let address = listener.local_addr().expect("address of a bound socket");
    thread::spawn(move || {
        if let Ok((mut stream, _)) = listener.accept() {
            // Closing a connection with unread bytes resets it.
            let _ = stream.read(&mut [0; 8]);
        }
    });
    address
}
