//! A complete deployment on loopback: two availability zones with two entry hosts each;
//! backend servers, workers and the platform's store are stand-ins.
//!
//! Submits a job and requests, checks every answer, prints a short report, and exits
//! with code 0 only if all checks passed. The entry hosts are processes: the example
//! starts itself again with `daemon` as first argument.

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{Caller, DaemonCommand, Deployment, MachineSpec, Plan, Reply, echo};
use endivestile_wire::call::{NeedBody, TaskBody};

/// First argument of the processes that run as entry hosts.
const DAEMON_ARG: &str = "daemon";
/// Tasks of the job, every fourth of which runs on a worker.
const JOB_TASKS: usize = 40;
/// Requests of each kind.
const REQUESTS: usize = 10;
/// Retries of a submission while the entry host asks for them.
const RETRIES: usize = 10;
/// Timeout of a graceful shutdown, in seconds.
const STOP_TIMEOUT_S: u64 = 20;

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
            eprintln!("quickstart failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> StepResult {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON_ARG.into()] };
    println!("starting 2 availability zones with 2 entry hosts each");
    let mut deployment = Deployment::start(plan(), &daemon)?;
    let callers: Vec<Caller> =
        deployment.hosts.iter().map(|host| Caller::new(host.address(), "harbour")).collect();
    run_job(&callers)?;
    run_requests(&callers)?;
    run_resubmission(&callers)?;
    let duplicates =
        [deployment.servers.duplicate_starts(), deployment.workers.duplicate_starts()].concat();
    ensure(duplicates.is_empty(), || format!("started more than once: {duplicates:?}"))?;
    print_counters(&callers)?;
    stop_hosts(&mut deployment)
}

fn plan() -> Plan {
    let mut plan = Plan::new().team("harbour", 1_000, 1).setting("log.level=warn");
    for (zone, hosts) in [("north", ["e1", "e2"]), ("south", ["e3", "e4"])] {
        for host in hosts {
            plan = plan.host(host, zone, 1);
        }
        for n in 1..=3 {
            let spec = MachineSpec::new(format!("s-{zone}-{n}")).speed(f64::from(n));
            plan = plan.server(spec, zone, &format!("rack-{zone}"));
        }
        let spec = MachineSpec::new(format!("w-{zone}")).slots(64);
        plan = plan.worker(spec, zone, &format!("rack-{zone}"), (32, 65_536, 2));
    }
    plan
}

fn run_job(callers: &[Caller]) -> StepResult {
    let works: Vec<String> = (0..JOB_TASKS).map(|n| work("job", n, 50 + n)).collect();
    let tasks: Vec<TaskBody> = works.iter().enumerate().map(|(n, work)| task(n, work)).collect();
    let id = Caller::own_id("job");
    let started = Instant::now();
    let reply = submit_with_retry(|| callers[0].submit_tasks(&id, tasks.clone()))?;
    let took_ms = started.elapsed().as_millis();
    let results = reply.answer().and_then(|answer| answer.results).unwrap_or_default();
    let expected: Vec<String> = works.iter().map(|work| echo(work)).collect();
    ensure(reply.status == 200 && results == expected, || describe("job", &reply))?;
    println!("job: {JOB_TASKS} tasks on backend servers and workers, complete in {took_ms} ms");
    Ok(())
}

fn task(n: usize, work: &str) -> TaskBody {
    let need = NeedBody { cpu_milli: 1_000, memory_mb: 256, accelerators: 0 };
    let on_worker = n % 4 == 3;
    TaskBody {
        service: (!on_worker).then(|| "orders".to_owned()),
        need: on_worker.then_some(need),
        declared_ms: None,
        work: work.to_owned(),
    }
}

fn run_requests(callers: &[Caller]) -> StepResult {
    for (kind, idempotent) in [("idempotent", true), ("non-idempotent", false)] {
        let mut took_ms = Vec::new();
        for n in 0..REQUESTS {
            let caller = &callers[n % callers.len()];
            let work = work(kind, n, 60);
            let id = Caller::own_id(&format!("{kind}-{n}"));
            let started = Instant::now();
            let id = (!idempotent).then_some(id.as_str());
            let reply = submit_with_retry(|| caller.request("orders", id, &work))?;
            took_ms.push(started.elapsed().as_millis());
            ensure(reply.status == 200 && reply.body == echo(&work), || describe(kind, &reply))?;
        }
        took_ms.sort_unstable();
        let (median, worst) = (took_ms[REQUESTS / 2], took_ms[REQUESTS - 1]);
        println!("{REQUESTS} {kind} requests: median {median} ms, worst {worst} ms");
    }
    Ok(())
}

/// Submits a payment under the same id to two entry hosts, as a caller does that got no answer
/// to the first submission, and checks that both answers are the same.
fn run_resubmission(callers: &[Caller]) -> StepResult {
    let id = Caller::own_id("payment");
    let work = work("payment", 0, 20);
    let first = submit_with_retry(|| callers[0].request("orders", Some(&id), &work))?;
    let second = submit_with_retry(|| callers[3].request("orders", Some(&id), &work))?;
    ensure(first.status == 200 && first == second, || describe("resubmission", &second))?;
    println!("resubmission by another entry host: same answer, no second start");
    Ok(())
}

/// Prints the message counters of all entry hosts together.
fn print_counters(callers: &[Caller]) -> StepResult {
    const NAMES: [&str; 6] = ["starts", "forwards", "handoffs", "records", "frames", "store_calls"];
    let mut sums = [0; NAMES.len()];
    for caller in callers {
        let status = caller.status()?;
        for (sum, name) in sums.iter_mut().zip(NAMES) {
            *sum += status["counters"][name].as_u64().unwrap_or(0);
        }
    }
    let pairs: Vec<String> =
        NAMES.iter().zip(sums).map(|(name, sum)| format!("{name}={sum}")).collect();
    println!("messages of all entry hosts: {}", pairs.join(" "));
    Ok(())
}

fn stop_hosts(deployment: &mut Deployment) -> StepResult {
    for host in &deployment.hosts {
        host.terminate();
    }
    for host in &mut deployment.hosts {
        let status = host.wait_exit(STOP_TIMEOUT_S);
        let succeeded = status.is_some_and(|status| status.success());
        ensure(succeeded, || format!("{} ended with {status:?}", host.name()))?;
    }
    println!("graceful shutdown of 4 entry hosts");
    Ok(())
}

/// Submits again under the same id while the reply asks for a retry, as a caller should: entry
/// hosts that have just started have yet to assign the shards of ids.
fn submit_with_retry(mut submit: impl FnMut() -> Result<Reply, ureq::Error>) -> StepResult<Reply> {
    for _ in 0..RETRIES {
        let reply = submit()?;
        match reply.retry_s {
            Some(retry_s) => thread::sleep(Duration::from_secs(retry_s)),
            None => return Ok(reply),
        }
    }
    Ok(submit()?)
}

/// Makes the work of a task that runs for `ms` milliseconds.
fn work(kind: &str, n: usize, ms: usize) -> String {
    format!(r#"{{"key":"{kind}-{n}","ms":{ms}}}"#)
}

/// Describes an unexpected reply.
fn describe(step: &str, reply: &Reply) -> String {
    format!("{step}: status {} with {}", reply.status, reply.body)
}

fn ensure(holds: bool, message: impl FnOnce() -> String) -> StepResult {
    if holds { Ok(()) } else { Err(message().into()) }
}
