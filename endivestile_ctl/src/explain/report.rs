//! Sums up jobs and their work by cause.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use super::cause::{Cause, find_cause};
use super::record::{Evacuation, JobRecord, JobRecords};
use crate::cli::Grouping;

/// Number of jobs and their total work.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct Sum {
    /// Number of jobs.
    jobs: u32,
    /// Their work in core-seconds, as far as owners logged it.
    core_s: f64,
}

impl Sum {
    fn add(&mut self, job: &JobRecord) {
        self.jobs += 1;
        self.core_s += job.owner_record.map_or(0.0, |owner_record| owner_record.core_s);
    }
}

/// Report on the jobs of the logs.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    /// Number of jobs.
    jobs: u32,
    /// Jobs served in time, which includes completed ones that no owner logged as late.
    in_time: u32,
    /// The other jobs by cause, in descending order of work.
    causes: Vec<(Cause, Sum)>,
    /// The other jobs by the requested grouping and by cause.
    groups: BTreeMap<String, BTreeMap<Cause, Sum>>,
    /// Calls that were refused before they became a job, by reason.
    turned_away: BTreeMap<String, u32>,
    /// Evacuations by zone.
    evacuations: BTreeMap<String, Evacuation>,
}

impl Report {
    /// Creates the report on all jobs of the logs.
    pub(crate) fn new(records: &JobRecords, by: Option<Grouping>) -> Self {
        let mut causes: BTreeMap<Cause, Sum> = BTreeMap::new();
        let mut groups: BTreeMap<String, BTreeMap<Cause, Sum>> = BTreeMap::new();
        let mut in_time = 0;
        for job in records.jobs.values() {
            let Some(cause) = find_cause(job) else {
                in_time += 1;
                continue;
            };
            causes.entry(cause).or_default().add(job);
            if let Some(by) = by {
                let group = groups.entry(group_of(job, by)).or_default();
                group.entry(cause).or_default().add(job);
            }
        }
        let mut turned_away = BTreeMap::new();
        for (_, reason) in &records.refused_calls {
            *turned_away.entry(reason.clone()).or_default() += 1;
        }
        let mut causes: Vec<(Cause, Sum)> = causes.into_iter().collect();
        causes.sort_by(|a, b| b.1.core_s.total_cmp(&a.1.core_s));
        let evacuations = records.evacuations.clone();
        Self { jobs: records.jobs.len() as u32, in_time, causes, groups, turned_away, evacuations }
    }
}

fn group_of(job: &JobRecord, by: Grouping) -> String {
    match by {
        Grouping::Second => job.second.clone(),
        Grouping::Zone => job.zone.clone(),
        Grouping::Route => job.route.clone(),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "{} jobs, {} of them in time", self.jobs, self.in_time)?;
        writeln!(out, "{:<20} {:>7} {:>12}", "cause", "jobs", "core-seconds")?;
        for (cause, sum) in &self.causes {
            write_row(out, *cause, sum)?;
        }
        for (group, causes) in &self.groups {
            writeln!(out, "{group}")?;
            for (cause, sum) in causes {
                write_row(out, *cause, sum)?;
            }
        }
        for (zone, Evacuation { started, drained, ended }) in &self.evacuations {
            writeln!(out, "zone {zone} evacuated: {started}, drained {drained}, ended {ended}")?;
        }
        for (reason, calls) in &self.turned_away {
            writeln!(out, "turned away, {reason}: {calls} calls")?;
        }
        Ok(())
    }
}

fn write_row(out: &mut fmt::Formatter<'_>, cause: Cause, sum: &Sum) -> fmt::Result {
    let name = format!("{cause:?}");
    writeln!(out, "{name:<20} {:>7} {:>12.1}", sum.jobs, sum.core_s)
}
