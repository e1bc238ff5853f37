//! UNASKED: a job is cancelled, the response to its POST is 504, and so its client sends it again.

use std::time::Instant;

use super::sleep_ms;
use crate::deployment::{Deployment, NotRun, job};
use crate::http::{receive, send};

/// Time after the acknowledgement of a cancel until no task may start (`cancel_ms`), in
/// milliseconds.
const CANCEL_MS: u64 = 3_000;
/// Time for a stop (`StopMs`), in milliseconds.
const STOP_MS: u64 = 50;
/// Time after which a client sends a job again (`ResendMs`), in milliseconds.
const RESEND_MS: u64 = 1_300;
/// How long the client waits for the response (`X-Deadline-Ms`), in milliseconds.
const DEADLINE_MS: u64 = 8_000;

pub fn run(record: &str, trouble: bool) -> Result<bool, NotRun> {
    let mut it = Deployment::start(record, &[], DEADLINE_MS);
    it.workers.add("z1", "m1", 32_000);
    it.workers.add("z1", "m2", 32_000);
    for name in ["e1", "e2"] {
        it.add_host(name, "z1")?;
    }
    it.wait_until_serving()?;
    let path = "/jobs/dd00000000000002";
    let body = job(&[(2, 3_400, 8_000)]);
    let post = send(it.hosts[0].http, "POST", path, DEADLINE_MS, &body);
    let post = post.map_err(|error| NotRun(format!("POST: {error}")))?;
    it.record.write(&format!("client: POST {path} at e1: {body}"));
    sleep_ms(300);
    if it.workers.running().is_empty() {
        return Err(NotRun("the job did not start".to_owned()));
    }
    let answer = send(it.hosts[0].http, "DELETE", path, 1_500, "");
    let answer = answer.ok().and_then(|stream| receive(&stream, 1_500));
    let acknowledged = Instant::now();
    it.record.write(&format!("another client: DELETE {path} at e1: {answer:?}"));
    let Some((200..=299 | 410, _)) = answer else {
        return Err(NotRun("the cancel was not acknowledged".to_owned()));
    };
    let response = receive(&post, DEADLINE_MS);
    it.record.write(&format!("client: the response to the POST: {response:?}"));
    let asks_again = response.is_none_or(|(status, _)| matches!(status, 502 | 504));
    let mut again = None;
    if trouble && asks_again {
        sleep_ms(RESEND_MS);
        again = send(it.hosts[1].http, "POST", path, DEADLINE_MS, &body).ok();
        it.record.write(&format!("client: the same POST at e2, ResendMs later: {body}"));
    }
    let end_ms = CANCEL_MS + STOP_MS;
    sleep_ms(end_ms.saturating_sub(acknowledged.elapsed().as_millis() as u64) + 1);
    let running = it.workers.running();
    it.record.write(&format!("cancel_ms + StopMs after the cancel these tasks run: {running:?}"));
    let response = again.and_then(|stream| receive(&stream, DEADLINE_MS));
    it.record.write(&format!("client: the response to the second POST: {response:?}"));
    Ok(running.is_empty())
}
