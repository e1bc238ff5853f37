//! Replays a trace and records the outcome of each submission.

use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use endivestile_lab::{Arrival, Kind};
use endivestile_testkit::{Caller, Reply, echo};

use crate::fault::{FaultKind, sleep_until};
use crate::spec::{IdKind, SERVICE, Spec, TEAMS};

/// Stack size of a caller's thread, in bytes.
const STACK_BYTES: usize = 256 << 10;

/// How one submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmissionEnd {
    /// The complete and correct answer.
    Complete,
    /// An answer with other results than expected.
    Wrong,
    /// Refused as not run.
    NotRun,
    /// Refused, and unknown whether it ran.
    Unknown,
    /// Failed.
    Failed,
    /// Cancelled.
    Cancelled,
    /// The connection failed or broke.
    Broken,
}

/// Outcome of one submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    /// Index in the trace.
    pub(crate) index: usize,
    /// How the submission ended.
    pub(crate) end: SubmissionEnd,
    /// Time from its scheduled arrival to the answer, in milliseconds.
    pub(crate) response_ms: f64,
}

/// Callers of all hosts, and the ids of a slice's submissions.
#[derive(Debug)]
pub(crate) struct Replayer {
    /// Callers by host, then by team.
    callers: Vec<Vec<Caller>>,
    /// Name of the slice, a prefix that keeps its works and ids unique.
    slice: String,
    /// Ids by index in the trace.
    ids: Vec<String>,
}

impl Replayer {
    /// Prepares the replay of a slice through the hosts at these addresses, with callers that have
    /// the settings of `base_caller`.
    pub(crate) fn new(
        spec: &Spec,
        base_caller: &Caller,
        addresses: &[std::net::SocketAddr],
        slice: &str,
        arrivals: &[Arrival],
    ) -> Result<Self, ureq::Error> {
        let callers: Vec<Vec<Caller>> = addresses
            .iter()
            .map(|address| {
                TEAMS.iter().map(|team| base_caller.with_address(address).team(team)).collect()
            })
            .collect();
        let mut unused_by_host = vec![Vec::new(); callers.len()];
        let mut ids = Vec::new();
        for n in 0..arrivals.len() {
            let host = n % callers.len();
            ids.push(match spec.ids {
                IdKind::Dated => Caller::own_id(&format!("{slice}-{n}")),
                IdKind::Minted => next_id(&callers[host][0], &mut unused_by_host[host])?,
            });
        }
        Ok(Self { callers, slice: slice.to_owned(), ids })
    }

    /// Submits all arrivals at their scheduled times and waits for all answers.
    pub(crate) fn replay(
        &self,
        spec: &Spec,
        arrivals: &[Arrival],
        started: Instant,
    ) -> Vec<Outcome> {
        let (sender, outcomes) = channel();
        thread::scope(|scope| {
            if spec.fault == FaultKind::Cancel {
                scope.spawn(|| self.cancel(spec, arrivals, started));
            }
            for (index, arrival) in arrivals.iter().enumerate() {
                let at = started + Duration::from_micros(arrival.at_us);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let sender = sender.clone();
                let run = move || self.submit(index, arrival, at, &sender);
                let thread =
                    thread::Builder::new().stack_size(STACK_BYTES).spawn_scoped(scope, run);
                if let Err(err) = thread {
                    eprintln!("event=caller_not_started error={err}");
                }
            }
        });
        drop(sender);
        outcomes.into_iter().collect()
    }

    /// Makes one submission and sends its outcome to the replay.
    fn submit(&self, index: usize, arrival: &Arrival, at: Instant, sender: &Sender<Outcome>) {
        let caller = &self.callers[index % self.callers.len()][arrival.team];
        let works = self.works(index, arrival);
        let id = &self.ids[index];
        let reply = match arrival.kind {
            Kind::Idempotent => caller.request(SERVICE, None, &works[0]),
            Kind::NonIdempotent => caller.request(SERVICE, Some(id), &works[0]),
            Kind::Job => caller.submit_job(SERVICE, id, &works),
        };
        let response_ms = at.elapsed().as_secs_f64() * 1_000.0;
        let end =
            reply.map_or(SubmissionEnd::Broken, |reply| classify(&reply, arrival.kind, &works));
        // The receiver outlives the threads.
        let _ = sender.send(Outcome { index, end, response_ms });
    }

    /// Returns the works of a submission's tasks.
    fn works(&self, index: usize, arrival: &Arrival) -> Vec<String> {
        let work =
            |(n, ms): (usize, &f64)| format!(r#"{{"key":"{}-{index}-{n}","ms":{ms}}}"#, self.slice);
        arrival.tasks_ms.iter().enumerate().map(work).collect()
    }

    /// Cancels every submission with an id that arrived before the start of the fault.
    fn cancel(&self, spec: &Spec, arrivals: &[Arrival], started: Instant) {
        sleep_until(started, spec.from_ms);
        for (index, arrival) in arrivals.iter().enumerate() {
            if arrival.kind != Kind::Idempotent && arrival.at_us < spec.from_ms * 1_000 {
                let caller = &self.callers[index % self.callers.len()][arrival.team];
                // The submission's own answer shows whether it was cancelled.
                let _ = caller.cancel(&self.ids[index]);
            }
        }
    }
}

/// Takes an id from `unused_ids`, which it refills from the host when it is empty.
fn next_id(caller: &Caller, unused_ids: &mut Vec<String>) -> Result<String, ureq::Error> {
    const BATCH: usize = 1_000;
    if unused_ids.is_empty() {
        *unused_ids = caller.fetch_ids(BATCH)?;
    }
    unused_ids.pop().ok_or(ureq::Error::BadUri("the host issued no ids".into()))
}

/// Classifies a reply by its status and by the results expected for `works`.
fn classify(reply: &Reply, kind: Kind, works: &[String]) -> SubmissionEnd {
    let expected: Vec<String> = works.iter().map(|work| echo(work)).collect();
    let correct = match kind {
        Kind::Job => reply.answer().and_then(|answer| answer.results) == Some(expected),
        _ => reply.body == expected[0],
    };
    match (reply.status, reply.status_text().as_str()) {
        (200, _) if correct => SubmissionEnd::Complete,
        (200, _) => SubmissionEnd::Wrong,
        (503, "not run") => SubmissionEnd::NotRun,
        (503, _) => SubmissionEnd::Unknown,
        (409, "cancelled") => SubmissionEnd::Cancelled,
        _ => SubmissionEnd::Failed,
    }
}
