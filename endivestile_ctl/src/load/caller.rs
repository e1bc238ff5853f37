//! A caller, which sends submissions one after another.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Shared;
use super::report::{Outcome, Results};
use super::workload::Submission;
use crate::http::{Call, HostClient};

/// Delay after which the start of a submission counts as late.
const LATE_AFTER: Duration = Duration::from_millis(2);
/// Number of ids requested at once when none is left.
const ID_BATCH: usize = 64;

/// A caller, which waits for an answer before it sends the next submission.
#[derive(Debug)]
pub(super) struct Caller<'a> {
    /// State shared by all callers.
    shared: &'a Shared,
    /// Client of this caller.
    http: HostClient,
    /// Unused ids by the host that issued them; only this host starts them.
    ids: HashMap<SocketAddr, Vec<String>>,
    /// Results of its submissions.
    results: Results,
}

impl<'a> Caller<'a> {
    /// Creates a caller without ids and results.
    pub(super) fn new(shared: &'a Shared) -> Self {
        Self { shared, http: HostClient::new(), ids: HashMap::new(), results: Results::default() }
    }

    /// Sends submissions until the load ends.
    pub(super) fn run(mut self) -> Results {
        while let Some(submission) = self.shared.next() {
            self.send(&submission);
        }
        self.results
    }

    /// Sends a submission when it is due and records the outcome.
    fn send(&mut self, submission: &Submission) {
        let id = if submission.needs_id() { self.take_id(submission) } else { None };
        let due = self.wait_until_due(submission);
        self.results.late += u64::from(due.elapsed() > LATE_AFTER);
        let issued = id.is_some() && !self.shared.args.own_ids;
        let call = Call {
            team: &submission.team,
            id: id.as_deref(),
            deadline_ms: self.shared.args.deadline_ms,
            ids: usize::from(issued),
            payload: &submission.payload,
        };
        let answer = self.http.submit(submission.host, &call);
        let took_us = due.elapsed().as_micros() as u64;
        let outcome = match answer {
            Ok(reply) => {
                self.ids.entry(submission.host).or_default().extend(reply.ids);
                Outcome::Class(reply.class)
            }
            Err(call_error) if call_error.sent => Outcome::Lost,
            Err(_) => Outcome::Unreachable,
        };
        let at_us = due.saturating_duration_since(self.shared.start).as_micros() as u64;
        self.results.record(submission, outcome, at_us, took_us, self.shared.args.trace.is_some());
    }

    /// Waits until a submission is due and returns that instant.
    ///
    /// The latency of a late submission counts from when it was due. Otherwise slow
    /// answers would delay the following submissions without showing in the report.
    fn wait_until_due(&self, submission: &Submission) -> Instant {
        let now = Instant::now();
        if self.shared.args.rate.is_none() {
            return now;
        }
        let due = self.shared.start + Duration::from_micros(submission.at_us);
        thread::sleep(due.saturating_duration_since(now));
        due
    }

    /// Returns an id for a submission: generated, or issued by its host.
    fn take_id(&mut self, submission: &Submission) -> Option<String> {
        if self.shared.args.own_ids {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let seed = self.shared.args.seed;
            let (secs, nanos) = (since_epoch.as_secs(), since_epoch.subsec_nanos());
            return Some(format!("{secs}:load-{seed}-{}-{nanos}", submission.serial));
        }
        let ids = self.ids.entry(submission.host).or_default();
        if ids.is_empty() {
            // If no id is issued, the host rejects the call, and the report shows that.
            *ids = self.http.issue_ids(submission.host, ID_BATCH).unwrap_or_default();
        }
        ids.pop()
    }
}
