//! Statistics over the rounds of each policy at each load.

use std::collections::BTreeMap;

use endivestile_lab::{median, percentile};
use serde::Serialize;

use crate::replay::SubmissionEnd;
use crate::run::Slice;
use crate::spec::TEAMS;

/// Counters of messages that do no useful work.
///
/// A frame carries a batch of forwards, handoffs and records, which are not counted again.
pub(crate) const OVERHEAD_COUNTERS: [&str; 6] =
    ["frames", "resent", "refused_sends", "retries", "store_calls", "lease_calls"];
/// Counters that break frames down by cause.
pub(crate) const CAUSE_COUNTERS: [&str; 4] = ["forwards", "handoffs", "records", "idle_frames"];

/// Response times relative to those of the ideal schedule.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct ResponseRatios {
    /// Median of the ratio of each answer's response time to its ideal one.
    pub(crate) each_p50: f64,
    /// 99th percentile of the same ratios.
    pub(crate) each_p99: f64,
    /// Median of the response times divided by the median of the ideal ones.
    pub(crate) p50: f64,
    /// The same for the 95th percentiles.
    pub(crate) p95: f64,
    /// The same for the 99th percentiles.
    pub(crate) p99: f64,
    /// The same for the longest times.
    pub(crate) worst: f64,
}

/// Results of one policy at one load; medians over the rounds unless stated otherwise.
#[derive(Debug, Clone, Default, Serialize)]
pub(crate) struct Row {
    /// Load in percent of capacity.
    pub(crate) load: u32,
    /// Placement policy.
    pub(crate) policy: String,
    /// Number of rounds.
    pub(crate) rounds: usize,
    /// Response times of all teams.
    pub(crate) all: ResponseRatios,
    /// Response times by team.
    pub(crate) teams: BTreeMap<String, ResponseRatios>,
    /// Completed submissions, in percent of all.
    pub(crate) complete: f64,
    /// Submissions refused as not run, in percent of all.
    pub(crate) not_run: f64,
    /// Longest response time of a refusal, in milliseconds.
    pub(crate) refusal_ms: f64,
    /// Submissions that ended in another way, by its name, summed over the rounds.
    pub(crate) others: BTreeMap<String, usize>,
    /// Completed work, in percent of the work that arrived.
    pub(crate) goodput: f64,
    /// Messages per task started, beyond those between caller, host and backend server.
    pub(crate) wasted: f64,
    /// Messages per task started, by counter.
    pub(crate) causes: BTreeMap<String, f64>,
    /// Bytes of frames per task started.
    pub(crate) bytes: f64,
    /// Works that were wrongly started more than once, summed over the rounds.
    pub(crate) doubled: usize,
    /// Largest number of tasks that ran at once on one backend server in any round.
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
    let median_of = |value: &dyn Fn(&Slice) -> f64| {
        median(&group.iter().map(|slice| value(slice)).collect::<Vec<_>>())
    };
    let mut teams = BTreeMap::new();
    for (n, team) in TEAMS.iter().enumerate() {
        teams.insert((*team).to_owned(), medians(group, Some(n)));
    }
    let names = OVERHEAD_COUNTERS.iter().chain(&CAUSE_COUNTERS);
    let causes = names
        .map(|name| ((*name).to_owned(), median_of(&|slice| per_task(slice, &[name]))))
        .collect();
    Row {
        load,
        policy: policy.to_owned(),
        rounds: group.len(),
        all: medians(group, None),
        teams,
        complete: median_of(&|slice| percent_ended(slice, SubmissionEnd::Complete)),
        not_run: median_of(&|slice| percent_ended(slice, SubmissionEnd::NotRun)),
        refusal_ms: median_of(&slowest_refusal),
        others: others(group),
        goodput: median_of(&goodput),
        wasted: median_of(&|slice| per_task(slice, &OVERHEAD_COUNTERS)),
        causes,
        bytes: median_of(&|slice| per_task(slice, &["frame_bytes"])),
        doubled: group.iter().map(|slice| slice.doubled).sum(),
        peak: group.iter().map(|slice| slice.peak).max().unwrap_or(0),
    }
}

