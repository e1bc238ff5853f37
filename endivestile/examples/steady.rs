//! Steady load on the hosts of one availability zone. Prints their processor time and the
//! response times every few seconds, so that costs that grow with time are visible.
//!
//! Everything runs on loopback: the platform's store and workers are stand-ins, the hosts
//! are processes. The example starts itself again with `daemon` as first argument.

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
// Links the platform adapter, which registers itself.
use endivestile_platform as _;
use endivestile_testkit::{DaemonCommand, PlatformHost, PlatformStandIn, wait_for};
use serde_json::json;
use ureq::Agent;

/// First argument of the processes that run as entry hosts.
const DAEMON_ARG: &str = "daemon";
/// Timeout of the hosts' start, in seconds.
const START_TIMEOUT_S: u64 = 30;
/// Time between two lines of the report, in seconds.
const REPORT_INTERVAL_S: u64 = 5;
/// Clock ticks of `/proc` per second.
const TICKS_PER_S: f64 = 100.0;

/// Steady load on hosts of one availability zone.
#[derive(Debug, Parser)]
struct Options {
    /// Hosts of the zone; the first has the most processor time and owns the workers.
    #[arg(long, default_value_t = 4)]
    hosts: usize,
    /// Workers of the zone.
    #[arg(long, default_value_t = 24)]
    workers: usize,
    /// Jobs per second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Tasks per job.
    #[arg(long, default_value_t = 3)]
    tasks: u32,
    /// Run time of a task, in milliseconds.
    #[arg(long, default_value_t = 60)]
    work_ms: u32,
    /// Length of the run, in seconds.
    #[arg(long, default_value_t = 20)]
    seconds: u64,
    /// Command that starts a host instead of this program: another build, or a profiler
    /// with its program. Separated by spaces.
    #[arg(long)]
    command: Option<String>,
}

/// Results of the callers since the last line of the report.
#[derive(Debug, Default)]
struct CallerStats {
    /// Response times of completed jobs, in milliseconds.
    times_ms: Mutex<Vec<u64>>,
    failed: AtomicU64,
    /// Set when the callers have to stop.
    stopped: AtomicBool,
}

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON_ARG) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match run(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("steady failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the platform and the hosts, then prints a line per interval.
fn run(options: &Options) -> Result<(), Box<dyn Error>> {
    let mut daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON_ARG.into()] };
    if let Some(command) = &options.command {
        let mut words = command.split_whitespace();
        daemon.program = words.next().ok_or("the command is empty")?.into();
        daemon.args = words.map(Into::into).collect();
    }
    let platform = PlatformStandIn::start(&["z"], options.workers);
    platform.configure(1);
    let mut hosts = Vec::new();
    for at in 0..options.hosts {
        let cores = if at == 0 { "0.5" } else { "0.09" };
        let overrides = [format!("platform.cores={cores}")];
        hosts.push(PlatformHost::start(
            &daemon,
            platform.store_address(),
            &format!("e{at}"),
            "z",
            &overrides,
        )?);
    }
    let completes_jobs = |host: &PlatformHost| {
        host.http_address().is_some_and(|at| submit_probe_job(&agent(), at, 0, options))
    };
    for host in &hosts {
        if !wait_for(START_TIMEOUT_S, || completes_jobs(host)) {
            return Err("a host does not complete jobs".into());
        }
    }
    let stats = Arc::new(CallerStats::default());
    let callers = start_callers(&hosts, options, &stats);
    let mut before: Vec<f64> = hosts.iter().map(cpu_s).collect();
    println!(
        "{:>4} {:>7} {:>6} {:>6} {:>6}  cpu s of each host in the span",
        "s", "jobs", "failed", "p50", "p95"
    );
    for line in 1..=options.seconds / REPORT_INTERVAL_S {
        thread::sleep(Duration::from_secs(REPORT_INTERVAL_S));
        let now: Vec<f64> = hosts.iter().map(cpu_s).collect();
        let used: Vec<String> =
            now.iter().zip(&before).map(|(now, earlier)| format!("{:.2}", now - earlier)).collect();
        before = now;
        let mut times_ms =
            std::mem::take(&mut *stats.times_ms.lock().unwrap_or_else(PoisonError::into_inner));
        times_ms.sort_unstable();
        let percentile_ms =
            |percent: usize| times_ms.get(times_ms.len() * percent / 100).copied().unwrap_or(0);
        let failed = stats.failed.swap(0, Ordering::Relaxed);
        println!(
            "{:>4} {:>7} {:>6} {:>6} {:>6}  {}",
            line * REPORT_INTERVAL_S,
            times_ms.len(),
            failed,
            percentile_ms(50),
            percentile_ms(95),
            used.join(" ")
        );
    }
    stats.stopped.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.join();
    }
    Ok(())
}

/// Starts callers that together submit jobs at the requested rate, each to one host.
///
/// Their number allows each job four times the run time of a task plus 200 ms before its caller
/// is due to submit the next one.
fn start_callers(
    hosts: &[PlatformHost],
    options: &Options,
    stats: &Arc<CallerStats>,
) -> Vec<thread::JoinHandle<()>> {
    let job_budget_s = f64::from(options.work_ms) / 1_000.0 * 4.0 + 0.2;
    let count = ((options.rate * job_budget_s).ceil() as usize).max(hosts.len());
    let gap = Duration::from_secs_f64(count as f64 / options.rate);
    let addresses: Vec<SocketAddr> = hosts.iter().filter_map(PlatformHost::http_address).collect();
    let caller = |at: usize| {
        let address = addresses[at % addresses.len()];
        let (stats, options) = (Arc::clone(stats), (options.tasks, options.work_ms));
        thread::spawn(move || {
            thread::sleep(gap * at as u32 / count as u32);
            let agent = agent();
            let mut number = (at as u64 + 1) << 32;
            while !stats.stopped.load(Ordering::Relaxed) {
                let started = Instant::now();
                number += 1;
                if submit_job(&agent, address, number, options) {
                    let time_ms = started.elapsed().as_millis() as u64;
                    stats.times_ms.lock().unwrap_or_else(PoisonError::into_inner).push(time_ms);
                } else {
                    stats.failed.fetch_add(1, Ordering::Relaxed);
                }
                thread::sleep(gap.saturating_sub(started.elapsed()));
            }
        })
    };
    (0..count).map(caller).collect()
}

/// Makes an HTTP client that returns error statuses as responses.
fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).build().into()
}

/// Submits one job; returns whether it was completed.
fn submit_probe_job(agent: &Agent, address: SocketAddr, number: u64, options: &Options) -> bool {
    submit_job(agent, address, number, (options.tasks, options.work_ms))
}

/// Submits a job of `tasks` tasks of `work_ms` milliseconds; returns whether it was completed.
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
    // The program's name in parentheses may contain spaces; user and system time are the 12th and
    // 13th field after it.
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) / TICKS_PER_S
}
