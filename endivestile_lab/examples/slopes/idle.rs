//! Idle entry hosts.

use std::thread;
use std::time::Duration;

use endivestile_testkit::{Deployment, MachineSpec, Plan, wait_for};

use crate::inventory::{self, Size};
use crate::result::MeasureResult;
use crate::usage::{Usage, built_daemon};

/// Entry hosts of a zone, as in the target.
const ZONE: usize = 8;
/// Seconds in which shards settle.
const SETTLE_S: u64 = 10;

/// What is measured.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of entry hosts.
    #[arg(long, value_delimiter = ',', default_value = "2,4,8,16,24")]
    hosts: Vec<usize>,
    /// Workers in the inventory.
    #[arg(long, default_value_t = 0)]
    workers: usize,
    /// Shards per entry host.
    #[arg(long, default_value_t = 4)]
    shards: usize,
    /// Seconds of a sample.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// Prints one line per number of entry hosts; rates are those of one host.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!("| hosts | RSS MB | core % | frames/s | bytes/s | store calls/s | watches |");
    println!("|---|---|---|---|---|---|---|");
    for &hosts in &args.hosts {
        line(hosts, args)?;
    }
    Ok(())
}

fn line(hosts: usize, args: &Args) -> MeasureResult {
    let shards = (hosts * args.shards) as u32;
    let mut deployment = Deployment::start(plan(hosts, shards), &built_daemon()?)?;
    let size = Size { zones: 0, hosts, workers: args.workers };
    deployment.reconfigure(|config| inventory::add_workers(config, size));
    thread::sleep(Duration::from_secs(SETTLE_S));
    let before = Usage::read(&deployment)?;
    thread::sleep(Duration::from_secs(args.seconds));
    let rates = Usage::read(&deployment)?.since(&before);
    let each = rates.span_s * hosts as f64;
    println!(
        "| {hosts} | {:.1} | {:.2} | {:.1} | {:.0} | {:.2} | {:.0} |",
        rates.rss_kb / 1024.0 / hosts as f64,
        rates.cpu_s / each * 100.0,
        rates.frames / each,
        rates.bytes / each,
        rates.store_calls / each,
        rates.watches / hosts as f64,
    );
    Ok(())
}

/// Makes a plan of zones of [`ZONE`] hosts with four backend servers each.
pub(crate) fn plan(hosts: usize, shards: u32) -> Plan {
    let mut plan = Plan::new().setting("log.level=info").rules(|rules| rules.shards = shards);
    for at in 0..hosts {
        plan = plan.host(&inventory::host_name(at), &inventory::zone_name(at / ZONE), 1);
    }
    for at in 0..hosts.div_ceil(ZONE) * 4 {
        let spec = MachineSpec::new(format!("server-{at}")).slots(64);
        plan = plan.server(spec, &inventory::zone_name(at / 4), &format!("rack-{at}"));
    }
    plan
}

/// Waits until every shard has a home and a witness that holds its table.
pub(crate) fn wait_synced(deployment: &Deployment, shards: usize) -> bool {
    const LIMIT_S: u64 = 60;
    wait_for(LIMIT_S, || count_synced(deployment) >= shards)
}

/// Counts the shards that living homes hold together with a witness.
pub(crate) fn count_synced(deployment: &Deployment) -> usize {
    let homes = deployment.hosts.iter().filter_map(|host| {
        let caller = endivestile_testkit::Caller::new(host.address(), "");
        let status = caller.status().ok()?;
        let shards = status["shards"].as_array()?;
        let whole = |shard: &&serde_json::Value| {
            shard["synced"] == true && shard["role"].as_str().is_some_and(|r| r == "home")
        };
        Some(shards.iter().filter(whole).count())
    });
    homes.sum()
}
