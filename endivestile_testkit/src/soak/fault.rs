//! Random schedule of faults, reproducible by its seed.

use rand::Rng;
use rand::rngs::SmallRng;

use super::relay::Impairment;

/// A temporary fault. Hosts, workers and zones are given by index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Pauses a host's process.
    Pause(usize),
    /// Kills a host's process and restarts it when the fault ends.
    Kill(usize),
    /// Stops a host gracefully and restarts it when the fault ends.
    Stop(usize),
    /// Requests that a host reload its settings.
    Reload(usize),
    /// Impairs the connections of all other hosts to a host.
    Links(usize, Impairment),
    /// Impairs the connections of a host to the store.
    Store(usize, Impairment),
    /// Impairs the connections of all hosts to a worker.
    Worker(usize, Impairment),
    /// Makes every run of a worker fail.
    Errors(usize),
    /// Makes the runs of a worker hang.
    Hangs(usize),
    /// Makes the store refuse every call.
    Refuse,
    /// Evacuates a zone until the fault ends.
    Evacuate(usize),
    /// Sends a crowd of clients to a host, which stays until the fault ends.
    Crowd(usize, CrowdKind),
}

/// What the clients of a crowd send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrowdKind {
    /// Bodies that stop short of their end.
    Short,
    /// Complete bodies.
    Whole,
    /// Bodies in chunks of one byte without an end.
    Chunks,
    /// Heads without an end.
    Heads,
    /// Requests whose answers are not read.
    Unread,
}

/// A scheduled fault. Times are in milliseconds from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    /// The fault.
    pub(crate) fault: Fault,
    /// Time at which it begins.
    pub(crate) from: u64,
    /// Time at which it ends.
    pub(crate) until: u64,
}

/// Longest fault, in milliseconds; several times longer than any lease.
const MAX_FAULT_MS: u64 = 3_000;
/// Time between the starts of two faults, in milliseconds; shorter than most
/// faults, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 150..1_200;

/// Time between two resets of a series, in milliseconds: shorter and longer than any delay after
/// which a message is sent again.
const RESET_INTERVAL_MS: std::ops::Range<u64> = 100..2_000;
/// Number of resets in a series.
const RESETS: std::ops::Range<u64> = 3..9;
/// Length of one reset of a series, in milliseconds.
const RESET_MS: u64 = 2;

/// Time between two losses that belong together, in milliseconds: up to the host lease and more.
const LOSS_GAP_MS: std::ops::Range<u64> = 0..600;
/// Length of such a loss, in milliseconds; longer than all leases of a run together.
const LOSS_MS: std::ops::Range<u64> = 1_500..2_500;
/// Time for callers to fill a zone, in milliseconds.
const FILL_MS: u64 = 1_200;

/// Time between the starts of two crowds, in milliseconds.
const CROWD_GAP_MS: std::ops::Range<u64> = 500..2_500;

/// Draws the faults of a run that begin within `ms` milliseconds.
pub(crate) fn plan_faults(
    rng: &mut SmallRng,
    ms: u64,
    hosts: usize,
    workers: usize,
) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let mut at = rng.random_range(GAP_MS);
    while at < ms {
        let duration = rng.random_range(100..MAX_FAULT_MS);
        plan.push(PlannedFault {
            fault: draw_fault(rng, hosts, workers),
            from: at,
            until: at + duration,
        });
        // One in five faults begins at the same time as the one before.
        if rng.random_range(0..5) > 0 {
            at += rng.random_range(GAP_MS);
        }
    }
    plan
}

/// Draws the evacuations of a run that begin within `ms` milliseconds.
pub(crate) fn plan_evacuations(rng: &mut SmallRng, ms: u64, zones: usize) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let mut at = rng.random_range(GAP_MS);
    while at < ms {
        let until = at + rng.random_range(100..MAX_FAULT_MS);
        let fault = Fault::Evacuate(rng.random_range(0..zones));
        plan.push(PlannedFault { fault, from: at, until });
        at = until + rng.random_range(GAP_MS);
    }
    plan
}

