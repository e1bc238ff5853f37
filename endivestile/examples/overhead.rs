//! Overhead of an entry host: the response time that it adds to that of the backend server.
//!
//! Callers in closed loops call backend servers that answer at once, first directly,
//! then through one or two entry hosts. The example prints percentiles, rates, and the
//! processor time, memory and traffic of idle hosts. It asserts nothing.

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::fs;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use endivestile_testkit::{DaemonCommand, Deployment, MachineSpec, Plan};
use serde_json::Value;
use ureq::Agent;

/// First argument of the processes that run as entry hosts.
const DAEMON_ARG: &str = "daemon";
/// Numbers of concurrent callers, one round each.
const CALLERS: [usize; 3] = [1, 16, 64];
/// Length of a round.
const ROUND: Duration = Duration::from_secs(3);
/// Time at the start of each round that is not measured.
const WARM_UP: Duration = Duration::from_millis(500);
/// Time over which idle hosts are measured.
const IDLE: Duration = Duration::from_secs(5);
/// Clock ticks of `/proc` per second.
const TICKS_S: f64 = 100.0;

/// Result of a step; an error makes the example exit with failure.
type StepResult<T = ()> = Result<T, Box<dyn Error>>;

/// How callers send their requests.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// To the backend servers, without an entry host.
    Direct,
    /// Idempotent requests without an id.
    Idempotent,
    /// Under an id that came with the previous answer.
    Minted,
    /// Under an id that the caller made.
    Dated,
}

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON_ARG) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match measure_all() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("overhead failed: {err}");
            ExitCode::FAILURE
        }
    }
}

/// Prints all rounds. The arguments may select one number of hosts and, by a part of its
/// name, a mode.
fn measure_all() -> StepResult {
    println!("hosts mode callers p50_us p99_us worst_us rate_s");
    let selected_hosts: Option<usize> = env::args().nth(1).and_then(|arg| arg.parse().ok());
    for hosts in selected_hosts.map_or(vec![1, 2], |hosts| vec![hosts]) {
        let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON_ARG.into()] };
        let deployment = Deployment::start(plan(hosts), &daemon)?;
        thread::sleep(Duration::from_secs(5));
        let urls: Vec<String> = deployment.hosts.iter().map(|h| h.url("")).collect();
        print_idle_cost(&deployment)?;
        let servers: Vec<String> = (1..=4)
            .map(|n| format!("http://{}/order", deployment.servers.address(&format!("s{n}"))))
            .collect();
        let modes = [Mode::Direct, Mode::Idempotent, Mode::Minted, Mode::Dated];
        let selected_mode = env::args().nth(2).unwrap_or_default();
        for mode in modes.into_iter().filter(|mode| format!("{mode:?}").contains(&selected_mode)) {
            let targets = if mode == Mode::Direct { &servers } else { &urls };
            for callers in CALLERS {
                run_round(hosts, mode, callers, targets);
                deployment.servers.clear_starts();
            }
            print_counters(&deployment)?;
        }
        for host in &deployment.hosts {
            println!("host {}: rss {} KiB after the rounds", host.name(), rss_kb(host.pid())?);
        }
    }
    Ok(())
}

fn plan(hosts: usize) -> Plan {
    let mut plan = Plan::new().team("m", 10_000, 1).setting("log.level=warn");
    for n in 1..=hosts {
        plan = plan.host(&format!("e{n}"), "a", 1);
    }
    for n in 1..=4 {
        plan = plan.server(MachineSpec::new(format!("s{n}")).slots(64), "a", "rack");
    }
    plan.service("direct", "/order", &["s1", "s2", "s3", "s4"])
}

/// Runs one round and prints its percentiles and rate.
fn run_round(hosts: usize, mode: Mode, callers: usize, targets: &[String]) {
    let started = Instant::now();
    let mut times_us: Vec<u64> = thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let target = targets[caller % targets.len()].clone();
                scope.spawn(move || call_in_loop(mode, caller, &target, started))
            })
            .collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    });
    times_us.sort_unstable();
    let percentile_us = |fraction: f64| {
        times_us.get(
            ((times_us.len() as f64 * fraction) as usize).min(times_us.len().saturating_sub(1)),
        )
    };
    let rate = times_us.len() as f64 / ROUND.as_secs_f64();
    println!(
        "{hosts} {mode:?} {callers} {} {} {} {rate:.0}",
        percentile_us(0.5).unwrap_or(&0),
        percentile_us(0.99).unwrap_or(&0),
        times_us.last().unwrap_or(&0),
    );
}

