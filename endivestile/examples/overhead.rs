//! Overhead of an entry host: time from caller to answer over the back end's own.
//!
//! Callers in closed loops call back ends that take no time, first directly,
//! then through one or two entry hosts, and the example prints percentiles,
//! rates, and what the hosts cost while idle. Not a test: it asserts nothing.

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
const DAEMON: &str = "daemon";
/// Callers of each round.
const CALLERS: [usize; 3] = [1, 16, 64];
/// Length of a round.
const ROUND: Duration = Duration::from_secs(3);
/// Start of each round that is not counted.
const WARM_UP: Duration = Duration::from_millis(500);
/// Length of the idle span.
const IDLE: Duration = Duration::from_secs(5);
/// Clock ticks of `/proc` in a second.
const TICKS_S: f64 = 100.0;

/// Result of a step; an error ends the example with a failure.
type Step<T = ()> = Result<T, Box<dyn Error>>;

/// How the callers call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Mode {
    /// The back end without an entry host between.
    Direct,
    /// Idempotent, without an id.
    Idempotent,
    /// Under an id minted with the answer before.
    Minted,
    /// Under an id of the caller's own.
    Dated,
}

fn main() -> ExitCode {
    let mut args: Vec<OsString> = env::args_os().collect();
    if args.get(1).is_some_and(|arg| arg == DAEMON) {
        args.remove(1);
        return endivestile::run_from(args);
    }
    match measure() {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("overhead failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure() -> Step {
    println!("hosts mode callers p50_us p99_us worst_us rate_s");
    let only: Option<usize> = env::args().nth(1).and_then(|arg| arg.parse().ok());
    for hosts in only.map_or(vec![1, 2], |hosts| vec![hosts]) {
        let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON.into()] };
        let deployment = Deployment::start(plan(hosts), &daemon)?;
        thread::sleep(Duration::from_secs(5));
        let urls: Vec<String> = deployment.hosts.iter().map(|h| h.url("")).collect();
        idle(&deployment)?;
        let servers: Vec<String> = (1..=4)
            .map(|n| format!("http://{}/order", deployment.servers.address(&format!("s{n}"))))
            .collect();
        let modes = [Mode::Direct, Mode::Idempotent, Mode::Minted, Mode::Dated];
        let wanted = env::args().nth(2).unwrap_or_default();
        for mode in modes.into_iter().filter(|mode| format!("{mode:?}").contains(&wanted)) {
            let targets = if mode == Mode::Direct { &servers } else { &urls };
            for callers in CALLERS {
                round(hosts, mode, callers, targets);
                deployment.servers.clear_starts();
            }
            messages(&deployment)?;
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

/// Runs one round and prints its line.
fn round(hosts: usize, mode: Mode, callers: usize, targets: &[String]) {
    let begin = Instant::now();
    let mut times: Vec<u64> = thread::scope(|scope| {
        let threads: Vec<_> = (0..callers)
            .map(|caller| {
                let target = targets[caller % targets.len()].clone();
                scope.spawn(move || call(mode, caller, &target, begin))
            })
            .collect();
        threads.into_iter().flat_map(|t| t.join().unwrap_or_default()).collect()
    });
    times.sort_unstable();
    let at = |part: f64| {
        times.get(((times.len() as f64 * part) as usize).min(times.len().saturating_sub(1)))
    };
    let rate = times.len() as f64 / ROUND.as_secs_f64();
    println!(
        "{hosts} {mode:?} {callers} {} {} {} {rate:.0}",
        at(0.5).unwrap_or(&0),
        at(0.99).unwrap_or(&0),
        times.last().unwrap_or(&0),
    );
}

/// Calls in a closed loop; returns the times of the counted calls in microseconds.
fn call(mode: Mode, caller: usize, target: &str, begin: Instant) -> Vec<u64> {
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().into();
    let url = if mode == Mode::Direct {
        target.to_owned()
    } else {
        format!("{target}/v1/requests/direct")
    };
    let mut times = Vec::new();
    let mut id = mint(&agent, target, mode);
    let mut serial = 0;
    while begin.elapsed() < WARM_UP + ROUND {
        serial += 1;
        let mut post = agent.post(&url).header("Team", "m");
        match mode {
            Mode::Direct => {}
            Mode::Idempotent => post = post.header("Idempotent", "true"),
            Mode::Minted => post = post.header("Idempotency-Key", &id).header("Want-Ids", "1"),
            Mode::Dated => post = post.header("Idempotency-Key", dated(caller, serial)),
        }
        let sent = Instant::now();
        let answer = post.send("{}");
        let took = sent.elapsed().as_micros() as u64;
        let Ok(mut answer) = answer else { continue };
        if let Some(next) = answer.headers().get("Minted-Ids").and_then(|v| v.to_str().ok()) {
            next.clone_into(&mut id);
        }
        let _ = answer.body_mut().read_to_vec();
        if answer.status().as_u16() == 200 && begin.elapsed() > WARM_UP {
            times.push(took);
        }
    }
    times
}

/// Fetches the first minted id.
fn mint(agent: &Agent, target: &str, mode: Mode) -> String {
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

fn dated(caller: usize, serial: usize) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    format!("{}:{caller}-{serial}-{}", now.as_secs(), now.subsec_nanos())
}

/// Prints what idle hosts cost.
fn idle(deployment: &Deployment) -> Step {
    let agent: Agent = Agent::config_builder().build().into();
    for host in &deployment.hosts {
        let (cpu, bytes) = (cpu_ticks(host.pid())?, sent(&agent, &host.url("/status"))?);
        thread::sleep(IDLE);
        let span = IDLE.as_secs_f64();
        let cpu = (cpu_ticks(host.pid())? - cpu) / TICKS_S / span * 100.0;
        let bytes = (sent(&agent, &host.url("/status"))? - bytes) / span;
        let rss = rss_kb(host.pid())?;
        println!(
            "host {}: idle {cpu:.2}% of a core, rss {rss} KiB, frames {bytes:.0} B/s",
            host.name()
        );
    }
    Ok(())
}

/// Prints the counts of messages so far.
fn messages(deployment: &Deployment) -> Step {
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

/// Returns the bytes of frames that a host has sent to peers.
fn sent(agent: &Agent, url: &str) -> Step<f64> {
    let body = agent.get(url).call()?.body_mut().read_to_string()?;
    let body: Value = serde_json::from_str(&body)?;
    Ok(body["counters"]["frame_bytes"].as_f64().unwrap_or(0.0))
}

/// Returns the processor time of a process in clock ticks.
fn cpu_ticks(pid: u32) -> Step<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
    let ticks = |at: usize| -> Step<f64> { Ok(fields.get(at).ok_or("stat")?.parse::<f64>()?) };
    Ok(ticks(11)? + ticks(12)?)
}

fn rss_kb(pid: u32) -> Step<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    Ok(line.unwrap_or("0 kB").trim().trim_end_matches(" kB").parse()?)
}
