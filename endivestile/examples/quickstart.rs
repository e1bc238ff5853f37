//! A whole deployment on loopback: two availability zones with two entry hosts
//! each, backend servers, workers and the platform's store as stand-ins.
//!
//! Submits a job and requests, checks every answer, prints a short report, and
//! ends with exit code 0 only if all was right. The entry hosts are processes:
//! the example starts itself again with `daemon` as first argument.

use std::env;
use std::error::Error;
use std::ffi::OsString;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{Caller, DaemonCommand, Deployment, MachineSpec, Plan, Reply, echo};
use endivestile_wire::call::{NeedBody, TaskBody};

/// First argument of the processes that run as entry hosts.
const DAEMON: &str = "daemon";
/// Tasks of the job, of which each fourth goes to a worker.
const JOB_TASKS: usize = 40;
/// Requests of each kind.
const REQUESTS: usize = 10;
/// Times that a submission is repeated when the entry host asks for it.
const TRIES: usize = 10;
/// Seconds that a graceful shutdown may take here.
const STOP_S: u64 = 20;

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
            eprintln!("quickstart failed: {err}");
            ExitCode::FAILURE
        }
    }
}

fn tour() -> Step {
    let daemon = DaemonCommand { program: env::current_exe()?, args: vec![DAEMON.into()] };
    println!("starting 2 availability zones with 2 entry hosts each");
    let mut deployment = Deployment::start(plan(), &daemon)?;
    let callers: Vec<Caller> =
        deployment.hosts.iter().map(|host| Caller::new(host.address(), "harbour")).collect();
    run_job(&callers)?;
    run_requests(&callers)?;
    resubmit(&callers)?;
    let doubled =
        [deployment.servers.duplicate_starts(), deployment.workers.duplicate_starts()].concat();
    ensure(doubled.is_empty(), || format!("started more than once: {doubled:?}"))?;
    messages(&callers)?;
    stop(&mut deployment)
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

fn run_job(callers: &[Caller]) -> Step {
    let works: Vec<String> = (0..JOB_TASKS).map(|n| work("job", n, 50 + n)).collect();
    let tasks: Vec<TaskBody> = works.iter().enumerate().map(|(n, work)| task(n, work)).collect();
    let id = Caller::own_id("job");
    let began = Instant::now();
    let reply = persist(|| callers[0].submit_tasks(&id, tasks.clone()))?;
    let took_ms = began.elapsed().as_millis();
    let results = reply.answer().and_then(|answer| answer.results).unwrap_or_default();
    let expected: Vec<String> = works.iter().map(|work| echo(work)).collect();
    ensure(reply.status == 200 && results == expected, || told("job", &reply))?;
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

fn run_requests(callers: &[Caller]) -> Step {
    for (kind, idempotent) in [("idempotent", true), ("non-idempotent", false)] {
        let mut took_ms = Vec::new();
        for n in 0..REQUESTS {
            let caller = &callers[n % callers.len()];
            let work = work(kind, n, 60);
            let id = Caller::own_id(&format!("{kind}-{n}"));
            let began = Instant::now();
            let id = (!idempotent).then_some(id.as_str());
            let reply = persist(|| caller.request("orders", id, &work))?;
            took_ms.push(began.elapsed().as_millis());
            ensure(reply.status == 200 && reply.body == echo(&work), || told(kind, &reply))?;
        }
        took_ms.sort_unstable();
        let (median, worst) = (took_ms[REQUESTS / 2], took_ms[REQUESTS - 1]);
        println!("{REQUESTS} {kind} requests: median {median} ms, worst {worst} ms");
    }
    Ok(())
}

/// A caller that believes its payment lost sends it again, by another entry host.
fn resubmit(callers: &[Caller]) -> Step {
    let id = Caller::own_id("payment");
    let work = work("payment", 0, 20);
    let first = persist(|| callers[0].request("orders", Some(&id), &work))?;
    let second = persist(|| callers[3].request("orders", Some(&id), &work))?;
    ensure(first.status == 200 && first == second, || told("resubmission", &second))?;
    println!("resubmission by another entry host: same answer, no second start");
    Ok(())
}

/// Prints what the entry hosts counted, as far as it concerns messages.
fn messages(callers: &[Caller]) -> Step {
    const NAMES: [&str; 6] = ["starts", "forwards", "handoffs", "records", "frames", "store_calls"];
    let mut sums = [0; NAMES.len()];
    for caller in callers {
        let status = caller.status()?;
        for (sum, name) in sums.iter_mut().zip(NAMES) {
            *sum += status["counters"][name].as_u64().unwrap_or(0);
        }
    }
    let words: Vec<String> =
        NAMES.iter().zip(sums).map(|(name, sum)| format!("{name}={sum}")).collect();
    println!("messages of all entry hosts: {}", words.join(" "));
    Ok(())
}

fn stop(deployment: &mut Deployment) -> Step {
    for host in &deployment.hosts {
        host.terminate();
    }
    for host in &mut deployment.hosts {
        let status = host.wait_exit(STOP_S);
        let clean = status.is_some_and(|status| status.success());
        ensure(clean, || format!("{} ended with {status:?}", host.name()))?;
    }
    println!("graceful shutdown of 4 entry hosts");
    Ok(())
}

/// Submits again under the same id while the answer is "come back later", as a
/// caller should: entry hosts that have just started still share out the ids.
fn persist(mut submit: impl FnMut() -> Result<Reply, ureq::Error>) -> Step<Reply> {
    for _ in 0..TRIES {
        let reply = submit()?;
        match reply.retry_s {
            Some(retry_s) => thread::sleep(Duration::from_secs(retry_s)),
            None => return Ok(reply),
        }
    }
    Ok(submit()?)
}

fn work(kind: &str, n: usize, ms: usize) -> String {
    format!(r#"{{"key":"{kind}-{n}","ms":{ms}}}"#)
}

fn told(step: &str, reply: &Reply) -> String {
    format!("{step}: status {} with {}", reply.status, reply.body)
}

fn ensure(holds: bool, why: impl FnOnce() -> String) -> Step {
    if holds { Ok(()) } else { Err(why().into()) }
}
