//! Why a job was not served in time: one cause a job.

use serde::Serialize;

use super::story::{Account, Answer, Story};

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
pub(crate) fn cause(story: &Story) -> Option<Cause> {
    if story.left {
        return Some(Cause::CallerLeft);
    }
    let Some(answer) = &story.answer else { return Some(Cause::NoAnswer) };
    match answer.end.as_str() {
        "done" => late(answer, story.account.as_ref()),
        "failed" => Some(Cause::FailedItself),
        "not_run" => Some(refused(answer, story.account.as_ref())),
        _ => Some(lost(answer, story.account.as_ref())),
    }
}

/// Returns why a job that ended well ended late.
fn late(answer: &Answer, account: Option<&Account>) -> Option<Cause> {
    let account = account.filter(|account| account.ended_ms > account.objective_ms);
    // A job that was handed from one placer to the next ends in time by the
    // later one's count, or says nothing there.
    if answer.tries > 1 {
        return Some(Cause::OwnerLost);
    }
    account.map(delayed)
}

/// Returns what delayed a job that was begun.
fn delayed(account: &Account) -> Cause {
    if account.troubled > 0 {
        Cause::RunTrouble
    } else if account.ordered_ms + account.usual_ms > account.objective_ms {
        Cause::WaitedBehind
    } else {
        Cause::SlowWorker
    }
}

fn refused(answer: &Answer, account: Option<&Account>) -> Cause {
    match (answer.reason.as_str(), account) {
        ("no_config", _) => Cause::NoRoute,
        ("evacuated", _) => Cause::Evacuated,
        ("no_placer", _) => Cause::NoOwner,
        ("overload" | "deadline", Some(account)) if account.free > 0 => Cause::RefusedWithRoom,
        ("overload" | "deadline", _) => Cause::RefusedFull,
        _ => Cause::Other,
    }
}

/// Returns why a job was given up after it had begun, or without anybody knowing.
fn lost(answer: &Answer, account: Option<&Account>) -> Cause {
    match (answer.reason.as_str(), account) {
        ("placer_lost", _) => Cause::OwnerLost,
        ("deadline", Some(account)) if account.started => delayed(account),
        ("deadline", Some(_)) => Cause::WaitedBehind,
        ("deadline", None) => Cause::OwnerLost,
        ("cancelled", _) => Cause::CallerLeft,
        _ => Cause::Other,
    }
}
