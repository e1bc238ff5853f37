//! What callers send, and how they send it again.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::connection::{Attempt, Connection};
use crate::lock::lock;
use crate::platform::PlatformHost;

/// How long callers wait for an answer.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_500);
/// How much later than its deadline an answer may come before a caller gives up.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_millis(800);
/// Time after which a caller without an answer sends its job again.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);

fn body(tasks: usize, ms: u64) -> String {
    let step = serde_json::json!({
        "Count": tasks, "Cpu": 14_000, "MemoryRequestMb": 64, "EstimatedMs": ms,
    });
    serde_json::json!({"Spec": ms.to_string(), "Steps": [step], "BestEffort": true}).to_string()
}

fn told_completed(body: &str) -> bool {
    body.contains("completed")
}

/// Sends a job on a connection of its own.
pub(crate) fn send_once(
    host: &Arc<Mutex<PlatformHost>>,
    at: usize,
    id: &str,
    tasks: usize,
    ms: u64,
) -> Option<Attempt> {
    let address = lock(host).http_address()?;
    let mut line = Connection::open(address, DEADLINE).ok()?;
    let begun = Instant::now();
    let answer = line.send(id, &body(tasks, ms), DEADLINE, DEADLINE + ANSWER_GRACE).ok();
    Some(Attempt {
        id: id.to_owned(),
        tasks,
        status: answer.as_ref().map(|(status, _)| *status),
        completed: answer.is_some_and(|(status, body)| status == 200 && told_completed(&body)),
        begun,
        ended: Instant::now(),
        host: at,
    })
}

/// Sends one job after the other until the faults are over, and each again, to
/// another host, when no answer came.
pub(crate) fn run_caller(
    hosts: &[Arc<Mutex<PlatformHost>>],
    seed: u64,
    over: &AtomicBool,
    serial: &AtomicU64,
) -> Vec<Attempt> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut line: Option<Connection> = None;
    let mut sendings = Vec::new();
    while !over.load(Ordering::Relaxed) {
        let id = format!("{:016x}", serial.fetch_add(1, Ordering::Relaxed));
        let (tasks, ms) = (rng.random_range(1..6), rng.random_range(5..300));
        for _ in 0..2 {
            let at = rng.random_range(0..hosts.len());
            let sending = send_kept(hosts, at, &mut line, &id, tasks, ms);
            let answered = sending.status.is_some_and(|status| status != 502 && status != 504);
            sendings.push(sending);
            if answered {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        thread::sleep(Duration::from_millis(rng.random_range(5..60)));
    }
    sendings
}

/// Sends a job on the kept connection if that is still open.
fn send_kept(
    hosts: &[Arc<Mutex<PlatformHost>>],
    at: usize,
    kept: &mut Option<Connection>,
    id: &str,
    tasks: usize,
    ms: u64,
) -> Attempt {
    let begun = Instant::now();
    let none = Attempt {
        id: id.to_owned(),
        tasks,
        status: None,
        completed: false,
        begun,
        ended: begun,
        host: at,
    };
    let Some(address) = lock(&hosts[at]).http_address() else { return none };
    let line = kept.take().filter(|line| line.is_to(address));
    let line = line.or_else(|| Connection::open(address, DEADLINE).ok());
    let Some(mut line) = line else { return none };
    match line.send(id, &body(tasks, ms), DEADLINE, DEADLINE + ANSWER_GRACE) {
        Ok((status, body)) => {
            *kept = Some(line);
            let completed = status == 200 && told_completed(&body);
            Attempt { status: Some(status), completed, ended: Instant::now(), ..none }
        }
        Err(_) => Attempt { ended: Instant::now(), ..none },
    }
}
