//! UNASKED: a client moves to another zone and cancels its job from there.

use std::time::{Duration, Instant};

use super::sleep_ms;
use crate::deployment::{Deployment, NotRun, job};
use crate::http::{receive, send};

/// Time after the acknowledgement of a cancel until no task may start (`cancel_ms`), in
/// milliseconds.
const CANCEL_MS: u64 = 3_000;
/// Time for a stop (`StopMs`), in milliseconds.
const STOP_MS: u64 = 50;
/// How long the client waits for the response (`X-Deadline-Ms`), in milliseconds.
const DEADLINE_MS: u64 = 8_000;

pub fn run(record: &str, trouble: bool) -> Result<bool, NotRun> {
    let mut it = Deployment::start(record, &[], DEADLINE_MS);
    for zone in ["z1", "z2"] {
        for number in 1..=2 {
            it.workers.add(zone, &format!("{zone}-m{number}"), 32_000);
        }
    }
    for (name, zone) in [("e1", "z1"), ("e2", "z1"), ("e3", "z2"), ("e4", "z2")] {
        it.add_host(name, zone)?;
    }
    it.wait_until_serving()?;
    let path = "/jobs/dd00000000000001";
    let body = job(&[(1, 3_400, 8_000), (2, 400, 8_000)]);
    let post = send(it.hosts[0].http, "POST", path, DEADLINE_MS, &body);
    let post = post.map_err(|error| NotRun(format!("POST: {error}")))?;
    it.record.write(&format!("client in z1: POST {path} at e1: {body}"));
    sleep_ms(300);
    if it.workers.running().is_empty() {
        return Err(NotRun("the job did not start".to_owned()));
    }
    let host = if trouble { 2 } else { 0 };
    let name = &it.hosts[host].name;
    if trouble {
        it.record.write("the client moves to z2; its open connection stays with e1");
    }
    let answer = send(it.hosts[host].http, "DELETE", path, 1_500, "");
    let answer = answer.ok().and_then(|stream| receive(&stream, 1_500));
    let acknowledged = Instant::now();
    it.record.write(&format!("the client: DELETE {path} at {name}: {answer:?}"));
    let Some((200..=299 | 410, _)) = answer else {
        return Err(NotRun("the cancel was not acknowledged".to_owned()));
    };
    sleep_ms(CANCEL_MS + STOP_MS);
    let running = it.workers.running();
    it.record.write(&format!("cancel_ms + StopMs later these tasks run: {running:?}"));
    let response = receive(&post, DEADLINE_MS - CANCEL_MS);
    it.record.write(&format!("the response to the POST: {response:?}"));
    let limit = acknowledged + Duration::from_millis(CANCEL_MS);
    let late = it.workers.starts().into_iter().filter(|start| start.at > limit).count();
    it.record.write(&format!("starts later than cancel_ms after the acknowledgement: {late}"));
    Ok(late == 0 && running.is_empty())
}
