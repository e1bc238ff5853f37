//! Take-over of the shards of entry hosts that are killed.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_kernel::SubmissionId;
use endivestile_testkit::{Caller, Deployment};

use crate::idle::{count_synced, plan, wait_synced};
use crate::result::MeasureResult;
use crate::usage::built_daemon;

/// Pause between two tries of a shard, in milliseconds.
const TRY_MS: u64 = 20;
/// Time that a caller gives one try, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Seconds in which all shards have to be served again.
const LIMIT_S: u64 = 60;

/// What is measured.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Entry hosts.
    #[arg(long, default_value_t = 16)]
    hosts: usize,
    /// Shards per entry host.
    #[arg(long, value_delimiter = ',', default_value = "4,16,64")]
    shards: Vec<usize>,
    /// Entry hosts killed at once.
    #[arg(long, value_delimiter = ',', default_value = "1,4")]
    killed: Vec<usize>,
}

/// Prints one line per number of shards and of killed hosts.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!(
        "| hosts | killed | their shards | first served, ms | last served, ms | not served | \
         store calls | writes | events |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    for &shards in &args.shards {
        for &killed in &args.killed {
            line(args.hosts, shards * args.hosts, killed)?;
        }
    }
    Ok(())
}

fn line(hosts: usize, shards: usize, killed: usize) -> MeasureResult {
    let mut deployment = Deployment::start(plan(hosts, shards as u32), &built_daemon()?)?;
    if !wait_synced(&deployment, shards) {
        return Err(format!("{} of {shards} shards are synced", count_synced(&deployment)).into());
    }
    let mut lost = BTreeSet::new();
    for host in &deployment.hosts[..killed] {
        lost.extend(homes(&Caller::new(host.address(), "m1").status()?));
    }
    let living = deployment.hosts[hosts - 1].address();
    let callers =
        lost.iter().map(|&shard| connect(living, shard)).collect::<MeasureResult<Vec<_>>>()?;
    let before = deployment.store.counts();
    let began = Instant::now();
    for host in &mut deployment.hosts[..killed] {
        host.kill();
    }
    let served = serve(&callers, shards as u32, began);
    // New witnesses and the ends of registrations come after the first answers.
    thread::sleep(Duration::from_secs(LIMIT_S / 3));
    let after = deployment.store.counts();
    println!(
        "| {hosts} | {killed} | {} | {:.0} | {:.0} | {} | {} | {} | {} |",
        lost.len(),
        served.first().copied().unwrap_or(f64::NAN),
        served.last().copied().unwrap_or(f64::NAN),
        lost.len() - served.len(),
        after.total() - before.total(),
        after.txn - before.txn,
        after.events - before.events,
    );
    Ok(())
}

/// Connects the caller of a shard. Callers that connect at once may wait for a
/// thread for seconds, see `burst`, which is not what is measured here.
fn connect(host: SocketAddr, shard: u32) -> MeasureResult<(u32, Caller)> {
    let caller = Caller::new(host, "m1").deadline_ms(DEADLINE_MS);
    caller.status()?;
    Ok((shard, caller))
}

/// Submits ids of each shard until one is served; returns the milliseconds since `began`, sorted.
fn serve(callers: &[(u32, Caller)], count: u32, began: Instant) -> Vec<f64> {
    let end = began + Duration::from_secs(LIMIT_S);
    let mut served: Vec<f64> = thread::scope(|scope| {
        let each = |(shard, caller): &(u32, Caller)| one(caller, *shard, count, end);
        let tries: Vec<_> =
            callers.iter().map(|caller| scope.spawn(move || each(caller))).collect();
        let ends = tries.into_iter().filter_map(|each| each.join().ok().flatten());
        ends.map(|at| at.duration_since(began).as_secs_f64() * 1e3).collect()
    });
    served.sort_by(f64::total_cmp);
    served
}

fn one(caller: &Caller, shard: u32, count: u32, end: Instant) -> Option<Instant> {
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
        thread::sleep(Duration::from_millis(TRY_MS));
    }
    None
}

/// Returns the shards of which a host is home.
fn homes(status: &serde_json::Value) -> Vec<u32> {
    let shards = status["shards"].as_array().map(Vec::as_slice).unwrap_or_default();
    let home = shards.iter().filter(|shard| shard["role"] == "home");
    home.filter_map(|shard| shard["shard"].as_u64().map(|shard| shard as u32)).collect()
}
