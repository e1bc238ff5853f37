//! A step with `MaxPerServer` 1 while some workers of its zone are down.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::client::{self, Job};
use crate::deployment::{Deployment, TASK_CPU};
use crate::record::Record;
use crate::worker::figure;

/// Workers of each zone.
const WORKERS: usize = 8;
/// Workers that crash, of 16: within the share of 0.14 that the site's sheet names.
const CRASHED: [&str; 2] = ["a-w1", "a-w2"];
/// How long they are down, as on the site's sheet.
const DOWN_MS: u64 = 4_500;

pub fn play(record: &Record, trouble: bool) -> Result<Vec<String>, String> {
    let deployment = Deployment::start(record, &["a", "b"], WORKERS, (2, "0.25"), |_, started| {
        let max = figure(started.spec, "max");
        let mut parts = started.task.split('.');
        let (job, step) = (parts.next().unwrap_or_default(), parts.nth(1).unwrap_or_default());
        let runs = started.worker.runs.values();
        let together = runs.filter(|run| run.job == job && run.step == step).count() as u64;
        if max > 0 && together > max {
            let id = &started.worker.id;
            return vec![format!(
                "ROUTE: {together} tasks of step {step} of {job} run on {id}, MaxPerServer is {max}"
            )];
        }
        Vec::new()
    })?;
    let workers = &deployment.workers;
    if trouble {
        CRASHED.iter().for_each(|id| workers.crash(id));
    }
    thread::sleep(Duration::from_millis(1_200));
    let front = deployment.hosts[0].frontend;
    for number in 0..3 {
        // As many tasks as the zone has workers, one on each.
        let job = Job::new(&format!("{:016x}", 0xbbbb_0000u64 + number), 600).step(json!({
            "Count": WORKERS, "Cpu": TASK_CPU, "MemoryRequestMb": 64, "EstimatedMs": 600,
            "MaxPerServer": 1,
        }));
        client::submit(record, front, &job);
    }
    thread::sleep(Duration::from_millis(DOWN_MS).saturating_sub(Duration::from_millis(3_200)));
    if trouble {
        CRASHED.iter().for_each(|id| workers.restart(id));
    }
    Ok(workers.breaches())
}
