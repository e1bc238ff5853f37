//! An order to a worker is held up on its way, and the worker crashes and starts again under its
//! id before the order arrives.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{self, Job};
use crate::deployment::{Deployment, TASK_CPU};
use crate::record::Record;
use crate::worker::twice;

/// Tasks of the job; one start of them is held up, a share of 0.05 of the orders. The site's
/// sheet has 0.055.
const TASKS: usize = 20;
/// Work of each task, below the longest of the site's sheet (3,600 ms).
const WORK_MS: u64 = 3_500;
/// How long the start is held up; 2 to 12 s on the bench.
const DELAY_MS: u64 = 2_500;
/// When the worker crashes after the start was sent, and how long it is down; up to 4.5 s on the
/// site's sheet.
const CRASH_MS: u64 = 50;
const DOWN_MS: u64 = 900;
const JOB: &str = "00000000dddd0001";

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let deployment = Deployment::start(record, &["a", "b"], 8, (2, "0.25"), twice)?;
    let workers = &deployment.workers;
    if trouble {
        workers.hold_up_start(JOB, Duration::from_millis(DELAY_MS));
    }
    let (frontend, posting) = (deployment.hosts[0].frontend, record.clone());
    let sent = Instant::now();
    let post = thread::spawn(move || {
        let job = Job::new(JOB, WORK_MS).step(json!({
            "Count": TASKS, "Cpu": TASK_CPU, "MemoryRequestMb": 64, "EstimatedMs": WORK_MS,
        }));
        client::submit(&posting, frontend, &job)
    });
    if trouble {
        let id = loop {
            if let Some(id) = workers.held_up_for() {
                break id;
            }
            if sent.elapsed() > Duration::from_secs(5) {
                return Err("no start was held up".into());
            }
            thread::sleep(Duration::from_millis(2));
        };
        thread::sleep(Duration::from_millis(CRASH_MS));
        workers.crash(&id);
        thread::sleep(Duration::from_millis(DOWN_MS));
        workers.restart(&id);
    }
    let answer = post.join().map_err(|_| "the client failed")?;
    if answer.is_none_or(|(status, _)| status != 200) {
        record.write("the job was not completed");
    }
    let left = Duration::from_millis(DELAY_MS + 1_000).saturating_sub(sent.elapsed());
    thread::sleep(left);
    Ok(workers.breaches())
}
