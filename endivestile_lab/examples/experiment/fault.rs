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
pub(crate) enum Kind {
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

impl Kind {
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
pub(crate) fn act(spec: &Spec, deployment: &mut Deployment, began: Instant) {
    if matches!(spec.fault, Kind::None | Kind::Burst | Kind::Flood | Kind::Cancel) {
        return;
    }
    wait(began, spec.from_ms);
    set(spec, deployment);
    wait(began, spec.to_ms);
    mend(spec, deployment);
}

/// Waits until a time of the slice.
pub(crate) fn wait(began: Instant, at_ms: u64) {
    let at = began + Duration::from_millis(at_ms);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn set(spec: &Spec, deployment: &mut Deployment) {
    let servers = &deployment.servers;
    match spec.fault {
        Kind::SlowRack => slow_rack(spec, deployment, SLOW),
        Kind::FailFast => servers.set_fault(&server(0), MachineFault::Status(500)),
        Kind::Stragglers => everywhere(spec, deployment, MachineFault::Straggle(STRAGGLERS)),
        Kind::Cut => deployment.isolate_zone(spec.zone(0)),
        Kind::Kill => deployment.hosts[0].kill(),
        _ => {}
    }
}

fn mend(spec: &Spec, deployment: &mut Deployment) {
    match spec.fault {
        Kind::SlowRack => slow_rack(spec, deployment, 1.0),
        Kind::FailFast => deployment.servers.set_fault(&server(0), MachineFault::None),
        Kind::Stragglers => everywhere(spec, deployment, MachineFault::None),
        Kind::Cut => deployment.heal(),
        Kind::Kill => {
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
