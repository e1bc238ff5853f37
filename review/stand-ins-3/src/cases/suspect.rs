//! LIMIT: a task whose minion crashed is started again alone on a minion, and another task is
//! started beside it in the same pass over the queue (`[platform] with = crash-limit, backfill`).

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::sleep_ms;
use crate::deployment::{Deployment, NotRun, job};
use crate::http::{receive, send};

/// Time until a crashed minion is back, in milliseconds.
const DOWN_MS: u64 = 300;
/// How long clients wait for their responses, in milliseconds.
const DEADLINE_MS: u64 = 8_000;
/// Processor need of each task, in thousandths of a core: one of them fits on a minion.
const NEED: u64 = 20_000;

/// Time until the task of the first job has to have started, in milliseconds.
const START_MS: u64 = 3_000;

pub fn run(record: &str, trouble: bool) -> Result<bool, NotRun> {
    let mut it = Deployment::start(record, &["crash-limit", "backfill"], DEADLINE_MS);
    for number in 1..=6 {
        it.workers.add("z1", &format!("m{number}"), 32_000);
    }
    it.add_host("e1", "z1")?;
    it.wait_until_serving()?;
    let http = it.hosts[0].http;
    let record = Arc::clone(&it.record);
    let post = |id: &str, work_ms| {
        let body = job(&[(1, work_ms, NEED)]);
        record.write(&format!("client: POST /jobs/{id} at e1: {body}"));
        send(http, "POST", &format!("/jobs/{id}"), DEADLINE_MS, &body)
    };
    // More work than the minions can do at once, so that a queue forms.
    let mut load = Vec::new();
    for number in 0..12 {
        load.push(post(&format!("ab{number:014x}"), 400 + 13 * number));
    }
    let suspect = "aa0000000000000f";
    let waiting = post(suspect, 900).map_err(|error| NotRun(format!("POST: {error}")))?;
    let end = Instant::now() + Duration::from_millis(START_MS);
    let minion = loop {
        let running = it.workers.running();
        if let Some((_, minion)) = running.iter().find(|(task, _)| task.starts_with(suspect)) {
            break minion.clone();
        }
        if Instant::now() > end {
            return Err(NotRun("the first job did not start".to_owned()));
        }
        sleep_ms(2);
    };
    for number in 12..40 {
        load.push(post(&format!("ab{number:014x}"), 400 + 13 * number));
    }
    sleep_ms(50);
    let workers = it.workers.clone();
    let crash = trouble.then(|| thread::spawn(move || workers.restart(&minion, DOWN_MS, 32_000)));
    let answer = receive(&waiting, DEADLINE_MS);
    it.record.write(&format!("client: the response to {suspect}, the suspected job: {answer:?}"));
    for (number, stream) in load.into_iter().enumerate() {
        let answer = stream.ok().and_then(|stream| receive(&stream, DEADLINE_MS));
        record.write(&format!("client: the response to ab{number:014x}: {answer:?}"));
    }
    if let Some(crash) = crash {
        let _ = crash.join();
    }
    let over = it.workers.starts().iter().filter(|start| start.used > start.capacity).count();
    it.record.write(&format!("starts over the capacity of a minion: {over}"));
    Ok(over == 0)
}
