//! What goes wrong within a slice.

use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{Deployment, MachineFault};
use serde::Serialize;

use crate::spec::{Spec, server};

/// Factor by which the machines of a slow rack are slowed down.
const SLOW: f64 = 0.25;
/// Tasks in a hundred that straggle.
const STRAGGLERS: u8 = 10;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum FaultKind {
    /// Nothing.
    None,
    /// Five times the load.
    Burst,
    /// Another team sends as much as all capacity, beside the load.
    Flood,
    /// The first rack runs at a quarter of its speed.
    SlowRack,
    /// The first backend server fails every task at once.
    FailFast,
    /// One task in ten takes ten times as long, everywhere.
    Stragglers,
    /// The first zone is cut off from the others.
    Cut,
    /// The first entry host is killed, and started again at the end.
    Kill,
    /// Callers cancel everything that is open.
    Cancel,
}

impl FaultKind {
    /// Reads a kind.
    pub(crate) fn parse(text: &str) -> Result<Self, String> {
        Ok(match text {
            "none" => Self::None,
            "burst" => Self::Burst,
            "flood" => Self::Flood,
            "slow-rack" => Self::SlowRack,
            "fail-fast" => Self::FailFast,
            "stragglers" => Self::Stragglers,
            "cut" => Self::Cut,
            "kill" => Self::Kill,
            "cancel" => Self::Cancel,
            _ => return Err(format!("fault kind={text} is not known")),
        })
    }
}

/// Brings the fault about and mends it, at its times since `began`.
pub(crate) fn inject(spec: &Spec, deployment: &mut Deployment, began: Instant) {
    if matches!(
        spec.fault,
        FaultKind::None | FaultKind::Burst | FaultKind::Flood | FaultKind::Cancel
    ) {
        return;
    }
    sleep_until(began, spec.from_ms);
    set(spec, deployment);
    sleep_until(began, spec.to_ms);
    mend(spec, deployment);
}

/// Waits until a time of the slice.
pub(crate) fn sleep_until(began: Instant, at_ms: u64) {
    let at = began + Duration::from_millis(at_ms);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn set(spec: &Spec, deployment: &mut Deployment) {
    let servers = &deployment.servers;
    match spec.fault {
        FaultKind::SlowRack => slow_rack(spec, deployment, SLOW),
        FaultKind::FailFast => servers.set_fault(&server(0), MachineFault::Status(500)),
        FaultKind::Stragglers => everywhere(spec, deployment, MachineFault::Straggle(STRAGGLERS)),
        FaultKind::Cut => deployment.isolate_zone(spec.zone(0)),
        FaultKind::Kill => deployment.hosts[0].kill(),
        _ => {}
    }
}

fn mend(spec: &Spec, deployment: &mut Deployment) {
    match spec.fault {
        FaultKind::SlowRack => slow_rack(spec, deployment, 1.0),
        FaultKind::FailFast => deployment.servers.set_fault(&server(0), MachineFault::None),
        FaultKind::Stragglers => everywhere(spec, deployment, MachineFault::None),
        FaultKind::Cut => deployment.heal(),
        FaultKind::Kill => {
            if let Err(err) = deployment.hosts[0].restart() {
                eprintln!("event=restart_failed error={err}");
            }
        }
        _ => {}
    }
}

fn slow_rack(spec: &Spec, deployment: &Deployment, factor: f64) {
    let rack = spec.first_rack();
    for n in (0..spec.servers).filter(|n| rack.contains(&server(*n))) {
        deployment.servers.set_speed(&server(n), spec.speed(n) * factor);
    }
}

fn everywhere(spec: &Spec, deployment: &Deployment, fault: MachineFault) {
    for n in 0..spec.servers {
        deployment.servers.set_fault(&server(n), fault);
    }
}
