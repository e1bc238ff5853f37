//! What the lines of a log say about each job.

use std::collections::{BTreeMap, HashMap};

use serde::Serialize;

use super::line::Line;

/// What the placer said when a job ended there, as the log names it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Account {
    /// Whether a task of it was started.
    pub(crate) started: bool,
    /// From its arrival until its last order, in milliseconds.
    pub(crate) ordered_ms: f64,
    /// From its arrival until its end, in milliseconds.
    pub(crate) ended_ms: f64,
    /// From its arrival until its caller is no longer served well, in milliseconds.
    pub(crate) objective_ms: f64,
    /// What a worker of usual speed takes for it, in milliseconds.
    pub(crate) usual_ms: f64,
    /// Its work in core-seconds, by the placer's estimate.
    pub(crate) core_s: f64,
    /// Runs that stalled, failed or came to no end.
    pub(crate) troubled: u32,
    /// Room for usual tasks when it ended.
    pub(crate) free: u32,
}

/// How the host that took a job answered.
#[derive(Debug, Clone)]
pub(crate) struct Answer {
    /// How it ended.
    pub(crate) end: String,
    /// Why, if it did not end well.
    pub(crate) reason: String,
    /// Placers that had it.
    pub(crate) tries: u32,
}

/// One job.
#[derive(Debug, Clone, Default)]
pub(crate) struct Story {
    /// Second of the day in which it came, as written, to the second.
    pub(crate) second: String,
    /// Its route.
    pub(crate) route: String,
    /// Availability zone of the host that took it.
    pub(crate) zone: String,
    /// The placer's account; none for a job that ended well.
    pub(crate) account: Option<Account>,
    /// The answer; none if it got none.
    pub(crate) answer: Option<Answer>,
    /// Whether its caller went away.
    pub(crate) left: bool,
}

/// All jobs of the logs.
#[derive(Debug, Default)]
pub(crate) struct Stories {
    /// Jobs by id.
    pub(crate) jobs: HashMap<String, Story>,
    /// Calls that were turned away before a job was made of them: time, reason.
    pub(crate) turned_away: Vec<(String, String)>,
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

impl Stories {
    /// Takes a line in.
    pub(crate) fn take(&mut self, line: &Line<'_>) {
        match line.event() {
            "job_sent" => self.sent(line),
            "job_answered" => self.answered(line),
            "caller_left" => self.left(line),
            "placed_job_ended" => self.placed(line),
            "call_refused" => {
                let reason = line.get("reason").unwrap_or("head").to_lowercase();
                self.turned_away.push((second(line), reason));
            }
            "evacuation_started" | "evacuation_drained" | "evacuation_ended" => {
                self.evacuation(line);
            }
            _ => {}
        }
    }

    fn evacuation(&mut self, line: &Line<'_>) {
        let Some(zone) = line.get("zone") else { return };
        let second = second(line);
        let told = self.evacuations.entry(zone.to_owned()).or_default();
        match line.event() {
            "evacuation_drained" => told.drained = second.max(told.drained.clone()),
            "evacuation_ended" => told.ended = second.max(told.ended.clone()),
            _ if told.started.is_empty() || second < told.started => told.started = second,
            _ => {}
        }
    }

    fn job(&mut self, line: &Line<'_>) -> Option<&mut Story> {
        let id = line.get("id")?;
        Some(self.jobs.entry(id.to_owned()).or_default())
    }

    fn sent(&mut self, line: &Line<'_>) {
        let Some(job) = self.job(line) else { return };
        if job.second.is_empty() {
            job.second = second(line);
        }
        job.route = line.get("route").unwrap_or("").to_owned();
    }

    fn answered(&mut self, line: &Line<'_>) {
        let Some(job) = self.job(line) else { return };
        job.zone = line.get("zone").unwrap_or("").to_owned();
        if job.second.is_empty() {
            job.second = second(line);
        }
        job.answer = Some(Answer {
            end: line.get("end").unwrap_or("").to_owned(),
            reason: line.get("reason").unwrap_or("").to_owned(),
            tries: line.number("tries").unwrap_or(0.0) as u32,
        });
    }

    fn left(&mut self, line: &Line<'_>) {
        let Some(job) = self.job(line) else { return };
        job.left = true;
        job.zone = line.get("zone").unwrap_or("").to_owned();
    }

    fn placed(&mut self, line: &Line<'_>) {
        // A task that was passed on is told of by the placer that passed it on.
        if line.get("forwarded") == Some("true") {
            return;
        }
        let Some(job) = self.job(line) else { return };
        job.account = account(line);
    }
}

fn account(line: &Line<'_>) -> Option<Account> {
    let count = |key: &str| line.number(key).unwrap_or(0.0) as u32;
    Some(Account {
        started: line.get("started") == Some("true"),
        ordered_ms: line.number("last_order_ms")?,
        ended_ms: line.number("ms")?,
        objective_ms: line.number("objective_ms")?,
        usual_ms: line.number("usual_ms")?,
        core_s: line.number("core_ms")? / 1_000.0,
        troubled: count("stalled") + count("failed") + count("vanished"),
        free: count("free"),
    })
}

fn second(line: &Line<'_>) -> String {
    line.time.get(..19).unwrap_or("").to_owned()
}
