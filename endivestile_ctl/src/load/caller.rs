//! One caller of the load.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::Shared;
use super::plan::Shot;
use super::report::{Ending, Tally};
use crate::http::{Call, Http};

/// How far behind its time a submission may start without being counted as late.
const LATE: Duration = Duration::from_millis(2);
/// Ids that are asked for at once when none is left.
const BLOCK: usize = 64;

/// One caller: it waits for an answer before it sends the next submission.
#[derive(Debug)]
pub(super) struct Caller<'a> {
    /// What all callers share.
    shared: &'a Shared,
    /// Connections of this caller.
    http: Http,
    /// Issued ids by the host that issued them and alone may start them.
    ids: HashMap<SocketAddr, Vec<String>>,
    /// What came back.
    tally: Tally,
}

impl<'a> Caller<'a> {
    /// Makes a caller.
    pub(super) fn new(shared: &'a Shared) -> Self {
        Self { shared, http: Http::new(), ids: HashMap::new(), tally: Tally::default() }
    }

    /// Sends until the load ends.
    pub(super) fn run(mut self) -> Tally {
        while let Some(shot) = self.shared.next() {
            self.shoot(&shot);
        }
        self.tally
    }

    fn shoot(&mut self, shot: &Shot) {
        let id = if shot.needs_id() { self.id(shot) } else { None };
        let due = self.due(shot);
        self.tally.late += u64::from(due.elapsed() > LATE);
        let issued = id.is_some() && !self.shared.args.own_ids;
        let call = Call {
            team: &shot.team,
            id: id.as_deref(),
            deadline_ms: self.shared.args.deadline_ms,
            ids: usize::from(issued),
            work: &shot.work,
        };
        let answer = self.http.submit(shot.host, &call);
        let took_us = due.elapsed().as_micros() as u64;
        let ending = match answer {
            Ok(reply) => {
                self.ids.entry(shot.host).or_default().extend(reply.ids);
                Ending::Class(reply.class)
            }
            Err(silence) if silence.sent => Ending::Lost,
            Err(_) => Ending::Refused,
        };
        let at_us = due.saturating_duration_since(self.shared.start).as_micros() as u64;
        self.tally.record(shot, ending, at_us, took_us, self.shared.args.trace.is_some());
    }

    /// Waits until the shot is due and returns that instant. A shot that is
    /// late, because all callers were busy, counts from when it was due; else
    /// slow answers would hide by slowing the load down.
    fn due(&self, shot: &Shot) -> Instant {
        let now = Instant::now();
        if self.shared.args.rate.is_none() {
            return now;
        }
        let due = self.shared.start + Duration::from_micros(shot.at_us);
        thread::sleep(due.saturating_duration_since(now));
        due
    }

    fn id(&mut self, shot: &Shot) -> Option<String> {
        if self.shared.args.own_ids {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let seed = self.shared.args.seed;
            let (secs, nanos) = (since.as_secs(), since.subsec_nanos());
            return Some(format!("{secs}:load-{seed}-{}-{nanos}", shot.serial));
        }
        let ids = self.ids.entry(shot.host).or_default();
        if ids.is_empty() {
            // Without an id the host refuses the call, and the report shows that.
            *ids = self.http.mint(shot.host, BLOCK).unwrap_or_default();
        }
        ids.pop()
    }
}
