//! The lease of a worker: how long it may last, and when it has to expire.

use super::{Driver, Stage};
use crate::Time;
use crate::fleet::workers::run::TaskRef;

impl Driver {
    /// Returns when the first of its runs has to end unless the host of its job is heard from.
    pub(crate) fn hold_end(&self) -> Time {
        let held = self.runs.values().filter(|run| run.stopped_clock.is_none());
        held.map(|run| run.hold_end).min().unwrap_or(Time::NEVER)
    }

    /// Updates by when its runs have to end, and returns whether that shortens the next lease. A
    /// run that is being stopped keeps its time: its job is not held any more.
    pub(crate) fn update_hold(
        &mut self,
        now: Time,
        hold_end: impl Fn(TaskRef) -> Option<Time>,
    ) -> bool {
        for run in self.runs.values_mut().filter(|run| !run.stopping) {
            if let Some(end) = run.task.and_then(&hold_end) {
                run.hold_end = end;
            }
        }
        self.leases.grant_ms(now, self.hold_end()) < self.leases.worker_ms()
    }

    /// Returns whether a renewal is due.
    pub(crate) fn renewal_due(&self, now: Time) -> bool {
        self.in_flight.is_none() && self.next_renewal <= now
    }

    /// Grants a lease from now on; returns its end on the worker's clock, or none if a run has to
    /// end.
    pub(super) fn grant_lease(&mut self, now: Time) -> Option<u64> {
        let lease_ms = self.leases.grant_ms(now, self.hold_end());
        let lease_until = self.clock_at(now).filter(|_| lease_ms > 0)? + lease_ms;
        self.lease_end = self.lease_end.max(now.after_ms(self.max_lease_ms()));
        Some(lease_until)
    }

    /// Returns whether the lease must expire, since a run could not be stopped or confirmed
    /// in time.
    pub(super) fn withholds_lease(&self, now: Time) -> bool {
        self.runs.values().any(|run| run.stop_deadline <= now)
    }

    /// Returns whether no run of a former owner can be left: they were stopped, or all their
    /// leases have expired.
    pub(crate) fn cleared(&self, now: Time) -> bool {
        self.stage == Stage::Owned || self.token_since.after_ms(self.max_lease_ms()) <= now
    }

    /// Returns the longest duration of a lease by our clock, in milliseconds.
    pub(super) fn max_lease_ms(&self) -> u64 {
        self.leases.worker_end_ms()
    }
}
