//! A step with `MaxPerServer` whose home zone has lost minions.

use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::Verdict;
use crate::minion::RunLog;
use crate::world::{World, job_id, submit};

/// Minions of the home zone, and tasks of a job: one for each of them.
const HOME: usize = 14;
/// Minions that crash: 0.14 of those of the zone.
const LOST: usize = 2;
const JOBS: u32 = 20;

pub fn run(world: &mut World, trouble: bool) -> std::io::Result<Verdict> {
    for zone in ["z1", "z2"] {
        for number in 1..=HOME {
            let rack = format!("{zone}-r{}", 1 + (number - 1) / 8);
            world.add_minion(&format!("{zone}-m{number}"), zone, "a", &rack)?;
        }
        for number in 1..=2 {
            world.add_host(&format!("{zone}-h{number}"), zone, "0.25")?;
        }
    }
    if !world.wait_ready() {
        return Ok(Verdict::NotRun("hosts are not ready".to_owned()));
    }
    if trouble {
        for minion in &world.minions[..LOST] {
            minion.crash();
        }
        thread::sleep(Duration::from_millis(4_500));
        for minion in &world.minions[..LOST] {
            minion.unregister();
        }
        thread::sleep(Duration::from_millis(1_000));
    }
    let body = json!({
        "Spec": "ms=200", "BestEffort": true,
        "Steps": [{"Count": HOME, "Cpu": 4000, "MemoryRequestMb": 64, "EstimatedMs": 200, "MaxPerServer": 1}],
    });
    let mut done = 0;
    for number in 0..JOBS {
        let address = world.address("z1-h1");
        let answer =
            submit(&world.record, address, "orders", &job_id(1, number), &body, 1_500).join();
        done += u32::from(answer.is_ok_and(|answer| answer.status == Some(200)));
        thread::sleep(Duration::from_millis(300));
    }
    if done == 0 {
        return Ok(Verdict::NotRun("no job was done".to_owned()));
    }
    let most = breaches(world);
    Ok(if most == 0 { Verdict::Held } else { Verdict::Broken })
}

/// Counts the starts of a task on a minion that ran another task of the same step.
fn breaches(world: &World) -> usize {
    let mut by_minion: BTreeMap<(String, String), Vec<RunLog>> = BTreeMap::new();
    for run in world.runs() {
        let step = run.task.rsplit_once('.').map_or(run.task.as_str(), |(step, _)| step).to_owned();
        by_minion.entry((run.minion.clone(), step)).or_default().push(run);
    }
    let mut count = 0;
    for ((minion, step), runs) in by_minion {
        for run in &runs {
            let at = run.start;
            let during = |other: &&RunLog| {
                other.task != run.task
                    && other.start <= at
                    && other.end.is_none_or(|(end, _)| end > at)
            };
            let others: Vec<&str> =
                runs.iter().filter(during).map(|other| other.task.as_str()).collect();
            if !others.is_empty() {
                count += 1;
                world.record.line_at(
                    Instant::now(),
                    &format!(
                        "BROKEN step {step}: {} starts on {minion} beside {others:?}",
                        run.task
                    ),
                );
            }
        }
    }
    count
}
