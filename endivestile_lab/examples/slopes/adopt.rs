//! Time until all hosts have adopted a configuration.

use std::time::Instant;

use endivestile_testkit::{Deployment, wait_for};

use crate::idle::plan;
use crate::inventory::{self, Size};
use crate::result::{MeasureResult, median};
use crate::usage::{Usage, built_daemon};

/// Configurations written for each row.
const ROUNDS: u32 = 5;
/// Timeout for all hosts to adopt a configuration, in seconds.
const TIMEOUT_S: u64 = 30;

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of entry hosts, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "2,8,16")]
    hosts: Vec<usize>,
    /// Numbers of workers in the inventory, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "0,1000,4400,6800")]
    workers: Vec<usize>,
}

/// Prints one row for each number of hosts and workers.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!(
        "| hosts | workers | bytes | adopted by all, ms | core ms per host | RSS MB per host |"
    );
    println!("|---|---|---|---|---|---|");
    for &hosts in &args.hosts {
        let mut deployment = Deployment::start(plan(hosts, 64), &built_daemon()?)?;
        for &workers in &args.workers {
            measure_row(&mut deployment, Size { zones: 0, hosts, workers })?;
        }
    }
    Ok(())
}

/// Measures and prints one row.
fn measure_row(deployment: &mut Deployment, size: Size) -> MeasureResult {
    let mut times_ms = Vec::new();
    write_revision(deployment, size, 0)?;
    let before = Usage::read(deployment)?;
    for round in 1..=ROUNDS {
        times_ms.push(write_revision(deployment, size, round)?);
    }
    let used = Usage::read(deployment)?.since(&before);
    let core_ms = used.cpu_s * 1e3 / f64::from(ROUNDS) / size.hosts as f64;
    println!(
        "| {} | {} | {} | {:.0} | {core_ms:.1} | {:.1} |",
        size.hosts,
        size.workers,
        deployment.config().canonical().len(),
        median(times_ms),
        used.rss_kb / 1024.0 / size.hosts as f64,
    );
    Ok(())
}

/// Writes a new revision; returns the milliseconds until all hosts have logged its adoption.
fn write_revision(deployment: &mut Deployment, size: Size, round: u32) -> MeasureResult<f64> {
    let started = Instant::now();
    let revision = deployment.reconfigure(|config| {
        inventory::add_workers(config, size);
        config.rules.price_us = 200 + u64::from(round);
    });
    let entry_end = format!("event=config_adopted revision={revision}");
    let adopted = || {
        let logged = |log: Vec<String>| log.iter().any(|entry| entry.ends_with(&entry_end));
        deployment.hosts.iter().all(|host| logged(host.log()))
    };
    if wait_for(TIMEOUT_S, adopted) {
        Ok(started.elapsed().as_secs_f64() * 1e3)
    } else {
        Err(format!("revision {revision} was not adopted by all hosts").into())
    }
}
