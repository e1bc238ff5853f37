//! CONFIG: machines are replaced again and again; the registrations of removed ones stay in the
//! store, and each of them makes every host look less often for a new configuration.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::sleep_ms;
use crate::deployment::{Deployment, NotRun, job};

/// Machines that are removed for good, each replaced by one at another address.
const REPLACED: usize = 2_000;
/// Machines that are replaced side by side.
const LANES: usize = 12;
/// Longest time for all replacements, in seconds.
const REPLACE_S: u64 = 70;
/// Time after the acknowledgement from which on a version has to be in force (`ConfigApplyMs`), in
/// milliseconds.
const APPLY_MS: u64 = 2_000;
/// Versions of the configuration. They are written in pairs, the second one as soon as the first one
/// has to be in force.
const VERSIONS: u64 = 8;
/// Pause between two pairs, in milliseconds.
const PAUSE_MS: u64 = 2_900;

pub fn run(record: &str, trouble: bool) -> Result<bool, NotRun> {
    let mut it = Deployment::start(record, &[], 1_500);
    for number in 1..=4 {
        it.workers.add("z1", &format!("m{number}"), 32_000);
    }
    for name in ["e1", "e2", "e3"] {
        it.add_host(name, "z1")?;
    }
    it.wait_until_serving()?;
    if trouble {
        let replaced = replace_machines(&it)?;
        it.record.write(&format!("{replaced} machines were removed for good and replaced"));
    }
    // All disruption is over for longer than StableWindowMs.
    sleep_ms(6_000);
    let mut missing = 0;
    for version in 1..=VERSIONS {
        let prefix = format!("/added{version}/");
        it.configure(100 * version, 1_500, &["/jobs/", &prefix]);
        let acknowledged = Instant::now();
        it.record.write(&format!("version {} adds the route {prefix}", 100 * version));
        sleep_ms(APPLY_MS + 50);
        for host in 0..it.hosts.len() {
            let id = format!("ee{version:06x}{host:08x}");
            let late_ms = acknowledged.elapsed().as_millis();
            let answer = it.call_at(&prefix, host, &id, 1_500, &job(&[(1, 10, 100)]));
            if answer.is_some_and(|(status, _)| status == 404) {
                missing += 1;
                it.record.write(&format!("404, {late_ms} ms after the acknowledgement"));
            }
        }
        if version.is_multiple_of(2) {
            sleep_ms(PAUSE_MS + 170 * version);
        }
    }
    it.record.write(&format!("requests refused with 404 though the route is there: {missing}"));
    Ok(missing == 0)
}

/// Starts machines one after another at new addresses, and removes each for good once it has
/// registered.
fn replace_machines(it: &Deployment) -> Result<usize, NotRun> {
    let (next, failed) = (AtomicUsize::new(0), Mutex::new(None));
    let end = Instant::now() + Duration::from_secs(REPLACE_S);
    thread::scope(|scope| {
        for _ in 0..LANES {
            scope.spawn(|| {
                while next.fetch_add(1, Ordering::Relaxed) < REPLACED && Instant::now() < end {
                    if let Err(NotRun(reason)) = replace_one(it) {
                        *failed.lock().expect("no panic") = Some(reason);
                        return;
                    }
                }
            });
        }
    });
    if let Some(reason) = failed.into_inner().expect("no panic") {
        return Err(NotRun(reason));
    }
    let replaced = it.store.list("endivestile/hosts/").len() - it.hosts.len();
    if replaced < REPLACED * 9 / 10 {
        return Err(NotRun(format!("only {replaced} machines were replaced in {REPLACE_S} s")));
    }
    Ok(replaced)
}

fn replace_one(it: &Deployment) -> Result<(), NotRun> {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!("r{}", NUMBER.fetch_add(1, Ordering::Relaxed));
    let mut host = it.start_host(&name, "z1", it.hosts.len())?;
    let end = Instant::now() + Duration::from_secs(10);
    while it.store.get(&format!("endivestile/hosts/{name}")).is_none() {
        if host.ended().is_some() {
            // Another process has taken a port of it; the next machine takes its place.
            return Ok(());
        }
        if Instant::now() > end {
            return Err(NotRun(format!("{name} did not register")));
        }
        sleep_ms(3);
    }
    host.kill();
    it.record.write(&format!("machine {name} had registered and was removed for good"));
    Ok(())
}
