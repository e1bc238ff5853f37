//! Processor time and frames per task start, with a bounded number of open tasks.

use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{Caller, Deployment};

use crate::idle::{plan, wait_synced};
use crate::result::MeasureResult;
use crate::usage::{Usage, built_daemon};

/// Shards of the callers' own ids per entry host.
const SHARDS: usize = 4;
/// Run time of a task, in milliseconds.
const RUN_MS: u64 = 50;
/// Number of open tasks per entry host, unless a single job has more.
const OPEN_TASKS: usize = 20;
/// Time between the connections of two callers, in milliseconds. Callers that connect at the
/// same time may wait for a thread until their deadline, see `burst`, which would prolong the
/// sample.
const CONNECT_MS: u64 = 20;
/// Number of ids fetched at a time.
const ID_BATCH: usize = 200;

/// Arguments of the measurement.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of entry hosts, separated by commas; callers are spread evenly over the hosts.
    #[arg(long, value_delimiter = ',', default_value = "1,2,4")]
    hosts: Vec<usize>,
    /// Length of a sample, in seconds.
    #[arg(long, default_value_t = 6)]
    seconds: u64,
}

/// Kind of submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// Idempotent request without an id.
    Plain,
    /// Request under an id that the host issued.
    Minted,
    /// Request under an id that the caller makes.
    Dated,
    /// Job of this many tasks under an id that the caller makes.
    Job(usize),
}

/// Measurement of one row.
#[derive(Debug, Clone, Copy)]
struct Sample<'a> {
    kind: Kind,
    deployment: &'a Deployment,
    seconds: u64,
}

/// Prints one row for each number of hosts and kind of submission.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!(
        "| hosts | submission | starts/s | core us/start | frames/start | bytes/start | failed |"
    );
    println!("|---|---|---|---|---|---|---|");
    for &hosts in &args.hosts {
        let deployment = Deployment::start(plan(hosts, (hosts * SHARDS) as u32), &built_daemon()?)?;
        if hosts > 1 && !wait_synced(&deployment, hosts * SHARDS) {
            return Err("not all shards have a home and a witness".into());
        }
        let kinds = [Kind::Plain, Kind::Minted, Kind::Dated, Kind::Job(20), Kind::Job(200)];
        for kind in kinds {
            let sample = Sample { kind, deployment: &deployment, seconds: args.seconds };
            // In an unmeasured run, connections are opened and hosts learn speeds.
            sample.run(1)?;
            sample.print_row()?;
        }
    }
    Ok(())
}

impl Sample<'_> {
    /// Runs the callers and prints the row.
    fn print_row(&self) -> MeasureResult {
        let before = Usage::read(self.deployment)?;
        let failed = self.run(self.seconds)?;
        let used = Usage::read(self.deployment)?.since(&before);
        let starts = used.starts.max(1.0);
        println!(
            "| {} | {} | {:.0} | {:.0} | {:.2} | {:.0} | {failed} |",
            self.deployment.hosts.len(),
            self.kind.label(),
            used.starts / used.span_s,
            used.cpu_s / starts * 1e6,
            used.frames / starts,
            used.bytes / starts,
        );
        Ok(())
    }

    /// Runs callers in closed loops; returns the number of submissions that were not completed.
    fn run(&self, seconds: u64) -> MeasureResult<u64> {
        let failed = AtomicU64::new(0);
        let end = Instant::now() + Duration::from_secs(seconds);
        let callers = (OPEN_TASKS / self.kind.tasks()).max(1);
        thread::scope(|scope| {
            for host in &self.deployment.hosts {
                let caller = Caller::new(host.address(), "m1");
                for n in 0..callers {
                    let (caller, failed) = (caller.clone(), &failed);
                    let name = format!("{}-{n}-{:?}", host.name(), end);
                    scope.spawn(move || {
                        thread::sleep(Duration::from_millis(CONNECT_MS * n as u64));
                        self.submit(&caller, &name, end, failed);
                    });
                }
            }
        });
        Ok(failed.into_inner())
    }

    /// Submits until `end`, and counts the submissions that were not completed.
    fn submit(&self, caller: &Caller, name: &str, end: Instant, failed: &AtomicU64) {
        let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let mut ids = Vec::new();
        let mut serial = 0;
        while Instant::now() < end {
            serial += 1;
            if self.kind == Kind::Minted && ids.is_empty() {
                ids = caller.fetch_ids(ID_BATCH).unwrap_or_default();
            }
            let key = format!("{name}-{serial}");
            let work = |n: usize| format!(r#"{{"key":"{key}-{n}","ms":{RUN_MS}}}"#);
            let dated_id = Caller::own_id(&key);
            let reply = match self.kind {
                Kind::Plain => caller.request("orders", None, &work(0)),
                Kind::Minted => caller.request("orders", ids.pop().as_deref(), &work(0)),
                Kind::Dated => caller.request("orders", Some(&dated_id), &work(0)),
                Kind::Job(tasks) => {
                    let works: Vec<String> = (0..tasks).map(work).collect();
                    caller.submit_job("orders", &dated_id, &works)
                }
            };
            if !reply.is_ok_and(|reply| reply.status == 200) {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Kind {
    /// Returns the number of tasks of a submission.
    fn tasks(self) -> usize {
        if let Self::Job(tasks) = self { tasks } else { 1 }
    }

    /// Returns the name of the kind in the table.
    fn label(self) -> String {
        match self {
            Self::Plain => "request without id".into(),
            Self::Minted => "request, minted id".into(),
            Self::Dated => "request, caller's id".into(),
            Self::Job(tasks) => format!("job of {tasks}, caller's id"),
        }
    }
}
