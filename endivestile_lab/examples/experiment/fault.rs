//! Faults injected during a slice.

use std::thread;
use std::time::{Duration, Instant};

use endivestile_testkit::{Crowd, Deployment, MachineFault, Payload};
use serde::Serialize;

use crate::spec::{SERVICE, Spec, TEAMS, server};

/// Factor of the speed of machines in a slow rack.
const SLOW_FACTOR: f64 = 0.25;
/// Percentage of tasks that straggle.
const STRAGGLER_PERCENT: u8 = 10;

/// Connections of a crowd.
const CROWD_CONNECTIONS: usize = 200;
/// Length of the bodies of a crowd, in bytes.
const CROWD_BODY_BYTES: usize = 1 << 20;

/// Kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub(crate) enum FaultKind {
    /// No fault.
    None,
    /// The arrival rate is five times as high.
    Burst,
    /// Another team submits work for the whole capacity, in addition to the load.
    Flood,
    /// The first rack runs at a quarter of its speed.
    SlowRack,
    /// The first backend server fails every task immediately.
    FailFast,
    /// One task in ten takes ten times as long, on every backend server.
    Stragglers,
    /// The first zone is cut off from the others.
    Cut,
    /// The first entry host is killed, and started again at the end.
    Kill,
    /// Callers cancel all open submissions.
    Cancel,
    /// Clients send bodies to the first entry host, stop short of their end and stay.
    Crowd,
}

impl FaultKind {
    /// Parses the name of a kind in an experiment's file.
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
            "crowd" => Self::Crowd,
            _ => return Err(format!("fault kind={text} is unknown")),
        })
    }
}

/// Starts the experiment's fault and ends it, at its times since `started`.
pub(crate) fn inject(spec: &Spec, deployment: &mut Deployment, started: Instant) {
    if matches!(
        spec.fault,
        FaultKind::None | FaultKind::Burst | FaultKind::Flood | FaultKind::Cancel
    ) {
        return;
    }
    sleep_until(started, spec.from_ms);
    start_fault(spec, deployment);
    let crowd = (spec.fault == FaultKind::Crowd).then(|| send_crowd(deployment));
    sleep_until(started, spec.to_ms);
    drop(crowd);
    end_fault(spec, deployment);
}

/// Sleeps until `at_ms` milliseconds after `started`.
pub(crate) fn sleep_until(started: Instant, at_ms: u64) {
    let at = started + Duration::from_millis(at_ms);
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// Sends a crowd to the first entry host.
fn send_crowd(deployment: &Deployment) -> Crowd {
    let head = |framing: &str| {
        format!(
            "POST /v1/requests/{SERVICE} HTTP/1.1\r\nHost: crowd\r\nTeam: {}\r\n\
             Idempotent: true\r\n{framing}\r\n\r\n",
            TEAMS[0]
        )
    };
    let payload = Payload::sized(head, CROWD_BODY_BYTES, 1);
    Crowd::send(deployment.hosts[0].address(), CROWD_CONNECTIONS, payload, false)
}

/// Starts the experiment's fault.
fn start_fault(spec: &Spec, deployment: &mut Deployment) {
    let servers = &deployment.servers;
    match spec.fault {
        FaultKind::SlowRack => scale_rack_speed(spec, deployment, SLOW_FACTOR),
        FaultKind::FailFast => servers.set_fault(&server(0), MachineFault::Status(500)),
        FaultKind::Stragglers => {
            set_fault_everywhere(spec, deployment, MachineFault::Straggle(STRAGGLER_PERCENT))
        }
        FaultKind::Cut => deployment.isolate_zone(spec.zone(0)),
        FaultKind::Kill => deployment.hosts[0].kill(),
        _ => {}
    }
}

/// Ends the experiment's fault.
fn end_fault(spec: &Spec, deployment: &mut Deployment) {
    match spec.fault {
        FaultKind::SlowRack => scale_rack_speed(spec, deployment, 1.0),
        FaultKind::FailFast => deployment.servers.set_fault(&server(0), MachineFault::None),
        FaultKind::Stragglers => set_fault_everywhere(spec, deployment, MachineFault::None),
        FaultKind::Cut => deployment.heal(),
        FaultKind::Kill => {
            if let Err(err) = deployment.hosts[0].restart() {
                eprintln!("event=restart_failed error={err}");
            }
        }
        _ => {}
    }
}

/// Sets the machines of the first rack to their speed times `factor`.
fn scale_rack_speed(spec: &Spec, deployment: &Deployment, factor: f64) {
    let rack = spec.first_rack();
    for n in (0..spec.servers).filter(|n| rack.contains(&server(*n))) {
        deployment.servers.set_speed(&server(n), spec.speed(n) * factor);
    }
}

/// Sets the same fault on all backend servers.
fn set_fault_everywhere(spec: &Spec, deployment: &Deployment, fault: MachineFault) {
    for n in 0..spec.servers {
        deployment.servers.set_fault(&server(n), fault);
    }
}
