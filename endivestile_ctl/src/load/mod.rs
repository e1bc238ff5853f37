//! `load`: sends load to entry hosts for a limited time and reports on the answers.

mod args;
mod caller;
mod report;
mod workload;

pub(crate) use args::LoadArgs;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::command::counters;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::http::HostClient;
use crate::out;
use caller::Caller;
use report::{Report, Results};
use workload::{Submission, Workload};

/// State shared by the callers.
#[derive(Debug)]
struct Shared {
    /// Source of the submissions.
    workload: Mutex<Workload>,
    /// Arguments of the command.
    args: LoadArgs,
    /// Start of the load.
    start: Instant,
    /// Time after which no submission starts.
    end: Instant,
}

impl Shared {
    /// Returns the next submission; `None` if the load has ended.
    fn next(&self) -> Option<Submission> {
        if Instant::now() >= self.end {
            return None;
        }
        let submission = self.workload.lock().unwrap_or_else(PoisonError::into_inner).next();
        let at = self.start + Duration::from_micros(submission.at_us);
        (at < self.end).then_some(submission)
    }
}

/// Sends load and shows the report.
pub(crate) fn run(context: &Context, args: &LoadArgs) -> Result<Exit, CtlError> {
    args.check().map_err(CtlError::Usage)?;
    let before = sum_counters(args);
    let (results, seconds) = run_callers(args)?;
    let mut growth = sum_counters(args);
    for (name, count) in &mut growth {
        *count = count.saturating_sub(before.get(name).copied().unwrap_or(0));
    }
    let report = Report::new(&results, seconds, growth);
    if let Some(file) = &args.trace {
        results.write(file)?;
    }
    if context.json {
        out::print_json(&report);
    } else {
        out::print(&report.text());
    }
    Ok(if report.answered() { Exit::Done } else { Exit::Unreachable })
}

/// Runs all callers; returns their results and the elapsed seconds.
fn run_callers(args: &LoadArgs) -> Result<(Results, f64), CtlError> {
    let start = Instant::now();
    let end = start + Duration::from_secs(args.seconds);
    let workload = Mutex::new(Workload::new(args));
    let shared = Arc::new(Shared { workload, args: args.clone(), start, end });
    let mut threads = Vec::new();
    for _ in 0..args.callers {
        let shared = Arc::clone(&shared);
        let spawned = thread::Builder::new().spawn(move || Caller::new(&shared).run());
        threads.push(spawned.map_err(|cause| CtlError::File {
            step: "start",
            file: "caller thread".to_owned(),
            cause,
        })?);
    }
    let mut results = Results::default();
    for thread in threads {
        let part = thread.join().map_err(|_| CtlError::Usage("a caller panicked".to_owned()))?;
        results.add(part);
    }
    Ok((results, start.elapsed().as_secs_f64()))
}

/// Sums up the hosts' counters; skips hosts whose state can't be read.
fn sum_counters(args: &LoadArgs) -> BTreeMap<String, u64> {
    let http = HostClient::new();
    let mut sum = BTreeMap::new();
    for page in args.hosts.iter().filter_map(|host| http.status(*host).ok()) {
        for (name, count) in counters(&page) {
            *sum.entry(name).or_default() += count;
        }
    }
    sum
}
