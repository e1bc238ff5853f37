//! Processor time of one kernel.

use std::time::{Duration, Instant};

use endivestile_config::{check, parse};
use endivestile_kernel::{SubmissionId, Time};

use crate::inventory::{self, Size};
use crate::outcome::{Outcome, median};
use crate::pair::Pair;
use crate::rig::{Rig, WALL_S};

/// Requests of a sample.
const REQUESTS: u32 = 5_000;
/// Samples of which the median is printed.
const SAMPLES: usize = 5;
/// Requests under way.
const OPEN: usize = 200;
/// Zones of the target.
const ZONES: usize = 26;

/// Prints the tables of a task, of a change of the view and of a configuration.
pub(crate) fn measure() -> Outcome {
    requests();
    kinds();
    changes()
}

fn requests() {
    println!(
        "| hosts | heard | workers | request without id, us | of this frames and deadline, us |"
    );
    println!("|---|---|---|---|---|");
    for (zones, hosts, heard) in [(1, 1, 0), (ZONES, 208, 7), (ZONES, 208, 207)] {
        for workers in [50, 500, 4_400] {
            let mut rig = start(Size { zones, hosts, workers });
            let mates = (1..hosts).filter(|at| heard == 207 || at % zones == 0);
            mates.for_each(|at| rig.hear(at, 0));
            // A share may be smaller than the requests that would be under way.
            for _ in 0..OPEN {
                rig.submit(None, 1);
            }
            rig.flushing = Duration::ZERO;
            let times = (0..SAMPLES).map(|_| request_us(&mut rig)).collect();
            let requests = f64::from(REQUESTS) * SAMPLES as f64;
            let flushing = rig.flushing.as_secs_f64() * 1e6 / requests;
            let us = median(times);
            println!("| {hosts} | {heard} | {workers} | {us:.1} | {flushing:.1} |");
        }
    }
}

/// Starts host 0 of a deployment in which all hosts are registered.
fn start(size: Size) -> Rig {
    let mut rig = Rig::new(0, size.zones);
    rig.configure(&inventory::config(size));
    (1..size.hosts).for_each(|at| rig.register(at, size.zones, false));
    rig
}

fn request_us(rig: &mut Rig) -> f64 {
    rig.spent = Duration::ZERO;
    for _ in 0..REQUESTS {
        rig.now = rig.now.after_us(2);
        rig.submit(None, 1);
        rig.end();
        rig.rest.clear();
    }
    rig.spent.as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

fn kinds() {
    println!();
    println!("| 2 hosts, 50 workers | both kernels, us per task | frames per task |");
    println!("|---|---|---|");
    for tasks in [1, 20, 200] {
        let mut pair = Pair::new(50);
        let mut serial = 0;
        let mut frames = 0;
        let times = (0..SAMPLES).map(|_| {
            frames = pair.rigs.iter().map(|rig| rig.frames).sum();
            let us = dated_us(&mut pair, tasks, &mut serial);
            frames = pair.rigs.iter().map(|rig| rig.frames).sum::<u64>() - frames;
            us
        });
        let us = median(times.collect());
        let each = frames as f64 / f64::from(REQUESTS);
        println!("| caller's id, {tasks} tasks | {us:.1} | {each:.3} |");
    }
}

fn dated_us(pair: &mut Pair, tasks: usize, serial: &mut u64) -> f64 {
    pair.rigs.iter_mut().for_each(|rig| rig.spent = Duration::ZERO);
    for _ in 0..REQUESTS as usize / tasks {
        *serial += 1;
        let now = pair.rigs[0].now.after_us(10);
        pair.tick(now);
        pair.rigs[0].submit(SubmissionId::parse(&format!("{WALL_S}:key-{serial}")).ok(), tasks);
        pair.settle();
        while pair.rigs[0].end() || pair.rigs[1].end() {
            pair.settle();
        }
    }
    let spent: Duration = pair.rigs.iter().map(|rig| rig.spent).sum();
    spent.as_secs_f64() * 1e6 / f64::from(REQUESTS)
}

fn changes() -> Outcome {
    println!();
    println!("| hosts | workers | bytes | check, ms | adopt, ms | host leaves, ms | tick, us |");
    println!("|---|---|---|---|---|---|---|");
    for (hosts, workers) in [(8, 50), (52, 1_000), (208, 1_000), (208, 4_400)] {
        let size = Size { zones: ZONES.min(hosts), hosts, workers };
        let mut config = inventory::config(size);
        let mut rig = start(size);
        let text = config.canonical();
        let checked: Result<Vec<f64>, _> = (0..SAMPLES).map(|_| check_ms(&text)).collect();
        let check_ms = median(checked?);
        let adopt_ms = median((0..SAMPLES).map(|_| adopt_ms(&mut rig, &mut config)).collect());
        let leaves = |n| timed(&mut rig, |rig| rig.register(hosts - 1, size.zones, n % 2 == 0));
        let leave_ms = median((0..SAMPLES).map(leaves).collect());
        let ticks = (0..20).map(|n| {
            rig.now = Time::ZERO.after_ms(500 * (n + 1));
            timed(&mut rig, |rig| rig.event(endivestile_kernel::Event::Tick)) * 1e3
        });
        let tick_us = median(ticks.collect());
        let bytes = text.len();
        println!(
            "| {hosts} | {workers} | {bytes} | {check_ms:.1} | {adopt_ms:.1} | {leave_ms:.2} | \
             {tick_us:.0} |"
        );
    }
    Ok(())
}

/// Returns the milliseconds to parse and check a text.
fn check_ms(text: &str) -> Outcome<f64> {
    let began = Instant::now();
    let config = parse(text, "slopes")?;
    check(&config).map_err(|errors| format!("{errors:?}"))?;
    Ok(began.elapsed().as_secs_f64() * 1e3)
}

fn adopt_ms(rig: &mut Rig, config: &mut endivestile_config::model::Config) -> f64 {
    config.revision += 1;
    config.rules.price_us += 1;
    timed(rig, |rig| rig.configure(config))
}

/// Returns the milliseconds that the kernel takes for what `act` does.
fn timed(rig: &mut Rig, act: impl FnOnce(&mut Rig)) -> f64 {
    rig.spent = Duration::ZERO;
    act(rig);
    rig.spent.as_secs_f64() * 1e3
}