/// Sends requests in a closed loop; returns the times of the measured ones in microseconds.
fn call_in_loop(mode: Mode, caller: usize, target: &str, started: Instant) -> Vec<u64> {
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().into();
    let url = if mode == Mode::Direct {
        target.to_owned()
    } else {
        format!("{target}/v1/requests/direct")
    };
    let mut times_us = Vec::new();
    let mut id = fetch_id(&agent, target, mode);
    let mut serial = 0;
    while started.elapsed() < WARM_UP + ROUND {
        serial += 1;
        let mut post = agent.post(&url).header("Team", "m");
        match mode {
            Mode::Direct => {}
            Mode::Idempotent => post = post.header("Idempotent", "true"),
            Mode::Minted => post = post.header("Idempotency-Key", &id).header("Want-Ids", "1"),
            Mode::Dated => post = post.header("Idempotency-Key", dated_id(caller, serial)),
        }
        let sent = Instant::now();
        let answer = post.send("{}");
        let took_us = sent.elapsed().as_micros() as u64;
        let Ok(mut answer) = answer else { continue };
        if let Some(next) = answer.headers().get("Minted-Ids").and_then(|v| v.to_str().ok()) {
            next.clone_into(&mut id);
        }
        let _ = answer.body_mut().read_to_vec();
        if answer.status().as_u16() == 200 && started.elapsed() > WARM_UP {
            times_us.push(took_us);
        }
    }
    times_us
}

/// Fetches the first id from the host, in [`Mode::Minted`] only.
fn fetch_id(agent: &Agent, target: &str, mode: Mode) -> String {
    if mode != Mode::Minted {
        return String::new();
    }
    let Ok(mut answer) = agent.post(format!("{target}/v1/ids?count=1")).send("") else {
        return String::new();
    };
    let body = answer.body_mut().read_to_string().unwrap_or_default();
    let body: Value = serde_json::from_str(&body).unwrap_or_default();
    body["ids"][0].as_str().unwrap_or_default().to_owned()
}

/// Makes a caller's own id, dated now.
fn dated_id(caller: usize, serial: usize) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}:{caller}-{serial}-{}", now.as_secs(), now.subsec_nanos())
}

/// Prints processor time, memory and frame traffic of idle hosts.
fn print_idle_cost(deployment: &Deployment) -> StepResult {
    let agent: Agent = Agent::config_builder().build().into();
    for host in &deployment.hosts {
        let (cpu, bytes) = (cpu_ticks(host.pid())?, frame_bytes(&agent, &host.url("/status"))?);
        thread::sleep(IDLE);
        let span = IDLE.as_secs_f64();
        let cpu = (cpu_ticks(host.pid())? - cpu) / TICKS_S / span * 100.0;
        let bytes = (frame_bytes(&agent, &host.url("/status"))? - bytes) / span;
        let rss = rss_kb(host.pid())?;
        println!(
            "host {}: idle {cpu:.2}% of a core, rss {rss} KiB, frames {bytes:.0} B/s",
            host.name()
        );
    }
    Ok(())
}

/// Prints the message counters of each host so far.
fn print_counters(deployment: &Deployment) -> StepResult {
    let agent: Agent = Agent::config_builder().build().into();
    for host in &deployment.hosts {
        let body = agent.get(host.url("/status")).call()?.body_mut().read_to_string()?;
        let body: Value = serde_json::from_str(&body)?;
        let counts = &body["counters"];
        let names =
            ["accepted", "starts", "retries", "frames", "idle_frames", "resent", "ends_lost"];
        let counts: Vec<String> =
            names.iter().map(|name| format!("{name} {}", counts[name])).collect();
        println!("host {}: {}", host.name(), counts.join(", "));
    }
    Ok(())
}

/// Returns the bytes of frames that a host has sent to other hosts.
fn frame_bytes(agent: &Agent, url: &str) -> StepResult<f64> {
    let body = agent.get(url).call()?.body_mut().read_to_string()?;
    let body: Value = serde_json::from_str(&body)?;
    Ok(body["counters"]["frame_bytes"].as_f64().unwrap_or(0.0))
}

/// Returns the processor time that a process has used, in clock ticks.
fn cpu_ticks(pid: u32) -> StepResult<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks =
        |at: usize| -> StepResult<f64> { Ok(fields.get(at).ok_or("stat")?.parse::<f64>()?) };
    Ok(ticks(11)? + ticks(12)?)
}

/// Returns the resident memory of a process, in KiB.
fn rss_kb(pid: u32) -> StepResult<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line.unwrap_or("0 kB").trim().trim_end_matches(" kB").parse()?)
}
