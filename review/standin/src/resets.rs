//! The connections of one entry host are reset several times within two seconds, those of its
//! clients among them; the clients send their jobs again.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::{self, Job};
use crate::deployment::{Deployment, TASK_CPU};
use crate::record::Record;
use crate::relay::{Relay, TRANSIT_US};
use crate::worker::twice;

/// Hosts of each zone.
const HOSTS: usize = 4;
/// Jobs that are handed in at the host.
const JOBS: u64 = 12;
/// Work of each task, below the longest of the site's sheet (3,600 ms).
const WORK_MS: u64 = 3_500;
/// When the connections are reset for the first time, and the time between two resets.
const FIRST_MS: u64 = 600;
const GAP_MS: u64 = 400;
const RESETS: usize = 5;
/// `ResendMs`.
const RESEND_MS: u64 = 1_300;

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    // Machines of 0.12 cores (0.09 to 0.5 on the site's sheet), so that the zone's workers have two
    // owners.
    let deployment = Deployment::start(record, &["a", "b"], 16, (HOSTS, "0.12"), twice)?;
    // The clients' host owns no workers, and there are two owners at least.
    let limit = Instant::now() + Duration::from_secs(15);
    let owners = loop {
        let owners = deployment.owners("a");
        if (2..HOSTS).contains(&owners.len()) {
            break owners;
        }
        if Instant::now() > limit {
            return Err(format!("owners of zone a: {owners:?}"));
        }
        thread::sleep(Duration::from_millis(200));
    };
    record.write(&format!("owners of zone a: {owners:?}"));
    let in_zone = || deployment.hosts.iter().filter(|host| host.zone == "a");
    let front = in_zone().find(|host| !owners.contains(&host.name)).ok_or("no front")?;
    let second = in_zone().rfind(|host| host.name != front.name).ok_or("no other host")?;
    record.write(&format!("clients use {}, their retries reach {}", front.name, second.name));
    // Two halves of the clients; each is reset once.
    let ways = [Relay::start(front.frontend), Relay::start(front.frontend)];
    let clients: Vec<_> = (1..=JOBS)
        .map(|number| {
            let (first, retry) = (ways[number as usize % 2].address, second.frontend);
            let record = record.clone();
            thread::spawn(move || {
                let job =
                    Job::new(&format!("{:016x}", 0xeeee_0000 + number), WORK_MS).step(json!({
                        "Count": 1, "Cpu": TASK_CPU, "MemoryRequestMb": 64, "EstimatedMs": WORK_MS,
                    }));
                if client::submit(&record, first, &job).is_none() {
                    thread::sleep(Duration::from_millis(RESEND_MS));
                    client::submit(&record, retry, &job);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(FIRST_MS));
    if trouble {
        for round in 0..RESETS {
            let clients = ways.get(round).map_or(0, |way| way.reset(None));
            // All at the same time, as far as the host sees: what it sends now is still on its way.
            thread::sleep(Duration::from_micros(TRANSIT_US / 2));
            let hosts = deployment.hosts.iter().map(|host| host.relay.reset(Some(&front.name)));
            let links: usize = hosts.sum();
            record.write(&format!(
                "reset at {}: {clients} connections of clients, {links} to other hosts",
                front.name
            ));
            thread::sleep(Duration::from_millis(GAP_MS));
        }
    }
    for client in clients {
        let _ = client.join();
    }
    Ok(deployment.workers.breaches())
}
