//! Collects what the logs hold about each job.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::line::Line;

/// An owner's record of a job that ended there, from the event `placed_job_ended`.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerRecord {
    /// Whether a task was started.
    pub(crate) started: bool,
    /// Time from arrival to the last dispatch of a task, in milliseconds.
    pub(crate) dispatched_ms: f64,
    /// Time from arrival to the end, in milliseconds.
    pub(crate) ended_ms: f64,
    /// Objective: time from arrival within which its caller is served well, in milliseconds.
    pub(crate) objective_ms: f64,
    /// Run time on a worker of usual speed, in milliseconds.
    pub(crate) typical_ms: f64,
    /// Work in core-seconds, as estimated by the owner.
    pub(crate) core_s: f64,
    /// Number of runs that stalled, failed or vanished.
    pub(crate) failed_runs: u32,
    /// Number of usable workers with free capacity for the job when it ended.
    pub(crate) free_workers: u32,
}

/// Answer of the host that accepted a job.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// Outcome of the job, as logged.
    pub(crate) end: String,
    /// Reason, if the job was not completed.
    pub(crate) reason: String,
    /// Number of owners that were given the job.
    pub(crate) attempts: u32,
}

/// What the logs hold about one job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRecord {
    /// Timestamp of its first event, to the second.
    pub(crate) second: String,
    /// Route.
    pub(crate) route: String,
    /// Availability zone of the host that accepted it.
    pub(crate) zone: String,
    /// Record of the owner at which it ended; `None` if it met its objective there or the
    /// owner logged nothing.
    pub(crate) owner_record: Option<OwnerRecord>,
    /// Answer, if any was logged.
    pub(crate) answer: Option<Answer>,
    /// Whether its caller disconnected.
    pub(crate) caller_left: bool,
    /// Number of owners that rejected it by the forecast of its completion.
    pub(crate) rejections: u32,
    /// Whether a worker of the owner that rejected it last had capacity for its first step.
    pub(crate) rejected_with_room: bool,
}

/// Records of all jobs, refused calls and evacuations in the logs.
#[derive(Debug, Default)]
pub(crate) struct JobRecords {
    /// Jobs by id.
    pub(crate) jobs: HashMap<String, JobRecord>,
    /// Calls that were refused before they became a job: time, reason.
    pub(crate) refused_calls: Vec<(String, String)>,
    /// Evacuations by zone.
    pub(crate) evacuations: BTreeMap<String, Evacuation>,
}

/// Times of a zone's evacuation, to the second; empty if not logged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Evacuation {
    /// Earliest start that a host logged.
    pub(crate) started: String,
    /// Latest time at which a host logged that nothing ran in the zone any more.
    pub(crate) drained: String,
    /// Latest end that a host logged.
    pub(crate) ended: String,
}

impl JobRecords {
    /// Adds the event of a line.
    pub(crate) fn handle_line(&mut self, line: &Line<'_>) {
        match line.event() {
            "job_sent" => self.handle_sent(line),
            "job_answered" => self.handle_answered(line),
            "caller_left" => self.handle_caller_left(line),
            "placed_job_ended" => self.handle_ended(line),
            "job_rejected" | "job_forecast_worse" => self.handle_rejected(line),
            "call_refused" => {
                let reason = line.get("reason").unwrap_or("head").to_lowercase();
                self.refused_calls.push((second_of(line), reason));
            }
            "evacuation_started" | "evacuation_drained" | "evacuation_ended" => {
                self.handle_evacuation(line);
            }
            _ => {}
        }
    }

    fn handle_evacuation(&mut self, line: &Line<'_>) {
        let Some(zone) = line.get("zone") else { return };
        let second = second_of(line);
        let evacuation = self.evacuations.entry(zone.to_owned()).or_default();
        match line.event() {
            "evacuation_drained" => evacuation.drained = second.max(evacuation.drained.clone()),
            "evacuation_ended" => evacuation.ended = second.max(evacuation.ended.clone()),
            _ if evacuation.started.is_empty() || second < evacuation.started => {
                evacuation.started = second
            }
            _ => {}
        }
    }

    fn job(&mut self, line: &Line<'_>) -> Option<&mut JobRecord> {
        let id = line.get("id")?;
        Some(self.jobs.entry(id.to_owned()).or_default())
    }

    fn handle_sent(&mut self, line: &Line<'_>) {
        let Some(job) = self.job(line) else { return };
        if job.second.is_empty() {
            job.second = second_of(line);
        }
        job.route = line.get("route").unwrap_or("").to_owned();
    }

    fn handle_answered(&mut self, line: &Line<'_>) {
        let Some(job) = self.job(line) else { return };
        job.zone = line.get("zone").unwrap_or("").to_owned();
        if job.second.is_empty() {
            job.second = second_of(line);
        }
        job.answer = Some(Answer {
            end: line.get("end").unwrap_or("").to_owned(),
            reason: line.get("reason").unwrap_or("").to_owned(),
            attempts: line.number("tries").unwrap_or(0.0) as u32,
        });
    }

    fn handle_caller_left(&mut self, line: &Line<'_>) {
        let Some(job) = self.job(line) else { return };
        job.caller_left = true;
        job.zone = line.get("zone").unwrap_or("").to_owned();
    }

    fn handle_rejected(&mut self, line: &Line<'_>) {
        let with_room = line.number("suitable").is_some_and(|cpu_milli| cpu_milli > 0.0);
        let Some(job) = self.job(line) else { return };
        job.rejections += 1;
        job.rejected_with_room = with_room;
    }

    fn handle_ended(&mut self, line: &Line<'_>) {
        // The owner that forwarded a task logs its own record of the job.
        if line.get("forwarded") == Some("true") {
            return;
        }
        let Some(job) = self.job(line) else { return };
        job.owner_record = parse_owner_record(line);
    }
}

/// Returns an owner's record; `None` for the short line of a job that met its objective,
/// which lacks these values.
fn parse_owner_record(line: &Line<'_>) -> Option<OwnerRecord> {
    let count = |key: &str| line.number(key).unwrap_or(0.0) as u32;
    Some(OwnerRecord {
        started: line.get("started") == Some("true"),
        dispatched_ms: line.number("last_order_ms")?,
        ended_ms: line.number("ms")?,
        objective_ms: line.number("objective_ms")?,
        typical_ms: line.number("usual_ms")?,
        core_s: line.number("core_ms")? / 1_000.0,
        failed_runs: count("stalled") + count("failed") + count("vanished"),
        free_workers: count("free"),
    })
}

/// Returns a line's timestamp without the fraction; empty if missing.
fn second_of(line: &Line<'_>) -> String {
    line.time.get(..19).unwrap_or("").to_owned()
}
