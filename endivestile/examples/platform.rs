//! The path of the users' platform on loopback: its store and eight workers as
//! stand-ins, two availability zones with an entry host each.
//!
//! Sends jobs to both hosts, kills one host under load, and ends with exit code
//! 0 only if every job was served. The hosts are processes: the example starts
//! itself again with `daemon` as first argument.

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::time::{Duration, Instant};

// Registers itself as an adapter.
use endivestile_platform as _;
use endivestile_testkit::{DaemonCommand, PlatformHost, PlatformStandIn, wait_for};
use serde_json::{Value, json};
use ureq::Agent;

/// First argument of the processes that run as entry hosts.
const DAEMON: &str = "daemon";
/// Workers of each zone.
const WORKERS: usize = 4;
/// Jobs of each round.
const JOBS: u64 = 20;
/// Longest wait for a condition, in seconds.
const LIMIT_S: u64 = 20;

/// Result of a step; an error ends the example with a failure.
type Step<T = ()> = Result<T, Box<dyn Error>>;

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match tour() {
        Ok(()) => {
            println!("all right");
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("platform failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn tour() -> Step {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON.into()] };
    let platform = PlatformStandIn::start(&["north", "south"], WORKERS);
    platform.configure(1);
    let mut hosts = Vec::new();
    for (name, zone) in [("e1", "north"), ("e2", "south")] {
        hosts.push(PlatformHost::start(&daemon, platform.store_address(), name, zone, &[])?);
    }
    for host in &hosts {
        let serves = wait_for(LIMIT_S, || submit(host, u64::MAX).is_ok_and(|(done, _)| done));
        ensure(serves, "a host serves nothing")?;
    }
    println!("two entry hosts own the workers of their zones");
    round("calm", &hosts, 0)?;
    hosts[0].kill();
    let serves = wait_for(LIMIT_S, || platform.running() == 0);
    ensure(serves, "work of a killed host goes on")?;
    round("one host killed", &hosts[1..], JOBS)?;
    let breaches = platform.breaches();
    ensure(breaches.is_empty(), &format!("workers saw: {breaches:?}"))
}

/// Sends a round of jobs, one after the other.
fn round(title: &str, hosts: &[PlatformHost], first: u64) -> Step {
    let mut took = Vec::new();
    for number in first..first + JOBS {
        let (done, time) = submit(&hosts[number as usize % hosts.len()], number)?;
        ensure(done, &format!("job {number} was not served"))?;
        took.push(time.as_millis());
    }
    took.sort_unstable();
    let (median, worst) = (took[took.len() / 2], took[took.len() - 1]);
    println!("{title}: {JOBS} jobs of 4 tasks of 50 ms, median {median} ms, worst {worst} ms");
    Ok(())
}

/// Sends a job; says whether it was completed, and how long that took.
fn submit(host: &PlatformHost, number: u64) -> Step<(bool, Duration)> {
    let address = host.http_address().ok_or("the host does not listen yet")?;
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().into();
    let step = json!({"Count": 4, "Cpu": 14_000, "MemoryRequestMb": 64, "EstimatedMs": 50});
    let body = json!({"Spec": "50", "Steps": [step], "BestEffort": true}).to_string();
    let begun = Instant::now();
    let url = format!("http://{address}/jobs/{number:016x}");
    let call = agent.post(&url).header("Host", "jobs.example").header("X-Deadline-Ms", "3000");
    let mut answer = call.send(&body)?;
    let told: Value = serde_json::from_str(&answer.body_mut().read_to_string()?)?;
    Ok((answer.status() == 200 && told["State"] == "completed", begun.elapsed()))
}

fn ensure(holds: bool, why: &str) -> Step {
    if holds { Ok(()) } else { Err(why.into()) }
}
