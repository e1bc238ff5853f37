//! How long a run lasts after contact is lost somewhere between its caller's host and its worker.
//!
//! A run is held by a chain: the front that took the job, the owner that has it, for a forwarded
//! task the helping owner that runs it, and the worker. Each of them may be lost without telling
//! the others, also several at once. All bounds are counted from one instant, the front's last
//! contact with the job's owner, and not from the loss that each of them notices, since those add
//! up along the chain.

use crate::Time;

/// Margin on a lease, in percent, for a slow clock of the worker and the delay of the request.
const MARGIN_PERCENT: u64 = 4;
/// Time after the expiry of a host lease until its tasks have been stopped, in milliseconds: the
/// transit time of stop calls.
const STOP_MARGIN_MS: u64 = 80;

/// What a front knows about the lost owner of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostOwner {
    /// The front's last contact with it.
    pub last_contact: Time,
    /// Whether one host has taken over all of its workers and can be reached.
    pub succeeded: bool,
    /// Whether it may have forwarded tasks of the job.
    pub may_forward: bool,
}

/// Lengths of the two leases under which jobs run, and the bounds that follow from them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Leases {
    host_ms: u64,
    worker_ms: u64,
}

impl Leases {
    /// Creates the bounds of a host lease and a worker lease, in milliseconds.
    pub const fn new(host_ms: u64, worker_ms: u64) -> Self {
        Self { host_ms, worker_ms }
    }

    /// Returns the lease of another host's jobs, in milliseconds: an owner stops them once that
    /// host has echoed no frame that was sent within this time.
    pub const fn host_ms(self) -> u64 {
        self.host_ms
    }

    /// Returns the lease of a worker's runs, in milliseconds of the worker's clock.
    pub const fn worker_ms(self) -> u64 {
        self.worker_ms
    }

    /// Returns the longest time for which a worker runs on after a renewal was sent, in
    /// milliseconds of our clock.
    pub const fn worker_end_ms(self) -> u64 {
        with_margin(self.worker_ms)
    }

    /// Returns the time after the last contact by which an owner has stopped the runs of a job on
    /// its own workers, in milliseconds, if it is alive and reaches them.
    pub const fn stopped_ms(self) -> u64 {
        self.host_ms + STOP_MARGIN_MS
    }

    /// Returns the time after the last contact by which every run of a job has ended, in
    /// milliseconds, whichever links of its chain are lost.
    pub const fn chain_end_ms(self) -> u64 {
        self.host_ms + self.worker_end_ms()
    }

    /// Returns the time after the last contact from which on a job may be started elsewhere, in
    /// milliseconds, whichever links of its chain are lost. Less than the time after which a
    /// caller resubmits its job.
    pub const fn restart_ms(self) -> u64 {
        with_margin(self.chain_end_ms())
    }

    /// Returns when the runs of a job have to end unless its front is heard from again after
    /// `contact`.
    pub fn hold_end(self, contact: Time) -> Time {
        contact.after_ms(self.chain_end_ms())
    }

    /// Returns whether a run that has to end by `hold_end` may be started: a lease that was
    /// granted to its worker for other runs may cover it too.
    pub fn covers_start(self, now: Time, hold_end: Time) -> bool {
        now.after_ms(self.worker_end_ms()) <= hold_end
    }

    /// Returns the length of a worker's lease, in milliseconds of the worker's clock, of which
    /// the runs have to end by `hold_end`; 0 for none.
    pub fn grant_ms(self, now: Time, hold_end: Time) -> u64 {
        let left_ms = hold_end.since(now).as_millis() as u64;
        self.worker_ms.min(left_ms * 100 / (100 + MARGIN_PERCENT))
    }

    /// Returns whether a front may send a job of a lost owner to another one.
    ///
    /// An owner that is alive stops what it runs for a front whose frames no longer arrive. One
    /// that is not stops nothing, but a successor that has all of its workers clears them before
    /// it starts the job. Tasks that the lost owner forwarded run on workers of a third host, which
    /// the successor cannot clear.
    pub fn may_reassign(self, now: Time, lost: LostOwner) -> bool {
        let cleared = lost.succeeded && !lost.may_forward;
        let wait_ms = if cleared { self.stopped_ms() } else { self.restart_ms() };
        lost.last_contact.after_ms(wait_ms) <= now
    }
}

const fn with_margin(ms: u64) -> u64 {
    ms + (ms * MARGIN_PERCENT).div_ceil(100)
}