/// Returns the medians over the slices of a group, for one team or all of them.
fn medians(group: &[&Slice], team: Option<usize>) -> ResponseRatios {
    let responses: Vec<ResponseRatios> =
        group.iter().map(|slice| response_ratios(slice, team)).collect();
    let median_of = |value: fn(&ResponseRatios) -> f64| {
        median(&responses.iter().map(value).collect::<Vec<_>>())
    };
    ResponseRatios {
        each_p50: median_of(|r| r.each_p50),
        each_p99: median_of(|r| r.each_p99),
        p50: median_of(|r| r.p50),
        p95: median_of(|r| r.p95),
        p99: median_of(|r| r.p99),
        worst: median_of(|r| r.worst),
    }
}

/// Compares the completed submissions of a slice, for one team or all of them.
fn response_ratios(slice: &Slice, team: Option<usize>) -> ResponseRatios {
    let completed = slice.outcomes.iter().filter(|outcome| {
        let selected = team.is_none_or(|team| slice.arrivals[outcome.index].team == team);
        selected && outcome.end == SubmissionEnd::Complete
    });
    let pairs: Vec<(f64, f64)> =
        completed.map(|outcome| (outcome.response_ms, slice.ideal_ms[outcome.index])).collect();
    let (real, ideal): (Vec<f64>, Vec<f64>) = pairs.iter().copied().unzip();
    let ratios: Vec<f64> = pairs.iter().map(|(real, ideal)| real / ideal).collect();
    let percentile_ratio = |percent| ratio(percentile(&real, percent), percentile(&ideal, percent));
    ResponseRatios {
        each_p50: percentile(&ratios, 50.0),
        each_p99: percentile(&ratios, 99.0),
        p50: percentile_ratio(50.0),
        p95: percentile_ratio(95.0),
        p99: percentile_ratio(99.0),
        worst: percentile_ratio(100.0),
    }
}

/// Returns `value / base`, 0 when `base` is not positive.
fn ratio(value: f64, base: f64) -> f64 {
    if base > 0.0 { value / base } else { 0.0 }
}

/// Returns the sum of some counters per task started.
fn per_task(slice: &Slice, names: &[&str]) -> f64 {
    let count = |name: &str| slice.counts.get(name).copied().unwrap_or(0) as f64;
    let sum: f64 = names.iter().map(|name| count(name)).sum();
    ratio(sum, count("task_starts"))
}

/// Returns the submissions that ended in this way, in percent of all.
fn percent_ended(slice: &Slice, end: SubmissionEnd) -> f64 {
    let count = slice.outcomes.iter().filter(|outcome| outcome.end == end).count();
    100.0 * ratio(count as f64, slice.arrivals.len() as f64)
}

/// Returns the longest response time of a refusal, in milliseconds.
fn slowest_refusal(slice: &Slice) -> f64 {
    let refused = slice.outcomes.iter().filter(|outcome| outcome.end == SubmissionEnd::NotRun);
    refused.map(|outcome| outcome.response_ms).fold(0.0, f64::max)
}

/// Returns the completed work, in percent of the work that arrived.
fn goodput(slice: &Slice) -> f64 {
    let work = |index: usize| slice.arrivals[index].tasks_ms.iter().sum::<f64>();
    let done = slice.outcomes.iter().filter(|outcome| outcome.end == SubmissionEnd::Complete);
    let done: f64 = done.map(|outcome| work(outcome.index)).sum();
    let all: f64 = (0..slice.arrivals.len()).map(work).sum();
    100.0 * ratio(done, all)
}

/// Counts the submissions that were neither completed nor refused as not run.
fn others(group: &[&Slice]) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for outcome in group.iter().flat_map(|slice| &slice.outcomes) {
        if !matches!(outcome.end, SubmissionEnd::Complete | SubmissionEnd::NotRun) {
            *counts.entry(format!("{:?}", outcome.end).to_lowercase()).or_default() += 1;
        }
    }
    counts
}
