//! Statistics over the rounds of each policy at each load.

use std::collections::BTreeMap;

use endivestile_lab::{median, percentile};
use serde::Serialize;

use crate::replay::SubmissionEnd;
use crate::run::Slice;
use crate::spec::TEAMS;

/// Messages that do no useful work, by their names among the counters.
///
/// A frame carries a batch; forwards, handoffs and records are what frames carry.
pub(crate) const OVERHEAD_COUNTERS: [&str; 6] =
    ["frames", "resent", "refused_sends", "retries", "store_calls", "lease_calls"];
/// Causes of frames, for the breakdown.
pub(crate) const CAUSE_COUNTERS: [&str; 4] = ["forwards", "handoffs", "records", "idle_frames"];

/// Response of one slice against the ideal.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct ResponseRatios {
    /// Median of each answer's time over its ideal time.
    pub(crate) each_p50: f64,
    /// 99th percentile of the same.
    pub(crate) each_p99: f64,
    /// Median of answers' times over the median of ideal times.
    pub(crate) p50: f64,
    /// 95th percentile over 95th percentile.
    pub(crate) p95: f64,
    /// 99th percentile over 99th percentile.
    pub(crate) p99: f64,
    /// Longest over longest.
    pub(crate) worst: f64,
}

/// One policy at one load: medians over the rounds.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Row {
    /// Load in percent of capacity.
    pub(crate) load: u32,
    /// Policy.
    pub(crate) policy: String,
    /// Rounds.
    pub(crate) rounds: usize,
    /// Response of all teams.
    pub(crate) all: ResponseRatios,
    /// Response by team.
    pub(crate) teams: BTreeMap<String, ResponseRatios>,
    /// Completed submissions in percent of all.
    pub(crate) complete: f64,
    /// Submissions refused as not run, in percent.
    pub(crate) not_run: f64,
    /// Slowest refusal, in milliseconds.
    pub(crate) refusal_ms: f64,
    /// Sum over the rounds of what ended otherwise, by its name.
    pub(crate) others: BTreeMap<String, usize>,
    /// Work completed over work that arrived, in percent.
    pub(crate) goodput: f64,
    /// Messages beyond caller, host and back end, per task started.
    pub(crate) wasted: f64,
    /// The same by cause.
    pub(crate) causes: BTreeMap<String, f64>,
    /// Bytes of frames per task started.
    pub(crate) bytes: f64,
    /// Sum over the rounds of works started twice that must not be.
    pub(crate) doubled: usize,
    /// Most tasks at once on one server, in any round.
    pub(crate) peak: usize,
}

/// Returns a row for each load and policy.
pub(crate) fn summarise(slices: &[Slice]) -> Vec<Row> {
    let mut groups: BTreeMap<(u32, &str), Vec<&Slice>> = BTreeMap::new();
    for slice in slices {
        groups.entry((slice.load, &slice.policy)).or_default().push(slice);
    }
    groups.into_iter().map(|((load, policy), group)| row(load, policy, &group)).collect()
}

fn row(load: u32, policy: &str, group: &[&Slice]) -> Row {
    let over = |value: &dyn Fn(&Slice) -> f64| {
        median(&group.iter().map(|slice| value(slice)).collect::<Vec<_>>())
    };
    let mut teams = BTreeMap::new();
    for (n, team) in TEAMS.iter().enumerate() {
        teams.insert((*team).to_owned(), medians(group, Some(n)));
    }
    let names = OVERHEAD_COUNTERS.iter().chain(&CAUSE_COUNTERS);
    let causes =
        names.map(|name| ((*name).to_owned(), over(&|slice| per_task(slice, &[name])))).collect();
    Row {
        load,
        policy: policy.to_owned(),
        rounds: group.len(),
        all: medians(group, None),
        teams,
        complete: over(&|slice| share(slice, SubmissionEnd::Complete)),
        not_run: over(&|slice| share(slice, SubmissionEnd::NotRun)),
        refusal_ms: over(&slowest_refusal),
        others: others(group),
        goodput: over(&goodput),
        wasted: over(&|slice| per_task(slice, &OVERHEAD_COUNTERS)),
        causes,
        bytes: over(&|slice| per_task(slice, &["frame_bytes"])),
        doubled: group.iter().map(|slice| slice.doubled).sum(),
        peak: group.iter().map(|slice| slice.peak).max().unwrap_or(0),
    }
}

fn medians(group: &[&Slice], team: Option<usize>) -> ResponseRatios {
    let each: Vec<ResponseRatios> = group.iter().map(|slice| response(slice, team)).collect();
    let over =
        |value: fn(&ResponseRatios) -> f64| median(&each.iter().map(value).collect::<Vec<_>>());
    ResponseRatios {
        each_p50: over(|r| r.each_p50),
        each_p99: over(|r| r.each_p99),
        p50: over(|r| r.p50),
        p95: over(|r| r.p95),
        p99: over(|r| r.p99),
        worst: over(|r| r.worst),
    }
}

fn response(slice: &Slice, team: Option<usize>) -> ResponseRatios {
    let wanted = slice.outcomes.iter().filter(|outcome| {
        let own = team.is_none_or(|team| slice.arrivals[outcome.index].team == team);
        own && outcome.end == SubmissionEnd::Complete
    });
    let pairs: Vec<(f64, f64)> =
        wanted.map(|outcome| (outcome.response_ms, slice.ideal_ms[outcome.index])).collect();
    let (real, ideal): (Vec<f64>, Vec<f64>) = pairs.iter().copied().unzip();
    let each: Vec<f64> = pairs.iter().map(|(real, ideal)| real / ideal).collect();
    let over = |percent| ratio(percentile(&real, percent), percentile(&ideal, percent));
    ResponseRatios {
        each_p50: percentile(&each, 50.0),
        each_p99: percentile(&each, 99.0),
        p50: over(50.0),
        p95: over(95.0),
        p99: over(99.0),
        worst: over(100.0),
    }
}

fn ratio(value: f64, base: f64) -> f64 {
    if base > 0.0 { value / base } else { 0.0 }
}

fn per_task(slice: &Slice, names: &[&str]) -> f64 {
    let count = |name: &str| slice.counts.get(name).copied().unwrap_or(0) as f64;
    let sum: f64 = names.iter().map(|name| count(name)).sum();
    ratio(sum, count("task_starts"))
}

fn share(slice: &Slice, end: SubmissionEnd) -> f64 {
    let count = slice.outcomes.iter().filter(|outcome| outcome.end == end).count();
    100.0 * ratio(count as f64, slice.arrivals.len() as f64)
}

fn slowest_refusal(slice: &Slice) -> f64 {
    let refused = slice.outcomes.iter().filter(|outcome| outcome.end == SubmissionEnd::NotRun);
    refused.map(|outcome| outcome.response_ms).fold(0.0, f64::max)
}

fn goodput(slice: &Slice) -> f64 {
    let work = |index: usize| slice.arrivals[index].tasks_ms.iter().sum::<f64>();
    let done = slice.outcomes.iter().filter(|outcome| outcome.end == SubmissionEnd::Complete);
    let done: f64 = done.map(|outcome| work(outcome.index)).sum();
    let all: f64 = (0..slice.arrivals.len()).map(work).sum();
    100.0 * ratio(done, all)
}

fn others(group: &[&Slice]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for outcome in group.iter().flat_map(|slice| &slice.outcomes) {
        if !matches!(outcome.end, SubmissionEnd::Complete | SubmissionEnd::NotRun) {
            *counts.entry(format!("{:?}", outcome.end).to_lowercase()).or_default() += 1;
        }
    }
    counts
}
