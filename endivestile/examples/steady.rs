//! Steady load on hosts of one availability zone, to see what a host costs and whether
//! that grows with time: processor time and latency, a line every few seconds.
//!
//! Everything runs on loopback: the platform's store and workers as stand-ins, the hosts
//! as processes. The example starts itself again with `daemon` as first argument.

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::fs;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use clap::Parser;
// Registers itself as an adapter.
use endivestile_platform as _;
use endivestile_testkit::{DaemonCommand, PlatformHost, PlatformStandIn, wait_for};
use serde_json::json;
use ureq::Agent;

/// First argument of the processes that run as entry hosts.
const DAEMON: &str = "daemon";
/// Longest wait for the hosts to serve, in seconds.
const LIMIT_S: u64 = 30;
/// Time between two lines, in seconds.
const LINE_S: u64 = 5;
/// Ticks of a process's accounting in a second.
const TICKS: f64 = 100.0;

/// Steady load on hosts of one availability zone.
#[derive(Debug, Parser)]
struct Options {
    /// Hosts of the zone; the first has the most processor time and owns the workers.
    #[arg(long, default_value_t = 4)]
    hosts: usize,
    /// Workers of the zone.
    #[arg(long, default_value_t = 24)]
    workers: usize,
    /// Jobs a second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Tasks of a job.
    #[arg(long, default_value_t = 3)]
    tasks: u32,
    /// Run time of a task, in milliseconds.
    #[arg(long, default_value_t = 60)]
    work_ms: u32,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
}

/// What the callers saw since the last line.
#[derive(Debug, Default)]
struct Seen {
    took: Mutex<Vec<u64>>,
    failed: AtomicU64,
    ended: AtomicBool,
}

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match play(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("steady failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn play(options: &Options) -> Result<(), Box<dyn Error>> {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON.into()] };
    let platform = PlatformStandIn::start(&["z"], options.workers);
    platform.configure(1);
    let mut hosts = Vec::new();
    for at in 0..options.hosts {
        let cores = if at == 0 { "0.5" } else { "0.09" };
        let more = [format!("platform.cores={cores}")];
        hosts.push(PlatformHost::start(
            &daemon,
            platform.store_address(),
            &format!("e{at}"),
            "z",
            &more,
        )?);
    }
    let serves = |host: &PlatformHost| {
        host.http_address().is_some_and(|at| submit(&agent(), at, 0, options))
    };
    for host in &hosts {
        if !wait_for(LIMIT_S, || serves(host)) {
            return Err("a host serves nothing".into());
        }
    }
    let seen = Arc::new(Seen::default());
    let callers = callers(&hosts, options, &seen);
    let mut before: Vec<f64> = hosts.iter().map(cpu_s).collect();
    println!(
        "{:>4} {:>7} {:>6} {:>6} {:>6}  cpu s of each host in the span",
        "s", "jobs", "failed", "p50", "p95"
    );
    for line in 1..=options.seconds / LINE_S {
        thread::sleep(Duration::from_secs(LINE_S));
        let now: Vec<f64> = hosts.iter().map(cpu_s).collect();
        let spent: Vec<String> =
            now.iter().zip(&before).map(|(now, then)| format!("{:.2}", now - then)).collect();
        before = now;
        let mut took =
            std::mem::take(&mut *seen.took.lock().unwrap_or_else(PoisonError::into_inner));
        took.sort_unstable();
        let part = |percent: usize| took.get(took.len() * percent / 100).copied().unwrap_or(0);
        let failed = seen.failed.swap(0, Ordering::Relaxed);
        println!(
            "{:>4} {:>7} {:>6} {:>6} {:>6}  {}",
            line * LINE_S,
            took.len(),
            failed,
            part(50),
            part(95),
            spent.join(" ")
        );
    }
    seen.ended.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    Ok(())
}

/// Starts callers that together send at the asked rate, each to one host.
fn callers(
    hosts: &[PlatformHost],
    options: &Options,
    seen: &Arc<Seen>,
) -> Vec<thread::JoinHandle<()>> {
    let patience_s = f64::from(options.work_ms) / 1_000.0 * 4.0 + 0.2;
    let count = ((options.rate * patience_s).ceil() as usize).max(hosts.len());
    let gap = Duration::from_secs_f64(count as f64 / options.rate);
    let addresses: Vec<SocketAddr> = hosts.iter().filter_map(PlatformHost::http_address).collect();
    let caller = |at: usize| {
        let address = addresses[at % addresses.len()];
        let (seen, options) = (Arc::clone(seen), (options.tasks, options.work_ms));
        thread::spawn(move || {
            thread::sleep(gap * at as u32 / count as u32);
            let agent = agent();
            let mut number = (at as u64 + 1) << 32;
            while !seen.ended.load(Ordering::Relaxed) {
                let begun = Instant::now();
                number += 1;
                if submit_job(&agent, address, number, options) {
                    let took = begun.elapsed().as_millis() as u64;
                    seen.took.lock().unwrap_or_else(PoisonError::into_inner).push(took);
                } else {
                    seen.failed.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(gap.saturating_sub(begun.elapsed()));
            }
        })
    };
    (0..count).map(caller).collect()
}

fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).build().into()
}

fn submit(agent: &Agent, address: SocketAddr, number: u64, options: &Options) -> bool {
    submit_job(agent, address, number, (options.tasks, options.work_ms))
}

/// Sends a job; says whether it was completed.
fn submit_job(agent: &Agent, at: SocketAddr, number: u64, (tasks, work_ms): (u32, u32)) -> bool {
    let step =
        json!({"Count": tasks, "Cpu": 14_000, "MemoryRequestMb": 64, "EstimatedMs": work_ms});
    let body =
        json!({"Spec": work_ms.to_string(), "Steps": [step], "BestEffort": true}).to_string();
    let url = format!("http://{at}/jobs/{number:016x}");
    let call = agent.post(&url).header("Host", "jobs.example").header("X-Deadline-Ms", "3000");
    call.send(&body).is_ok_and(|answer| answer.status() == 200)
}

/// Returns the processor time that a host's process has used, in seconds.
fn cpu_s(host: &PlatformHost) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/stat", host.pid())).unwrap_or_default();
    // The name in parentheses may hold spaces; the times are the 12th and 13th field behind it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS
}
