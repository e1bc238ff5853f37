//! Callers that submit jobs and retry those without an answer.

use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::connection::{Attempt, Connection};
use crate::lock::lock;
use crate::platform::PlatformHost;

/// Deadline of each job.
pub(crate) const DEADLINE: Duration = Duration::from_millis(2_500);
/// Time after the deadline for which a caller still waits for the answer.
pub(crate) const ANSWER_GRACE: Duration = Duration::from_millis(800);
/// Delay before a job without an answer is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(1_300);

/// Sizes of the jobs that callers submit.
#[derive(Debug, Clone)]
pub(crate) struct JobSizes {
    /// Number of tasks.
    tasks: Range<usize>,
    /// Run time of a task, in milliseconds.
    ms: Range<u64>,
}

/// Jobs that leave workers free now and then.
pub(crate) const SHORT_JOBS: JobSizes = JobSizes { tasks: 1..6, ms: 5..300 };
/// Jobs of which a few callers fill a zone; they last longer than the leases of a run.
pub(crate) const LONG_JOBS: JobSizes = JobSizes { tasks: 2..5, ms: 700..1_500 };

/// Returns the body of a job with `tasks` tasks of `ms` milliseconds each.
fn job_body(tasks: usize, ms: u64) -> String {
    let step = serde_json::json!({
        "Count": tasks, "Cpu": 14_000, "MemoryRequestMb": 64, "EstimatedMs": ms,
    });
    serde_json::json!({"Spec": ms.to_string(), "Steps": [step], "BestEffort": true}).to_string()
}

fn reports_completed(body: &str) -> bool {
    body.contains("completed")
}

/// Sends a job on a new connection. Returns `None` when the host accepts no connection.
pub(crate) fn send_once(
    host: &Arc<Mutex<PlatformHost>>,
    at: usize,
    id: &str,
    tasks: usize,
    ms: u64,
) -> Option<Attempt> {
    let address = lock(host).http_address()?;
    let mut connection = Connection::open(address, DEADLINE).ok()?;
    let started = Instant::now();
    let answer = connection.send(id, &job_body(tasks, ms), DEADLINE, DEADLINE + ANSWER_GRACE).ok();
    Some(Attempt {
        id: id.to_owned(),
        tasks,
        status: answer.as_ref().map(|(status, _)| *status),
        completed: answer.is_some_and(|(status, body)| status == 200 && reports_completed(&body)),
        started,
        ended: Instant::now(),
        host: at,
    })
}

/// Submits one job after the other until `stop` is set. A job without an answer, or
/// answered 502 or 504, is sent once more to a random host.
pub(crate) fn run_caller(
    hosts: &[Arc<Mutex<PlatformHost>>],
    seed: u64,
    sizes: &JobSizes,
    stop: &AtomicBool,
    next_id: &AtomicU64,
) -> Vec<Attempt> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut connection: Option<Connection> = None;
    let mut attempts = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("{:016x}", next_id.fetch_add(1, Ordering::Relaxed));
        let tasks = rng.random_range(sizes.tasks.clone());
        let ms = rng.random_range(sizes.ms.clone());
        for _ in 0..2 {
            let at = rng.random_range(0..hosts.len());
            let attempt = send_reusing(hosts, at, &mut connection, &id, tasks, ms);
            let answered = attempt.status.is_some_and(|status| status != 502 && status != 504);
            attempts.push(attempt);
            if answered {
                break;
            }
            thread::sleep(RETRY_DELAY);
        }
        thread::sleep(Duration::from_millis(rng.random_range(5..60)));
    }
    attempts
}

/// Sends a job on the kept connection if it leads to the host, otherwise on a new one.
fn send_reusing(
    hosts: &[Arc<Mutex<PlatformHost>>],
    at: usize,
    kept: &mut Option<Connection>,
    id: &str,
    tasks: usize,
    ms: u64,
) -> Attempt {
    let started = Instant::now();
    let unanswered = Attempt {
        id: id.to_owned(),
        tasks,
        status: None,
        completed: false,
        started,
        ended: started,
        host: at,
    };
    let Some(address) = lock(&hosts[at]).http_address() else { return unanswered };
    let connection = kept.take().filter(|connection| connection.is_to(address));
    let connection = connection.or_else(|| Connection::open(address, DEADLINE).ok());
    let Some(mut connection) = connection else { return unanswered };
    match connection.send(id, &job_body(tasks, ms), DEADLINE, DEADLINE + ANSWER_GRACE) {
        Ok((status, body)) => {
            *kept = Some(connection);
            let completed = status == 200 && reports_completed(&body);
            Attempt { status: Some(status), completed, ended: Instant::now(), ..unanswered }
        }
        Err(_) => Attempt { ended: Instant::now(), ..unanswered },
    }
}
