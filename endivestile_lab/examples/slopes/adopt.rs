//! Time to adopt a configuration.

use std::time::Instant;

use endivestile_testkit::{Deployment, wait_for};

use crate::idle::plan;
use crate::inventory::{self, Size};
use crate::result::{MeasureResult, median};
use crate::usage::{Usage, built_daemon};

/// Configurations written per line.
const ROUNDS: u32 = 5;
/// Seconds in which a configuration has to be in force.
const LIMIT_S: u64 = 30;

/// What is measured.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of entry hosts.
    #[arg(long, value_delimiter = ',', default_value = "2,8,16")]
    hosts: Vec<usize>,
    /// Numbers of workers in the inventory.
    #[arg(long, value_delimiter = ',', default_value = "0,1000,4400,6800")]
    workers: Vec<usize>,
}

/// Prints one line per number of hosts and size.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!(
        "| hosts | workers | bytes | adopted by all, ms | core ms per host | RSS MB per host |"
    );
    println!("|---|---|---|---|---|---|");
    for &hosts in &args.hosts {
        let mut deployment = Deployment::start(plan(hosts, 64), &built_daemon()?)?;
        for &workers in &args.workers {
            line(&mut deployment, Size { zones: 0, hosts, workers })?;
        }
    }
    Ok(())
}

fn line(deployment: &mut Deployment, size: Size) -> MeasureResult {
    let mut times = Vec::new();
    write(deployment, size, 0)?;
    let before = Usage::read(deployment)?;
    for round in 1..=ROUNDS {
        times.push(write(deployment, size, round)?);
    }
    let used = Usage::read(deployment)?.since(&before);
    let per_host = used.cpu_s * 1e3 / f64::from(ROUNDS) / size.hosts as f64;
    println!(
        "| {} | {} | {} | {:.0} | {per_host:.1} | {:.1} |",
        size.hosts,
        size.workers,
        deployment.config().canonical().len(),
        median(times),
        used.rss_kb / 1024.0 / size.hosts as f64,
    );
    Ok(())
}

/// Writes one more revision; returns the milliseconds until all hosts have logged it.
fn write(deployment: &mut Deployment, size: Size, round: u32) -> MeasureResult<f64> {
    let began = Instant::now();
    let revision = deployment.reconfigure(|config| {
        inventory::add_workers(config, size);
        config.rules.price_us = 200 + u64::from(round);
    });
    let line = format!("event=config_adopted revision={revision}");
    let adopted = || {
        let logged = |log: Vec<String>| log.iter().any(|entry| entry.ends_with(&line));
        deployment.hosts.iter().all(|host| logged(host.log()))
    };
    if wait_for(LIMIT_S, adopted) {
        Ok(began.elapsed().as_secs_f64() * 1e3)
    } else {
        Err(format!("revision {revision} was not adopted").into())
    }
}
