//! A minion crashes and starts again under its id as another kind, while the store turns the
//! host away that gives it orders.

use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::world::{World, job_id, submit};

/// Time for which the store turns the host away.
const REFUSED: Duration = Duration::from_secs(9);
/// Time for which the minion is down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Label that the jobs require.
const LABEL: &str = "b";
/// The minion that crashes: one of seven.
const CRASHING: usize = 5;

pub fn run(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    for number in 1..=7 {
        let kind = if number <= 4 { "a" } else { LABEL };
        world.add_minion(&format!("m{number}"), "z1", kind, "z1-r1")?;
    }
    for number in 1..=3 {
        world.add_host(&format!("h{number}"), "z1", "0.25")?;
    }
    if !world.wait_ready() {
        return Ok(Verdict::NotRun("hosts are not ready".to_owned()));
    }
    let owners = world.owners();
    let [owner] = owners.as_slice() else {
        return Ok(Verdict::NotRun(format!("owners {owners:?}")));
    };
    let at = world.hosts.iter().position(|host| host.name == *owner).unwrap_or(0);
    let body = json!({
        "Spec": "ms=60", "BestEffort": true,
        "Steps": [{"Count": 4, "Cpu": 14000, "MemoryRequestMb": 64, "EstimatedMs": 60, "RequiredLabel": LABEL}],
    });
    let start = Instant::now();
    let (mut jobs, mut step) = (Vec::new(), 0);
    while start.elapsed() < Duration::from_secs(16) {
        jobs.push(submit(
            &world.record,
            world.hosts[jobs.len() % 3].address,
            "quick",
            &job_id(1, jobs.len() as u32),
            &body,
            1_500,
        ));
        thread::sleep(Duration::from_millis(100));
        if trouble {
            play(world, at, start.elapsed(), &mut step)?;
        }
    }
    let answers = jobs.into_iter().filter_map(|job| job.join().ok());
    if !answers.into_iter().any(|answer| answer.status == Some(200)) {
        return Ok(Verdict::NotRun("no job was done".to_owned()));
    }
    let wrong: Vec<_> = world.runs().into_iter().filter(|run| run.kind != LABEL).collect();
    for run in &wrong {
        world.record.line_at(
            run.start,
            &format!(
                "BROKEN {} requires {LABEL} and starts on {} of kind {}, born {}",
                run.task_label(),
                run.minion,
                run.kind,
                run.born
            ),
        );
    }
    Ok(if wrong.is_empty() { Verdict::Held } else { Verdict::Broken })
}

/// Brings about what is due at this time.
fn play(world: &World, owner: usize, now: Duration, step: &mut u32) -> std::io::Result<()> {
    let crash = Duration::from_secs(3);
    let minion = &world.minions[CRASHING];
    let due = [crash - Duration::from_secs(1), crash, crash + DOWN, crash + REFUSED];
    if due.get(*step as usize).is_none_or(|due| now < *due) {
        return Ok(());
    }
    match *step {
        0 => {
            world.record.line(&format!("the store turns {} away", world.hosts[owner].name));
            world.doors[owner].refuse(true);
        }
        1 => minion.crash(),
        2 => minion.restart("a")?,
        _ => {
            world.record.line(&format!("the store serves {} again", world.hosts[owner].name));
            world.doors[owner].refuse(false);
        }
    }
    *step += 1;
    Ok(())
}
