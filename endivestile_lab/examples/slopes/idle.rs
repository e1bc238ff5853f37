//! Cost of idle entry hosts.

use std::thread;
use std::time::Duration;

use endivestile_testkit::{Deployment, MachineSpec, Plan, wait_for};

use crate::inventory::{self, Size};
use crate::result::MeasureResult;
use crate::usage::{Usage, built_daemon};

/// Entry hosts per zone, as in the target deployment.
const HOSTS_PER_ZONE: usize = 8;
/// Time for hosts to claim their shards before the sample, in seconds.
const CLAIM_WAIT_S: u64 = 10;

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of entry hosts, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "2,4,8,16,24")]
    hosts: Vec<usize>,
    /// Number of workers in the inventory.
    #[arg(long, default_value_t = 0)]
    workers: usize,
    /// Number of shards per entry host.
    #[arg(long, default_value_t = 4)]
    shards: usize,
    /// Length of the sample, in seconds.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
}

/// Prints one row for each number of entry hosts, with averages per host.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!("| hosts | RSS MB | core % | frames/s | bytes/s | store calls/s | watches |");
    println!("|---|---|---|---|---|---|---|");
    for &hosts in &args.hosts {
        measure_row(hosts, args)?;
    }
    Ok(())
}

/// Measures and prints one row.
fn measure_row(hosts: usize, args: &Args) -> MeasureResult {
    let shards = (hosts * args.shards) as u32;
    let mut deployment = Deployment::start(plan(hosts, shards), &built_daemon()?)?;
    let size = Size { zones: 0, hosts, workers: args.workers };
    deployment.reconfigure(|config| inventory::add_workers(config, size));
    thread::sleep(Duration::from_secs(CLAIM_WAIT_S));
    let before = Usage::read(&deployment)?;
    thread::sleep(Duration::from_secs(args.seconds));
    let used = Usage::read(&deployment)?.since(&before);
    let host_s = used.span_s * hosts as f64;
    println!(
        "| {hosts} | {:.1} | {:.2} | {:.1} | {:.0} | {:.2} | {:.0} |",
        used.rss_kb / 1024.0 / hosts as f64,
        used.cpu_s / host_s * 100.0,
        used.frames / host_s,
        used.bytes / host_s,
        used.store_calls / host_s,
        used.watches / hosts as f64,
    );
    Ok(())
}

/// Makes a plan of zones with [`HOSTS_PER_ZONE`] hosts and four backend servers each.
pub(crate) fn plan(hosts: usize, shards: u32) -> Plan {
    let mut plan = Plan::new().setting("log.level=info").rules(|rules| rules.shards = shards);
    for at in 0..hosts {
        plan = plan.host(&inventory::host_name(at), &inventory::zone_name(at / HOSTS_PER_ZONE), 1);
    }
    for at in 0..hosts.div_ceil(HOSTS_PER_ZONE) * 4 {
        let spec = MachineSpec::new(format!("server-{at}")).slots(64);
        plan = plan.server(spec, &inventory::zone_name(at / 4), &format!("rack-{at}"));
    }
    plan
}

/// Waits up to a minute until every shard has a home and a witness that holds its table.
pub(crate) fn wait_synced(deployment: &Deployment, shards: usize) -> bool {
    const TIMEOUT_S: u64 = 60;
    wait_for(TIMEOUT_S, || count_synced(deployment) >= shards)
}

/// Counts the shards of which an answering host is home, and whose table a witness holds.
pub(crate) fn count_synced(deployment: &Deployment) -> usize {
    let homes = deployment.hosts.iter().filter_map(|host| {
        let caller = endivestile_testkit::Caller::new(host.address(), "");
        let status = caller.status().ok()?;
        let shards = status["shards"].as_array()?;
        let is_synced = |shard: &&serde_json::Value| {
            shard["synced"] == true && shard["role"].as_str().is_some_and(|role| role == "home")
        };
        Some(shards.iter().filter(is_synced).count())
    });
    homes.sum()
}
