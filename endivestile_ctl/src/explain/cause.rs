//! Finds the cause why a job was not served in time.

use serde::Serialize;

use super::record::{Answer, JobRecord, OwnerRecord};

/// Cause that kept a job from being served in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Cause {
    /// No configuration was known, or none with its route.
    NoRoute,
    /// Operators had evacuated every zone that could run it.
    Evacuated,
    /// No owner of workers was reachable.
    NoOwner,
    /// Its owner was lost, or lost its workers.
    OwnerLost,
    /// It waited behind other jobs until its objective could not be met.
    WaitedBehind,
    /// It was started in time, on a worker too slow for its objective.
    SlowWorker,
    /// One of its runs stalled, failed or vanished.
    RunTrouble,
    /// It was refused while its owner had free capacity.
    RefusedWithRoom,
    /// It was refused while its owner had no free capacity.
    RefusedFull,
    /// One of its tasks failed as often as its route allows.
    FailedItself,
    /// One of its tasks crashed as many workers as one task may.
    CrashedWorkers,
    /// Its caller disconnected.
    CallerLeft,
    /// The logs hold no answer: the host that accepted it crashed, or the log ends.
    NoAnswer,
    /// Another cause; the host's answer gives the reason.
    Other,
}

/// Returns why a job was not served in time; `None` if it was.
pub(crate) fn find_cause(job: &JobRecord) -> Option<Cause> {
    if job.caller_left {
        return Some(Cause::CallerLeft);
    }
    let Some(answer) = &job.answer else { return Some(Cause::NoAnswer) };
    match answer.end.as_str() {
        "done" => late_cause(answer, job),
        "failed" if answer.reason == "crashes" => Some(Cause::CrashedWorkers),
        "failed" => Some(Cause::FailedItself),
        "not_run" => Some(refusal_cause(answer, job)),
        _ => Some(lost_cause(answer, job.owner_record.as_ref())),
    }
}

/// Returns why a completed job was late; `None` if it was not.
fn late_cause(answer: &Answer, job: &JobRecord) -> Option<Cause> {
    let record = job.owner_record.as_ref();
    let record = record.filter(|record| record.ended_ms > record.objective_ms);
    // For a job that changed owners, the last owner's record shows it as in time or is missing.
    // One that an owner rejected was sent to another one without a loss.
    if answer.attempts > 1 + job.rejections {
        return Some(Cause::OwnerLost);
    }
    record.map(delay_cause)
}

/// Returns what delayed a job that was started.
fn delay_cause(record: &OwnerRecord) -> Cause {
    if record.failed_runs > 0 {
        Cause::RunTrouble
    } else if record.dispatched_ms + record.typical_ms > record.objective_ms {
        Cause::WaitedBehind
    } else {
        Cause::SlowWorker
    }
}

/// Returns why a job was refused.
fn refusal_cause(answer: &Answer, job: &JobRecord) -> Cause {
    match (answer.reason.as_str(), job.owner_record.as_ref()) {
        ("no_room", _) if job.rejected_with_room => Cause::RefusedWithRoom,
        ("no_room", _) => Cause::RefusedFull,
        ("no_config", _) => Cause::NoRoute,
        ("evacuated", _) => Cause::Evacuated,
        ("no_placer", _) => Cause::NoOwner,
        ("overload" | "deadline", Some(record)) if record.free_workers > 0 => {
            Cause::RefusedWithRoom
        }
        ("overload" | "deadline", _) => Cause::RefusedFull,
        _ => Cause::Other,
    }
}

/// Returns why a job was given up although it may have started.
fn lost_cause(answer: &Answer, record: Option<&OwnerRecord>) -> Cause {
    match (answer.reason.as_str(), record) {
        ("placer_lost", _) => Cause::OwnerLost,
        ("deadline", Some(record)) if record.started => delay_cause(record),
        ("deadline", Some(_)) => Cause::WaitedBehind,
        ("deadline", None) => Cause::OwnerLost,
        ("cancelled", _) => Cause::CallerLeft,
        _ => Cause::Other,
    }
}
