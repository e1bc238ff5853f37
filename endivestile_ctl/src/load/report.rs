//! Results of submissions and the report on them.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufWriter, Write};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::workload::Submission;
use crate::error::CtlError;
use crate::http::{Class, Payload};

/// Significant digits of the histograms.
const DIGITS: u8 = 3;

/// Outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Outcome {
    /// It was answered.
    Class(Class),
    /// It was sent, but not answered.
    Lost,
    /// It was not sent, because the host could not be reached.
    Unreachable,
}

impl Outcome {
    fn label(self) -> &'static str {
        match self {
            Self::Class(class) => class.label(),
            Self::Lost => "lost",
            Self::Unreachable => "unreachable",
        }
    }
}

/// One line of the trace.
#[derive(Debug)]
struct TraceLine {
    /// Serial number.
    serial: u64,
    /// Time at which it was due, in microseconds since the start of the load.
    at_us: u64,
    /// Time until the answer, in microseconds.
    took_us: u64,
    /// Number of tasks.
    tasks: u64,
    /// Whether it was a job.
    job: bool,
    /// Team.
    team: String,
    /// Outcome.
    outcome: Outcome,
}

/// Results of one caller or of all callers.
#[derive(Debug, Default)]
pub(super) struct Results {
    /// Times until the answer by outcome.
    latencies: BTreeMap<Outcome, Latencies>,
    /// Number of tasks of complete submissions.
    complete_tasks: u64,
    /// Number of tasks of all submissions.
    tasks: u64,
    /// Number of submissions that started late because all callers were busy.
    pub(super) late: u64,
    /// Trace, if requested.
    lines: Vec<TraceLine>,
}

/// Histogram of times until the answer, in microseconds.
#[derive(Debug)]
struct Latencies(Histogram<u64>);

impl Default for Latencies {
    fn default() -> Self {
        // The library accepts up to 5 digits.
        Self(Histogram::new(DIGITS).expect("histogram of three digits"))
    }
}

impl Results {
    /// Records one submission.
    pub(super) fn record(
        &mut self,
        submission: &Submission,
        outcome: Outcome,
        at_us: u64,
        took_us: u64,
        keep_trace: bool,
    ) {
        // The histogram resizes itself, so every time is within its range.
        let _ = self.latencies.entry(outcome).or_default().0.record(took_us);
        let tasks = submission.tasks();
        self.tasks += tasks;
        if outcome == Outcome::Class(Class::Complete) {
            self.complete_tasks += tasks;
        }
        if keep_trace {
            let job = matches!(submission.payload, Payload::Job(_));
            let (serial, team) = (submission.serial, submission.team.clone());
            self.lines.push(TraceLine { serial, at_us, took_us, tasks, job, team, outcome });
        }
    }

    /// Adds the results of another caller.
    pub(super) fn add(&mut self, other: Self) {
        for (outcome, latencies) in other.latencies {
            // The histogram resizes itself, as in `record`.
            let _ = self.latencies.entry(outcome).or_default().0.add(latencies.0);
        }
        self.complete_tasks += other.complete_tasks;
        self.tasks += other.tasks;
        self.late += other.late;
        self.lines.extend(other.lines);
    }

    /// Writes the trace as CSV.
    pub(super) fn write(&self, file: &str) -> Result<(), CtlError> {
        let fail = |cause| CtlError::File { step: "write", file: file.to_owned(), cause };
        let mut out = BufWriter::new(File::create(file).map_err(fail)?);
        writeln!(out, "serial,due_us,took_us,kind,tasks,team,class").map_err(fail)?;
        for line in &self.lines {
            let kind = if line.job { "job" } else { "request" };
            let TraceLine { serial, at_us, took_us, tasks, team, outcome, .. } = line;
            let class = outcome.label();
            writeln!(out, "{serial},{at_us},{took_us},{kind},{tasks},{team},{class}")
                .map_err(fail)?;
        }
        out.flush().map_err(fail)
    }
}

/// Times until the answers with one outcome, in microseconds.
#[derive(Debug, Serialize)]
struct Row {
    /// Name of the outcome.
    class: &'static str,
    /// Number of submissions.
    count: u64,
    /// Median.
    p50_us: u64,
    /// 95th percentile.
    p95_us: u64,
    /// 99th percentile.
    p99_us: u64,
    /// Longest.
    max_us: u64,
}

/// Report on a load.
#[derive(Debug, Serialize)]
pub(super) struct Report {
    /// Time from the start of the load to its last answer, in seconds.
    seconds: f64,
    /// Number of submissions.
    submissions: u64,
    /// Number of tasks of all submissions.
    tasks: u64,
    /// Number of submissions that started late because all callers were busy; if
    /// there are many, the rate was not reached.
    late: u64,
    /// Tasks of complete submissions per second.
    goodput: f64,
    /// Times by outcome.
    classes: Vec<Row>,
    /// Increase of the hosts' counters during the load.
    counters: BTreeMap<String, u64>,
}

impl Report {
    /// Creates the report from the results.
    pub(super) fn new(results: &Results, seconds: f64, counters: BTreeMap<String, u64>) -> Self {
        let classes: Vec<Row> = results
            .latencies
            .iter()
            .map(|(outcome, Latencies(latencies))| latency_row(*outcome, latencies))
            .collect();
        Self {
            seconds,
            submissions: classes.iter().map(|row| row.count).sum(),
            tasks: results.tasks,
            late: results.late,
            goodput: results.complete_tasks as f64 / seconds,
            classes,
            counters,
        }
    }

    /// Returns whether any submission was answered.
    pub(super) fn answered(&self) -> bool {
        let unanswered = [Outcome::Lost.label(), Outcome::Unreachable.label()];
        self.classes.iter().any(|row| !unanswered.contains(&row.class))
    }

    /// Returns the report as a readable text.
    pub(super) fn text(&self) -> String {
        let Self { seconds, submissions, tasks, late, goodput, .. } = self;
        let mut text = format!(
            "{submissions} submissions, {tasks} tasks in {seconds:.1} s, \
             {goodput:.0} tasks/s complete, {late} started late\n\
             class             count     p50 us     p95 us     p99 us     max us"
        );
        for row in &self.classes {
            let Row { class, count, p50_us, p95_us, p99_us, max_us } = row;
            text.push_str(&format!(
                "\n{class:12} {count:10} {p50_us:10} {p95_us:10} {p99_us:10} {max_us:10}"
            ));
        }
        for (name, count) in self.counters.iter().filter(|(_, count)| **count > 0) {
            let each = *count as f64 / (*tasks).max(1) as f64;
            text.push_str(&format!("\n{name} {count}, {each:.3} per task"));
        }
        text
    }
}

fn latency_row(outcome: Outcome, latencies: &Histogram<u64>) -> Row {
    Row {
        class: outcome.label(),
        count: latencies.len(),
        p50_us: latencies.value_at_quantile(0.5),
        p95_us: latencies.value_at_quantile(0.95),
        p99_us: latencies.value_at_quantile(0.99),
        max_us: latencies.max(),
    }
}
