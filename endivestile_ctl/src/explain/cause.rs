//! Why a job was not served in time: one cause a job.

use serde::Serialize;

use super::record::{Answer, JobRecord, OwnerRecord};

/// What kept a job from being served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Cause {
    /// No configuration was known, or none with its route.
    NoRoute,
    /// Operators had evacuated every zone that could run it.
    Evacuated,
    /// No owner of workers was in reach.
    NoOwner,
    /// The owner that had it was lost or lost its workers.
    OwnerLost,
    /// Others went before it until its objective was out of reach.
    WaitedBehind,
    /// It was begun in time, on a worker too slow for its objective.
    SlowWorker,
    /// A run of it stalled, failed or came to no end.
    RunTrouble,
    /// It was refused while its owner had room.
    RefusedWithRoom,
    /// It was refused while its owner had no room.
    RefusedFull,
    /// A task of it failed as often as its route allows.
    FailedItself,
    /// Its caller went away.
    CallerLeft,
    /// No answer is in the logs: the host that took it died, or the log ends.
    NoAnswer,
    /// Something else; the reason stands in the host's answer.
    Other,
}

/// Returns why a job was not served in time; none if it was.
pub(crate) fn find_cause(job: &JobRecord) -> Option<Cause> {
    if job.caller_left {
        return Some(Cause::CallerLeft);
    }
    let Some(answer) = &job.answer else { return Some(Cause::NoAnswer) };
    match answer.end.as_str() {
        "done" => late_cause(answer, job.owner_record.as_ref()),
        "failed" => Some(Cause::FailedItself),
        "not_run" => Some(refusal_cause(answer, job.owner_record.as_ref())),
        _ => Some(lost_cause(answer, job.owner_record.as_ref())),
    }
}

/// Returns why a job that ended well ended late.
fn late_cause(answer: &Answer, owner_record: Option<&OwnerRecord>) -> Option<Cause> {
    let owner_record =
        owner_record.filter(|owner_record| owner_record.ended_ms > owner_record.objective_ms);
    // A job that was handed from one placer to the next ends in time by the
    // later one's count, or says nothing there.
    if answer.attempts > 1 {
        return Some(Cause::OwnerLost);
    }
    owner_record.map(delay_cause)
}

/// Returns what delayed a job that was begun.
fn delay_cause(owner_record: &OwnerRecord) -> Cause {
    if owner_record.failed_runs > 0 {
        Cause::RunTrouble
    } else if owner_record.dispatched_ms + owner_record.typical_ms > owner_record.objective_ms {
        Cause::WaitedBehind
    } else {
        Cause::SlowWorker
    }
}

fn refusal_cause(answer: &Answer, owner_record: Option<&OwnerRecord>) -> Cause {
    match (answer.reason.as_str(), owner_record) {
        ("no_config", _) => Cause::NoRoute,
        ("evacuated", _) => Cause::Evacuated,
        ("no_placer", _) => Cause::NoOwner,
        ("overload" | "deadline", Some(owner_record)) if owner_record.free_capacity > 0 => {
            Cause::RefusedWithRoom
        }
        ("overload" | "deadline", _) => Cause::RefusedFull,
        _ => Cause::Other,
    }
}

/// Returns why a job was given up after it had begun, or without anybody knowing.
fn lost_cause(answer: &Answer, owner_record: Option<&OwnerRecord>) -> Cause {
    match (answer.reason.as_str(), owner_record) {
        ("placer_lost", _) => Cause::OwnerLost,
        ("deadline", Some(owner_record)) if owner_record.started => delay_cause(owner_record),
        ("deadline", Some(_)) => Cause::WaitedBehind,
        ("deadline", None) => Cause::OwnerLost,
        ("cancelled", _) => Cause::CallerLeft,
        _ => Cause::Other,
    }
}
