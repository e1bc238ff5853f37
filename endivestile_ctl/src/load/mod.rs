//! `load`: bounded load on entry hosts, and a report on the answers.

mod args;
mod caller;
mod plan;
mod report;

pub(crate) use args::LoadArgs;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::command::counters;
use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::http::Http;
use crate::out;
use caller::Caller;
use plan::{Plan, Shot};
use report::{Report, Tally};

/// What the callers share.
#[derive(Debug)]
struct Shared {
    /// Where the next shot comes from.
    plan: Mutex<Plan>,
    /// Arguments.
    args: LoadArgs,
    /// When the load starts.
    start: Instant,
    /// When no further shot starts.
    end: Instant,
}

impl Shared {
    /// Draws the next shot; none when the load has ended.
    fn next(&self) -> Option<Shot> {
        if Instant::now() >= self.end {
            return None;
        }
        let shot = self.plan.lock().unwrap_or_else(PoisonError::into_inner).next();
        let at = self.start + Duration::from_micros(shot.at_us);
        (at < self.end).then_some(shot)
    }
}

/// Sends load and reports.
pub(crate) fn run(context: &Context, args: &LoadArgs) -> Result<Exit, CtlError> {
    args.check().map_err(CtlError::Usage)?;
    let before = counts(args);
    let (tally, seconds) = shoot(args)?;
    let mut spent = counts(args);
    for (name, count) in &mut spent {
        *count = count.saturating_sub(before.get(name).copied().unwrap_or(0));
    }
    let report = Report::new(&tally, seconds, spent);
    if let Some(file) = &args.trace {
        tally.write(file)?;
    }
    if context.json {
        out::json(&report);
    } else {
        out::say(&report.text());
    }
    Ok(if report.answered() { Exit::Done } else { Exit::Away })
}

/// Runs all callers to their end.
fn shoot(args: &LoadArgs) -> Result<(Tally, f64), CtlError> {
    let start = Instant::now();
    let end = start + Duration::from_secs(args.seconds);
    let plan = Mutex::new(Plan::new(args));
    let shared = Arc::new(Shared { plan, args: args.clone(), start, end });
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
    let mut tally = Tally::default();
    for thread in threads {
        let part = thread.join().map_err(|_| CtlError::Usage("a caller panicked".to_owned()))?;
        tally.add(part);
    }
    Ok((tally, start.elapsed().as_secs_f64()))
}

/// Adds up the hosts' counters; a host that gives none counts nothing.
fn counts(args: &LoadArgs) -> BTreeMap<String, u64> {
    let http = Http::new();
    let mut sum = BTreeMap::new();
    for page in args.hosts.iter().filter_map(|host| http.status(*host).ok()) {
        for (name, count) in counters(&page) {
            *sum.entry(name).or_default() += count;
        }
    }
    sum
}
