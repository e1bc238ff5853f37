//! Which fault comes when, drawn from a seed.

use rand::Rng;
use rand::rngs::SmallRng;

use super::relay::Impairment;

/// Something that goes wrong for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// A host's process is paused.
    Pause(usize),
    /// A host's process is killed, and started again at the end.
    Kill(usize),
    /// A host is asked to stop, and started again at the end.
    Stop(usize),
    /// A host is told that its settings have changed.
    Reload(usize),
    /// The way of all others to a host's links is harmed.
    Links(usize, Impairment),
    /// The way from a host to the store is harmed.
    Store(usize, Impairment),
    /// The way from all hosts to a worker is harmed.
    Worker(usize, Impairment),
    /// A worker fails all that it starts.
    Errors(usize),
    /// What a worker starts makes no progress.
    Hangs(usize),
    /// The store turns every call away.
    Refuse,
    /// Operators have a zone evacuated, and take it back at the end.
    Evacuate(usize),
}

/// A fault and its time, in milliseconds from the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PlannedFault {
    /// The fault.
    pub(crate) fault: Fault,
    /// When it begins.
    pub(crate) from: u64,
    /// When it ends.
    pub(crate) until: u64,
}

/// Longest fault, in milliseconds: several times longer than any lease.
const MAX_MS: u64 = 3_000;
/// Pauses between the starts of two faults, in milliseconds; shorter than most
/// faults, so that they overlap.
const GAP_MS: std::ops::Range<u64> = 150..1_200;

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
        let lasts = rng.random_range(100..MAX_MS);
        plan.push(PlannedFault { fault: draw(rng, hosts, workers), from: at, until: at + lasts });
        // Some come at the same moment.
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
        let until = at + rng.random_range(100..MAX_MS);
        let fault = Fault::Evacuate(rng.random_range(0..zones));
        plan.push(PlannedFault { fault, from: at, until });
        at = until + rng.random_range(GAP_MS);
    }
    plan
}

fn draw(rng: &mut SmallRng, hosts: usize, workers: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let worker = rng.random_range(0..workers);
    match rng.random_range(0..13) {
        0 | 1 => Fault::Pause(host),
        2 | 3 => Fault::Kill(host),
        4 => Fault::Stop(host),
        5 => Fault::Reload(host),
        6 | 7 => Fault::Links(host, harm(rng)),
        8 => Fault::Store(host, harm(rng)),
        9 | 10 => Fault::Worker(worker, harm(rng)),
        11 if rng.random() => Fault::Errors(worker),
        11 => Fault::Hangs(worker),
        _ => Fault::Refuse,
    }
}

fn harm(rng: &mut SmallRng) -> Impairment {
    match rng.random_range(0..5) {
        0 => Impairment::Delay(rng.random_range(5..400)),
        1 => Impairment::Silence,
        2 => Impairment::SilenceThere,
        3 => Impairment::SilenceBack,
        _ => Impairment::Reset,
    }
}
