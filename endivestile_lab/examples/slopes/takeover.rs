//! Takeover of the shards of killed entry hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_kernel::SubmissionId;
use endivestile_testkit::{Caller, Deployment};

use crate::idle::{count_synced, plan, wait_synced};
use crate::result::MeasureResult;
use crate::usage::built_daemon;

/// Pause between two submissions to a shard, in milliseconds.
const RETRY_MS: u64 = 20;
/// Deadline of each submission, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Timeout for all shards to be served again, in seconds.
const TIMEOUT_S: u64 = 60;

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Number of entry hosts.
    #[arg(long, default_value_t = 16)]
    hosts: usize,
    /// Numbers of shards per entry host, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "4,16,64")]
    shards: Vec<usize>,
    /// Numbers of entry hosts killed at the same time, separated by commas.
    #[arg(long, value_delimiter = ',', default_value = "1,4")]
    killed: Vec<usize>,
}

/// Prints one row for each number of shards and of killed hosts.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!(
        "| hosts | killed | their shards | first served, ms | last served, ms | not served | \
         store calls | writes | events |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for &shards in &args.shards {
        for &killed in &args.killed {
            measure_row(args.hosts, shards * args.hosts, killed)?;
        }
    }
    Ok(())
}

/// Measures and prints one row.
fn measure_row(hosts: usize, shards: usize, killed: usize) -> MeasureResult {
    let mut deployment = Deployment::start(plan(hosts, shards as u32), &built_daemon()?)?;
    if !wait_synced(&deployment, shards) {
        return Err(format!("{} of {shards} shards are synced", count_synced(&deployment)).into());
    }
    let mut lost = BTreeSet::new();
    for host in &deployment.hosts[..killed] {
        lost.extend(home_shards(&Caller::new(host.address(), "m1").status()?));
    }
    let survivor = deployment.hosts[hosts - 1].address();
    let callers =
        lost.iter().map(|&shard| connect(survivor, shard)).collect::<MeasureResult<Vec<_>>>()?;
    let before = deployment.store.counts();
    let started = Instant::now();
    for host in &mut deployment.hosts[..killed] {
        host.kill();
    }
    let served_ms = serving_times_ms(&callers, shards as u32, started);
    // Store calls for new witnesses and ended registrations follow the first answers.
    thread::sleep(Duration::from_secs(TIMEOUT_S / 3));
    let after = deployment.store.counts();
    println!(
        "| {hosts} | {killed} | {} | {:.0} | {:.0} | {} | {} | {} | {} |",
        lost.len(),
        served_ms.first().copied().unwrap_or(f64::NAN),
        served_ms.last().copied().unwrap_or(f64::NAN),
        lost.len() - served_ms.len(),
        after.total() - before.total(),
        after.txn - before.txn,
        after.events - before.events,
    );
    Ok(())
}

/// Connects the caller of a shard before the measurement: callers that connect at the same time
/// may wait for a thread for seconds, see `burst`.
fn connect(host: SocketAddr, shard: u32) -> MeasureResult<(u32, Caller)> {
    let caller = Caller::new(host, "m1").deadline_ms(DEADLINE_MS);
    caller.status()?;
    Ok((shard, caller))
}

/// Submits ids of each shard until one is completed; returns the milliseconds from `started`
/// to each shard's first completed submission, sorted.
fn serving_times_ms(callers: &[(u32, Caller)], count: u32, started: Instant) -> Vec<f64> {
    let end = started + Duration::from_secs(TIMEOUT_S);
    let mut served_ms: Vec<f64> = thread::scope(|scope| {
        let run = |(shard, caller): &(u32, Caller)| submit_until_served(caller, *shard, count, end);
        let handles: Vec<_> =
            callers.iter().map(|caller| scope.spawn(move || run(caller))).collect();
        let ends = handles.into_iter().filter_map(|handle| handle.join().ok().flatten());
        ends.map(|at| at.duration_since(started).as_secs_f64() * 1e3).collect()
    });
    served_ms.sort_by(f64::total_cmp);
    served_ms
}

/// Submits ids of a shard until one is completed or `end` has passed; returns when it was
/// completed.
fn submit_until_served(caller: &Caller, shard: u32, count: u32, end: Instant) -> Option<Instant> {
    let mut serial = 0;
    while Instant::now() < end {
        let id = loop {
            serial += 1;
            let id = Caller::own_id(&format!("s{shard}-{serial}"));
            if SubmissionId::parse(&id).ok()?.shard(count) == shard {
                break id;
            }
        };
        if caller.request("orders", Some(&id), "{}").is_ok_and(|reply| reply.status == 200) {
            return Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(RETRY_MS));
    }
    None
}

/// Returns the shards of which a host is home, from its status page.
fn home_shards(status: &serde_json::Value) -> Vec<u32> {
    let shards = status["shards"].as_array().map(Vec::as_slice).unwrap_or_default();
    let homes = shards.iter().filter(|shard| shard["role"] == "home");
    homes.filter_map(|shard| shard["shard"].as_u64().map(|shard| shard as u32)).collect()
}
