//! Guaranteed share of each kind of job when capacity is scarce.
//!
//! Answers demand of twice the capacity and more, when the priorities alone would serve all jobs
//! of one route and hardly any of another: without it, long jobs of the lowest priority got 0.4
//! of their worth where short ones got 1.0, and the longest jobs of a kind got less still.

use std::collections::HashMap;

use endivestile_config::model::Name;

use crate::Time;

/// Share that is guaranteed, relative to the share of all jobs that is served.
const GUARANTEED: f64 = 0.5;
/// Factor on the guaranteed share at admission, since some of the admitted jobs fail later, and
/// estimates that are off by 40% hide some of the largest jobs.
const ADMISSION_MARGIN: f64 = 1.4;
/// Interval at which one job of each route is tried although it is predicted to end too late,
/// in milliseconds. Otherwise estimates that are too long would never be corrected.
const TRY_INTERVAL_MS: u64 = 1_000;
/// Time after which a share 1/e of the counts is left, in milliseconds; longer than most jobs
/// take, shorter than a burst.
const MEMORY_MS: f64 = 4_000.0;
/// Part of a route's jobs whose work is below that of the largest.
const LARGEST: f64 = 0.9;
/// Step of the logarithm of the bound of the largest jobs. Follows a change by a factor of two
/// within some 150 jobs.
const BOUND_STEP: f64 = 0.05;

/// Counts of jobs, decaying over some seconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Counts {
    offered: f64,
    /// Jobs that were accepted and not rejected or lost since.
    served: f64,
}

impl Counts {
    fn share(self) -> f64 {
        if self.offered > 0.0 { self.served / self.offered } else { 1.0 }
    }

    fn scale(&mut self, factor: f64) {
        self.offered *= factor;
        self.served *= factor;
    }
}

/// Jobs of one route.
#[derive(Debug)]
struct RouteCounts {
    all: Counts,
    largest: Counts,
    /// Logarithm of the work from which on a job is among the largest tenth.
    bound_ln: f64,
    /// When a job was last accepted.
    accepted: Time,
}

/// Shares of a service's jobs that are served, in total, by route, and of the largest tenth of
/// each route.
#[derive(Debug, Default)]
pub struct Shares {
    all: Counts,
    routes: HashMap<Name, RouteCounts>,
}

impl Shares {
    /// Counts an arrived job with its work, in microseconds of a core; returns whether it is
    /// among the largest tenth of its route.
    pub fn record_arrival(&mut self, now: Time, route: &Name, work: f64) -> bool {
        let ln = work.max(1.0).ln();
        let new = || RouteCounts {
            all: Counts::default(),
            largest: Counts::default(),
            bound_ln: ln,
            accepted: now,
        };
        let counts = self.routes.entry(route.clone()).or_insert_with(new);
        let largest = ln > counts.bound_ln;
        counts.bound_ln += BOUND_STEP * if largest { LARGEST } else { LARGEST - 1.0 };
        counts.all.offered += 1.0;
        counts.largest.offered += f64::from(u8::from(largest));
        self.all.offered += 1.0;
        largest
    }

    /// Returns whether a job is to be served because its route, or the largest tenth of the
    /// route, gets less than its guaranteed share.
    pub fn guarantees(&self, route: &Name, largest: bool) -> bool {
        let Some(counts) = self.routes.get(route) else { return false };
        let guaranteed = GUARANTEED * ADMISSION_MARGIN * self.all.share();
        let below = |counts: Counts| counts.share() < guaranteed;
        below(counts.all) || (largest && below(counts.largest))
    }

    /// Returns whether no job of a route was accepted for so long that one has to be tried.
    pub fn due_for_try(&self, now: Time, route: &Name) -> bool {
        let counts = self.routes.get(route);
        counts.is_some_and(|counts| counts.accepted.after_ms(TRY_INTERVAL_MS) <= now)
    }

    /// Counts an accepted job as served.
    pub fn record_accepted(&mut self, now: Time, route: &Name, largest: bool) {
        self.add_served(route, largest, 1.0);
        if let Some(counts) = self.routes.get_mut(route) {
            counts.accepted = now;
        }
    }

    /// Takes back an accepted job that was rejected or lost after all.
    pub fn record_unserved(&mut self, route: &Name, largest: bool) {
        self.add_served(route, largest, -1.0);
    }

    fn add_served(&mut self, route: &Name, largest: bool, jobs: f64) {
        let add = |counts: &mut Counts| counts.served = (counts.served + jobs).max(0.0);
        add(&mut self.all);
        if let Some(counts) = self.routes.get_mut(route) {
            add(&mut counts.all);
            if largest {
                add(&mut counts.largest);
            }
        }
    }

    /// Reduces all counts by the decay over some milliseconds.
    pub fn decay(&mut self, elapsed_ms: f64) {
        let factor = (-elapsed_ms / MEMORY_MS).exp();
        self.all.scale(factor);
        for counts in self.routes.values_mut() {
            counts.all.scale(factor);
            counts.largest.scale(factor);
        }
    }
}