/// Draws series of resets that begin within `ms` milliseconds: connections come up between two
/// resets, but each lasts no longer than the interval. Series of different hosts overlap.
pub(crate) fn plan_reset_series(rng: &mut SmallRng, ms: u64, hosts: usize) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let mut at = rng.random_range(GAP_MS);
    while at < ms {
        let fault = Fault::Links(rng.random_range(0..hosts), Impairment::Reset);
        let interval = rng.random_range(RESET_INTERVAL_MS);
        let resets = rng.random_range(RESETS);
        plan.extend((0..resets).map(|number| {
            let from = at + number * interval;
            PlannedFault { fault, from, until: from + RESET_MS }
        }));
        at += rng.random_range(GAP_MS);
    }
    plan
}

/// Draws crowds of clients that begin within `ms` milliseconds; those of different hosts overlap.
pub(crate) fn plan_crowds(rng: &mut SmallRng, ms: u64, hosts: usize) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let mut at = rng.random_range(GAP_MS);
    while at < ms {
        let kind = match rng.random_range(0..5) {
            0 => CrowdKind::Short,
            1 => CrowdKind::Whole,
            2 => CrowdKind::Chunks,
            3 => CrowdKind::Heads,
            _ => CrowdKind::Unread,
        };
        let fault = Fault::Crowd(rng.random_range(0..hosts), kind);
        plan.push(PlannedFault {
            fault,
            from: at,
            until: at + rng.random_range(500..MAX_FAULT_MS),
        });
        at += rng.random_range(CROWD_GAP_MS);
    }
    plan
}

/// Draws losses shortly after one another that begin within `ms` milliseconds: of a host of the
/// first zone, and of the hosts of the second, which helps it, or of the path to that one's workers.
pub(crate) fn plan_paired_losses(
    rng: &mut SmallRng,
    ms: u64,
    hosts: usize,
    workers: usize,
) -> Vec<PlannedFault> {
    let mut plan = Vec::new();
    let mut at = FILL_MS;
    while at < ms {
        let later = at + rng.random_range(LOSS_GAP_MS);
        let (first, second) = if rng.random_range(0..4) == 0 { (later, at) } else { (at, later) };
        let until = first + rng.random_range(LOSS_MS);
        let helped = draw_loss(rng)(rng.random_range(0..hosts));
        plan.push(PlannedFault { fault: helped, from: first, until });
        let until = second + rng.random_range(LOSS_MS);
        let helping: Vec<Fault> = if rng.random_range(0..4) == 0 {
            let impairment = draw_impairment(rng);
            (workers..2 * workers).map(|worker| Fault::Worker(worker, impairment)).collect()
        } else {
            (hosts..2 * hosts).map(draw_loss(rng)).collect()
        };
        plan.extend(helping.into_iter().map(|fault| PlannedFault { fault, from: second, until }));
        at = later + LOSS_MS.end + FILL_MS;
    }
    plan
}

/// Draws how a host is lost.
fn draw_loss(rng: &mut SmallRng) -> fn(usize) -> Fault {
    if rng.random() { Fault::Kill } else { Fault::Pause }
}

fn draw_fault(rng: &mut SmallRng, hosts: usize, workers: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let worker = rng.random_range(0..workers);
    match rng.random_range(0..13) {
        0 | 1 => Fault::Pause(host),
        2 | 3 => Fault::Kill(host),
        4 => Fault::Stop(host),
        5 => Fault::Reload(host),
        6 | 7 => Fault::Links(host, draw_impairment(rng)),
        8 => Fault::Store(host, draw_impairment(rng)),
        9 | 10 => Fault::Worker(worker, draw_impairment(rng)),
        11 if rng.random() => Fault::Errors(worker),
        11 => Fault::Hangs(worker),
        _ => Fault::Refuse,
    }
}

fn draw_impairment(rng: &mut SmallRng) -> Impairment {
    match rng.random_range(0..5) {
        0 => Impairment::Delay(rng.random_range(5..400)),
        1 => Impairment::Silence,
        2 => Impairment::SilenceThere,
        3 => Impairment::SilenceBack,
        _ => Impairment::Reset,
    }
}
