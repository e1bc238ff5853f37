//! What the lines of a log say about each job.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::line::Line;

/// What the placer said when a job ended there, as the log names it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerRecord {
    /// Whether a task of it was started.
    pub(crate) started: bool,
    /// From its arrival until its last order, in milliseconds.
    pub(crate) dispatched_ms: f64,
    /// From its arrival until its end, in milliseconds.
    pub(crate) ended_ms: f64,
    /// From its arrival until its caller is no longer served well, in milliseconds.
    pub(crate) objective_ms: f64,
    /// What a worker of usual speed takes for it, in milliseconds.
    pub(crate) typical_ms: f64,
    /// Its work in core-seconds, by the placer's estimate.
    pub(crate) core_s: f64,
    /// Runs that stalled, failed or came to no end.
    pub(crate) failed_runs: u32,
    /// Room for usual tasks when it ended.
    pub(crate) free_capacity: u32,
}

/// How the host that took a job answered.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// How it ended.
    pub(crate) end: String,
    /// Why, if it did not end well.
    pub(crate) reason: String,
    /// Placers that had it.
    pub(crate) attempts: u32,
}

/// One job.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRecord {
    /// Second of the day in which it came, as written, to the second.
    pub(crate) second: String,
    /// Its route.
    pub(crate) route: String,
    /// Availability zone of the host that took it.
    pub(crate) zone: String,
    /// The placer's account; none for a job that ended well.
    pub(crate) owner_record: Option<OwnerRecord>,
    /// The answer; none if it got none.
    pub(crate) answer: Option<Answer>,
    /// Whether its caller went away.
    pub(crate) caller_left: bool,
}

/// All jobs of the logs.
#[derive(Debug, Default)]
pub(crate) struct JobRecords {
    /// Jobs by id.
    pub(crate) jobs: HashMap<String, JobRecord>,
    /// Calls that were turned away before a job was made of them: time, reason.
    pub(crate) refused_calls: Vec<(String, String)>,
    /// Evacuations by zone: the second in which a host first knew of one, and of its end.
    pub(crate) evacuations: BTreeMap<String, Evacuation>,
}

/// When a zone was evacuated.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub(crate) struct Evacuation {
    /// Second in which a host first knew of it; empty when the log does not tell.
    pub(crate) started: String,
    /// Second in which a host last found that nothing ran there any more.
    pub(crate) drained: String,
    /// Second in which the last host knew of its end.
    pub(crate) ended: String,
}

impl JobRecords {
    /// Takes a line in.
    pub(crate) fn handle_line(&mut self, line: &Line<'_>) {
        match line.event() {
            "job_sent" => self.handle_sent(line),
            "job_answered" => self.handle_answered(line),
            "caller_left" => self.handle_caller_left(line),
            "placed_job_ended" => self.handle_ended(line),
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

    fn handle_ended(&mut self, line: &Line<'_>) {
        // A task that was passed on is told of by the placer that passed it on.
        if line.get("forwarded") == Some("true") {
            return;
        }
        let Some(job) = self.job(line) else { return };
        job.owner_record = parse_owner_record(line);
    }
}

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
        free_capacity: count("free"),
    })
}

fn second_of(line: &Line<'_>) -> String {
    line.time.get(..19).unwrap_or("").to_owned()
}
