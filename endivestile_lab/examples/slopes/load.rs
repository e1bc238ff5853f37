//! Processor time and frames of a task start under bounded load.

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
/// Tasks under way at once per entry host.
const OPEN: usize = 20;
/// Pause between two callers that connect, in milliseconds. Those that connect at
/// once may wait for a thread until their deadline, see `burst`; here costs are
/// measured, and such a wait would stretch the sample.
const CONNECT_MS: u64 = 20;
/// Ids fetched at a time.
const IDS: usize = 200;

/// What is measured.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Numbers of entry hosts; callers are spread over all.
    #[arg(long, value_delimiter = ',', default_value = "1,2,4")]
    hosts: Vec<usize>,
    /// Seconds of a sample.
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
    /// Request under the caller's own id.
    Dated,
    /// Job of so many tasks under the caller's own id.
    Job(usize),
}

/// One measured line.
#[derive(Debug, Clone, Copy)]
struct Sample<'a> {
    kind: Kind,
    deployment: &'a Deployment,
    seconds: u64,
}

/// Prints one line per number of hosts and kind of submission.
pub(crate) fn measure(args: &Args) -> MeasureResult {
    println!(
        "| hosts | submission | starts/s | core us/start | frames/start | bytes/start | failed |"
    );
    println!("|---|---|---|---|---|---|---|");
    for &hosts in &args.hosts {
        let deployment = Deployment::start(plan(hosts, (hosts * SHARDS) as u32), &built_daemon()?)?;
        if hosts > 1 && !wait_synced(&deployment, hosts * SHARDS) {
            return Err("shards did not settle".into());
        }
        let kinds = [Kind::Plain, Kind::Minted, Kind::Dated, Kind::Job(20), Kind::Job(200)];
        for kind in kinds {
            let sample = Sample { kind, deployment: &deployment, seconds: args.seconds };
            // The first run opens connections and learns speeds.
            sample.run(1)?;
            sample.line()?;
        }
    }
    Ok(())
}

impl Sample<'_> {
    fn line(&self) -> MeasureResult {
        let before = Usage::read(self.deployment)?;
        let failed = self.run(self.seconds)?;
        let rates = Usage::read(self.deployment)?.since(&before);
        let starts = rates.starts.max(1.0);
        println!(
            "| {} | {} | {:.0} | {:.0} | {:.2} | {:.0} | {failed} |",
            self.deployment.hosts.len(),
            self.kind.label(),
            rates.starts / rates.span_s,
            rates.cpu_s / starts * 1e6,
            rates.frames / starts,
            rates.bytes / starts,
        );
        Ok(())
    }

    /// Lets callers submit one after the other; returns the answers that were not complete.
    fn run(&self, seconds: u64) -> MeasureResult<u64> {
        let failed = AtomicU64::new(0);
        let end = Instant::now() + Duration::from_secs(seconds);
        let each = (OPEN / self.kind.tasks()).max(1);
        thread::scope(|scope| {
            for host in &self.deployment.hosts {
                let caller = Caller::new(host.address(), "m1");
                for n in 0..each {
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

    fn submit(&self, caller: &Caller, name: &str, end: Instant, failed: &AtomicU64) {
        let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        let mut ids = Vec::new();
        let mut serial = 0;
        while Instant::now() < end {
            serial += 1;
            if self.kind == Kind::Minted && ids.is_empty() {
                ids = caller.fetch_ids(IDS).unwrap_or_default();
            }
            let key = format!("{name}-{serial}");
            let work = |n: usize| format!(r#"{{"key":"{key}-{n}","ms":{RUN_MS}}}"#);
            let own = Caller::own_id(&key);
            let reply = match self.kind {
                Kind::Plain => caller.request("orders", None, &work(0)),
                Kind::Minted => caller.request("orders", ids.pop().as_deref(), &work(0)),
                Kind::Dated => caller.request("orders", Some(&own), &work(0)),
                Kind::Job(tasks) => {
                    let works: Vec<String> = (0..tasks).map(work).collect();
                    caller.submit_job("orders", &own, &works)
                }
            };
            if !reply.is_ok_and(|reply| reply.status == 200) {
                failed.fetch_add(1, Ordering::Relaxed);
            }
        }
    }
}

impl Kind {
    fn tasks(self) -> usize {
        if let Self::Job(tasks) = self { tasks } else { 1 }
    }

    fn label(self) -> String {
        match self {
            Self::Plain => "request without id".into(),
            Self::Minted => "request, minted id".into(),
            Self::Dated => "request, caller's id".into(),
            Self::Job(tasks) => format!("job of {tasks}, caller's id"),
        }
    }
}
