//! Two availability zones of the users' platform on loopback, with an entry host each;
//! the platform's store and eight workers are stand-ins.
//!
//! Sends jobs to both hosts, kills one host, sends jobs to the other, and exits with
//! code 0 only if every job of the rounds was completed. The hosts are processes: the
//! example starts itself again with `daemon` as first argument.

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::{Duration, Instant};

// Links the platform adapter, which registers itself.
use endivestile_platform as _;
use endivestile_testkit::{DaemonCommand, PlatformHost, PlatformStandIn, wait_for};
use serde_json::{Value, json};
use ureq::Agent;

/// First argument of the processes that run as entry hosts.
const DAEMON_ARG: &str = "daemon";
/// Workers of each zone.
const WORKERS: usize = 4;
/// Jobs of each round.
const JOBS: u64 = 20;
/// Timeout of each awaited condition, in seconds.
const TIMEOUT_S: u64 = 20;

/// Result of a step; an error makes the example exit with failure.
type StepResult<T = ()> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON_ARG) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match run() {
        Ok(()) => {
            println!("all checks passed");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("platform failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> StepResult {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON_ARG.into()] };
    let platform = PlatformStandIn::start(&["north", "south"], WORKERS);
    platform.configure(1);
    let mut hosts = Vec::new();
    for (name, zone) in [("e1", "north"), ("e2", "south")] {
        hosts.push(PlatformHost::start(&daemon, platform.store_address(), name, zone, &[])?);
    }
    for host in &hosts {
        let completes_jobs =
            wait_for(TIMEOUT_S, || submit(host, u64::MAX).is_ok_and(|(completed, _)| completed));
        ensure(completes_jobs, "a host does not complete jobs")?;
    }
    println!("two entry hosts own the workers of their zones");
    run_round("calm", &hosts, 0)?;
    hosts[0].kill();
    let stopped = wait_for(TIMEOUT_S, || platform.running() == 0);
    ensure(stopped, "tasks of a killed host keep running")?;
    run_round("one host killed", &hosts[1..], JOBS)?;
    let breaches = platform.breaches();
    ensure(breaches.is_empty(), &format!("broken guarantees: {breaches:?}"))
}

/// Sends jobs one after the other, to each host in turn, and prints their response times.
fn run_round(label: &str, hosts: &[PlatformHost], first: u64) -> StepResult {
    let mut times_ms = Vec::new();
    for number in first..first + JOBS {
        let (completed, time) = submit(&hosts[number as usize % hosts.len()], number)?;
        ensure(completed, &format!("job {number} was not completed"))?;
        times_ms.push(time.as_millis());
    }
    times_ms.sort_unstable();
    let (median, worst) = (times_ms[times_ms.len() / 2], times_ms[times_ms.len() - 1]);
    println!("{label}: {JOBS} jobs of 4 tasks of 50 ms, median {median} ms, worst {worst} ms");
    Ok(())
}

/// Sends a job; returns whether it was completed, and its response time.
fn submit(host: &PlatformHost, number: u64) -> StepResult<(bool, Duration)> {
    let address = host.http_address().ok_or("the host does not listen yet")?;
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().into();
    let step = json!({"Count": 4, "Cpu": 14_000, "MemoryRequestMb": 64, "EstimatedMs": 50});
    let body = json!({"Spec": "50", "Steps": [step], "BestEffort": true}).to_string();
    let started = Instant::now();
    let url = format!("http://{address}/jobs/{number:016x}");
    let call = agent.post(&url).header("Host", "jobs.example").header("X-Deadline-Ms", "3000");
    let mut answer = call.send(&body)?;
    let reply: Value = serde_json::from_str(&answer.body_mut().read_to_string()?)?;
    Ok((answer.status() == 200 && reply["State"] == "completed", started.elapsed()))
}

fn ensure(holds: bool, message: &str) -> StepResult {
    if holds { Ok(()) } else { Err(message.into()) }
}
