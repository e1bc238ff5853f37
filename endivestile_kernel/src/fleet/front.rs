//! The front's state: jobs that callers of this host wait for.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::fleet::job::{Job, JobEnd, Reason};
use crate::fleet::placement::zone_figures::ZoneFigures;
use crate::{CallId, Peer, Time};

/// Longest wait of a job for a reachable owner, in milliseconds; enough for a successor to
/// take over the workers of a zone.
const OWNER_WAIT_MS: u64 = 1_200;
/// Distance between the run numbers that consecutive owners of a job start from; more than
/// one owner needs for a task.
const RUN_BASE_STEP: u32 = 1_000;

/// A job whose caller waits for the answer.
#[derive(Debug)]
pub(crate) struct OpenJob {
    /// The job.
    pub(crate) job: Arc<Job>,
    /// The open call.
    pub(crate) call: CallId,
    /// The owner that has the job; `None` while it waits for one.
    pub(crate) assigned_to: Option<Peer>,
    /// When the job was sent to its owner, or the owner's last frame since.
    pub(crate) last_contact: Time,
    /// Number of times that the job was sent to an owner.
    pub(crate) tries: u32,
    /// Until when the job may wait for an owner.
    pub(crate) assign_deadline: Time,
    /// Whether a former owner may have started tasks of the job, in which case the
    /// response must not say that the job has not run.
    pub(crate) may_have_run: bool,
    /// Whether the job was sent to another zone although its own has an owner.
    pub(crate) sent_away: bool,
    /// Whether its owner may have forwarded tasks of it.
    pub(crate) may_forward: bool,
}

/// All open jobs.
#[derive(Debug, Default)]
pub(crate) struct Front {
    /// Open jobs by this host's serial number.
    pub(crate) open: BTreeMap<u64, OpenJob>,
    /// Load of all zones; empty without [`Mechanism::ZoneBalance`].
    ///
    /// [`Mechanism::ZoneBalance`]: endivestile_config::Mechanism::ZoneBalance
    pub(crate) zones: ZoneFigures,
    calls: HashMap<CallId, u64>,
    serial: u64,
}

impl Front {
    /// Adds a job; returns its serial number.
    pub(crate) fn add(&mut self, now: Time, call: CallId, job: Job) -> u64 {
        self.serial += 1;
        let assign_deadline = now.after_ms(OWNER_WAIT_MS);
        let job = Arc::new(job);
        let open = OpenJob {
            job,
            call,
            assigned_to: None,
            last_contact: now,
            tries: 0,
            assign_deadline,
            may_have_run: false,
            sent_away: false,
            may_forward: false,
        };
        self.open.insert(self.serial, open);
        self.calls.insert(call, self.serial);
        self.serial
    }

    /// Assigns a job to an owner, which may forward tasks of it without a notice if `may_forward`;
    /// returns the job with a new serial number.
    ///
    /// The number changes so that a delayed message from an earlier owner is not mistaken
    /// for one from the new owner.
    pub(crate) fn assign(
        &mut self,
        now: Time,
        serial: u64,
        owner: &Peer,
        may_forward: bool,
    ) -> Option<(u64, Arc<Job>)> {
        let mut open = self.open.remove(&serial)?;
        if open.tries > 0 {
            Arc::make_mut(&mut open.job).run_base += RUN_BASE_STEP;
        }
        open.tries += 1;
        open.assigned_to = Some(owner.clone());
        open.last_contact = now;
        open.may_forward = may_forward;
        self.serial += 1;
        let job = open.job.clone();
        self.calls.insert(open.call, self.serial);
        self.open.insert(self.serial, open);
        Some((self.serial, job))
    }

    /// Records that an owner may forward tasks of a job; returns whether it has the job.
    pub(crate) fn note_forward(&mut self, owner: &Peer, serial: u64) -> bool {
        let open = self.open.get_mut(&serial);
        let Some(open) = open.filter(|open| open.assigned_to.as_ref() == Some(owner)) else {
            return false;
        };
        open.may_forward = true;
        true
    }

    /// Records that a job's owner was lost or returned the job; `may_have_run` is false only
    /// if the owner reported that it started nothing.
    pub(crate) fn unassign(&mut self, now: Time, serial: u64, may_have_run: bool) {
        if let Some(open) = self.open.get_mut(&serial) {
            open.assigned_to = None;
            open.may_have_run |= may_have_run;
            open.assign_deadline = now.after_ms(OWNER_WAIT_MS);
        }
    }

    /// Removes a job that has ended and returns it.
    pub(crate) fn end(&mut self, serial: u64) -> Option<OpenJob> {
        let open = self.open.remove(&serial)?;
        self.calls.remove(&open.call);
        Some(open)
    }

    /// Returns the serial number of a call's job.
    pub(crate) fn serial_of(&self, call: CallId) -> Option<u64> {
        self.calls.get(&call).copied()
    }

    /// Returns the open call whose job has this id.
    pub(crate) fn find(&self, id: &str) -> Option<CallId> {
        self.open.values().find(|open| &*open.job.id == id).map(|open| open.call)
    }
}

/// Returns whether a job with this result can be assigned again: its owner was the cause,
/// and no run of it is in progress.
pub(crate) fn retryable(end: &JobEnd) -> bool {
    matches!(end.reason(), Some(Reason::NoPlacer | Reason::PlacerLost))
}
