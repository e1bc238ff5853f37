//! Callers' jobs at the host that took them.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::fleet::job::{Job, JobEnd, Reason};
use crate::{CallId, Peer, Time};

/// Longest time for which a job waits for a host that could place it, in
/// milliseconds: the owner of a zone's workers is replaced within it.
const PLACER_WAIT_MS: u64 = 1_200;
/// How far runs are numbered above those of an earlier try elsewhere: more
/// than one placer ever needs for a task.
const BASE_STEP: u32 = 1_000;

/// A caller's job.
#[derive(Debug)]
pub(crate) struct OpenJob {
    /// The job.
    pub(crate) job: Arc<Job>,
    /// The caller's call.
    pub(crate) call: CallId,
    /// The placer that has it, if any.
    pub(crate) assigned_to: Option<Peer>,
    /// When it was sent there, or the placer was last heard since.
    pub(crate) last_contact: Time,
    /// Placers that have had it.
    pub(crate) tries: u32,
    /// Until when it may wait for a placer.
    pub(crate) assign_deadline: Time,
    /// Whether tasks of it may have been started by a placer that was lost: to
    /// say that it has not run would be a guess from then on.
    pub(crate) may_have_run: bool,
}

/// All open jobs, by this host's number.
#[derive(Debug, Default)]
pub(crate) struct Front {
    /// Jobs.
    pub(crate) open: BTreeMap<u64, OpenJob>,
    calls: HashMap<CallId, u64>,
    serial: u64,
}

impl Front {
    /// Takes a job in; returns its number.
    pub(crate) fn add(&mut self, now: Time, call: CallId, job: Job) -> u64 {
        self.serial += 1;
        let patience = now.after_ms(PLACER_WAIT_MS);
        let job = Arc::new(job);
        let open = OpenJob {
            job,
            call,
            assigned_to: None,
            last_contact: now,
            tries: 0,
            assign_deadline: patience,
            may_have_run: false,
        };
        self.open.insert(self.serial, open);
        self.calls.insert(call, self.serial);
        self.serial
    }

    /// Notes that a job goes to a placer; returns what to send, under a new number.
    ///
    /// A new number, so that a late word from an earlier placer is not taken
    /// for the later one's.
    pub(crate) fn assign(&mut self, now: Time, serial: u64, to: &Peer) -> Option<(u64, Arc<Job>)> {
        let mut open = self.open.remove(&serial)?;
        if open.tries > 0 {
            Arc::make_mut(&mut open.job).run_base += BASE_STEP;
        }
        open.tries += 1;
        open.assigned_to = Some(to.clone());
        open.last_contact = now;
        self.serial += 1;
        let job = open.job.clone();
        self.calls.insert(open.call, self.serial);
        self.open.insert(self.serial, open);
        Some((self.serial, job))
    }

    /// Notes that a job's placer is lost or gave it back; `touched` unless that
    /// placer has told that it started nothing.
    pub(crate) fn unassign(&mut self, now: Time, serial: u64, touched: bool) {
        if let Some(open) = self.open.get_mut(&serial) {
            open.assigned_to = None;
            open.may_have_run |= touched;
            open.assign_deadline = now.after_ms(PLACER_WAIT_MS);
        }
    }

    /// Ends a job; returns it.
    pub(crate) fn end(&mut self, serial: u64) -> Option<OpenJob> {
        let open = self.open.remove(&serial)?;
        self.calls.remove(&open.call);
        Some(open)
    }

    /// Returns the number of a call's job.
    pub(crate) fn serial_of(&self, call: CallId) -> Option<u64> {
        self.calls.get(&call).copied()
    }

    /// Returns whether an id is being worked on for a caller here.
    pub(crate) fn find(&self, id: &str) -> Option<CallId> {
        self.open.values().find(|open| &*open.job.id == id).map(|open| open.call)
    }
}

/// Returns whether a job that ended so may be placed anew: nothing of it runs.
pub(crate) fn retryable(end: &JobEnd) -> bool {
    matches!(end.reason(), Some(Reason::NoPlacer | Reason::PlacerLost))
}
