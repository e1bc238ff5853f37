//! Replays a trace and notes what came back.

use std::sync::mpsc::{Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use endivestile_lab::{Arrival, Kind};
use endivestile_testkit::{Caller, Reply, echo};

use crate::fault::{FaultKind, sleep_until};
use crate::spec::{IdKind, SERVICE, Spec, TEAMS};

/// Stack of a caller's thread, in bytes.
const STACK: usize = 256 << 10;

/// How one submission ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SubmissionEnd {
    /// The whole and right answer.
    Complete,
    /// An answer that is not the one to this submission.
    Wrong,
    /// Refused as not run.
    NotRun,
    /// Refused as unknown.
    Unknown,
    /// Failed.
    Failed,
    /// Cancelled.
    Cancelled,
    /// The connection failed or broke.
    Broken,
}

/// What came back for one submission.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Outcome {
    /// Index in the trace.
    pub(crate) index: usize,
    /// How it ended.
    pub(crate) end: SubmissionEnd,
    /// Time from its scheduled arrival to its answer, in milliseconds.
    pub(crate) response_ms: f64,
}

/// Callers of all hosts, and ids that the hosts minted.
#[derive(Debug)]
pub(crate) struct Replayer {
    /// Callers by host, then by team.
    callers: Vec<Vec<Caller>>,
    /// Prefix that makes works and ids of this slice its own.
    slice: String,
    /// Ids by index in the trace.
    ids: Vec<String>,
}

impl Replayer {
    /// Prepares the replay of a slice by the hosts at these addresses.
    pub(crate) fn new(
        spec: &Spec,
        agent: &Caller,
        addresses: &[std::net::SocketAddr],
        slice: &str,
        arrivals: &[Arrival],
    ) -> Result<Self, ureq::Error> {
        let callers: Vec<Vec<Caller>> = addresses
            .iter()
            .map(|address| {
                TEAMS.iter().map(|team| agent.with_address(address).team(team)).collect()
            })
            .collect();
        let mut stocks = vec![Vec::new(); callers.len()];
        let mut ids = Vec::new();
        for n in 0..arrivals.len() {
            let host = n % callers.len();
            ids.push(match spec.ids {
                IdKind::Dated => Caller::own_id(&format!("{slice}-{n}")),
                IdKind::Minted => mint(&callers[host][0], &mut stocks[host])?,
            });
        }
        Ok(Self { callers, slice: slice.to_owned(), ids })
    }

    /// Submits all arrivals at their times and waits for all answers.
    pub(crate) fn replay(&self, spec: &Spec, arrivals: &[Arrival], began: Instant) -> Vec<Outcome> {
        let (sender, outcomes) = channel();
        thread::scope(|scope| {
            if spec.fault == FaultKind::Cancel {
                scope.spawn(|| self.cancel(spec, arrivals, began));
            }
            for (index, arrival) in arrivals.iter().enumerate() {
                let at = began + Duration::from_micros(arrival.at_us);
                thread::sleep(at.saturating_duration_since(Instant::now()));
                let sender = sender.clone();
                let run = move || self.submit(index, arrival, at, &sender);
                let thread = thread::Builder::new().stack_size(STACK).spawn_scoped(scope, run);
                if let Err(err) = thread {
                    eprintln!("event=caller_not_started error={err}");
                }
            }
        });
        drop(sender);
        outcomes.into_iter().collect()
    }

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
        let end = reply.map_or(SubmissionEnd::Broken, |reply| judge(&reply, arrival.kind, &works));
        // The receiver lasts longer than the threads.
        let _ = sender.send(Outcome { index, end, response_ms });
    }

    fn works(&self, index: usize, arrival: &Arrival) -> Vec<String> {
        let work =
            |(n, ms): (usize, &f64)| format!(r#"{{"key":"{}-{index}-{n}","ms":{ms}}}"#, self.slice);
        arrival.tasks_ms.iter().enumerate().map(work).collect()
    }

    /// Cancels every submission with an id that arrived before the fault's time.
    fn cancel(&self, spec: &Spec, arrivals: &[Arrival], began: Instant) {
        sleep_until(began, spec.from_ms);
        for (index, arrival) in arrivals.iter().enumerate() {
            if arrival.kind != Kind::Idempotent && arrival.at_us < spec.from_ms * 1_000 {
                let caller = &self.callers[index % self.callers.len()][arrival.team];
                // Whether it was cancelled shows in the submission's own answer.
                let _ = caller.cancel(&self.ids[index]);
            }
        }
    }
}

fn mint(caller: &Caller, stock: &mut Vec<String>) -> Result<String, ureq::Error> {
    const BLOCK: usize = 1_000;
    if stock.is_empty() {
        *stock = caller.fetch_ids(BLOCK)?;
    }
    stock.pop().ok_or(ureq::Error::BadUri("no ids were minted".into()))
}

fn judge(reply: &Reply, kind: Kind, works: &[String]) -> SubmissionEnd {
    let expected: Vec<String> = works.iter().map(|work| echo(work)).collect();
    let right = match kind {
        Kind::Job => reply.answer().and_then(|answer| answer.results) == Some(expected),
        _ => reply.body == expected[0],
    };
    match (reply.status, reply.status_text().as_str()) {
        (200, _) if right => SubmissionEnd::Complete,
        (200, _) => SubmissionEnd::Wrong,
        (503, "not run") => SubmissionEnd::NotRun,
        (503, _) => SubmissionEnd::Unknown,
        (409, "cancelled") => SubmissionEnd::Cancelled,
        _ => SubmissionEnd::Failed,
    }
}
