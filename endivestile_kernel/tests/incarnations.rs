//! Which of two incarnations of a host, and which of two drivers of a worker, a message is from.

use std::collections::BTreeSet;
use std::sync::Arc;

use endivestile_config::{Policy, model::Name};
use endivestile_kernel::fleet::{
    Fleet, FleetEffect, FleetEvent, FleetSetup, HostEntry, HostReport, WorkerCall, WorkerEntry,
};
use endivestile_kernel::{Frame, FrameExtension, Need, Peer, Time};

/// Birth of an incarnation of `b` that started while its time of day was ahead.
const AHEAD: u64 = 1_000;
/// Birth of the next one, which started after the time of day had been set back.
const BACK: u64 = 6;

/// Number of pools of a zone.
const POOLS: usize = 8;

/// Host `a`, which owns the pools of its zone.
struct Fixture {
    fleet: Fleet,
    now: Time,
}

impl Fixture {
    fn new() -> Self {
        let mut fleet = Fleet::new(FleetSetup {
            me: Peer::new("a", 1),
            zone: Name::from("z"),
            cpu_milli: 250,
            link_kbps: 0,
            remote_factor_milli: 2_000,
            address: Name::from("a:1"),
            worker_lease_ms: 650,
            host_lease_ms: 520,
            policy: Policy::default(),
        });
        let now = Time::from_micros(1_000);
        fleet.handle(now, FleetEvent::StoreAvailable(true));
        fleet.handle(now, FleetEvent::Workers(vec![worker()]));
        for number in 0..POOLS {
            let value = br#"{"owner":{"host":"a","birth":1},"epoch":1}"#.to_vec().into();
            let pool = Name::from(format!("z/{number}"));
            fleet.handle(now, FleetEvent::Record { pool, revision: 1, value });
        }
        assert!(fleet.owns_workers());
        Self { fleet, now }
    }

    fn register(&mut self, revision: u64, birth: u64) {
        let entry = HostEntry {
            peer: Peer::new("b", birth),
            zone: Name::from("z"),
            address: Name::from("b:1"),
            leaving: false,
            cpu_milli: 250,
            link_kbps: 0,
        };
        let event = FleetEvent::Host { name: Name::from("b"), revision, entry: Some(entry) };
        self.fleet.handle(self.now, event);
    }

    /// Handles a frame of an incarnation of `b` that echoes a frame sent at `echo`.
    fn receive(&mut self, birth: u64, echo: Time) {
        let report = HostReport {
            zone: Name::from("z"),
            address: Name::from("b:1"),
            ..HostReport::default()
        };
        let frame = Frame {
            from: Peer::new("b", birth),
            to: Peer::new("a", 1),
            seq: 0,
            ack: 0,
            sent: Time::from_micros(77),
            revision: 0,
            leaving: false,
            load: None,
            echo,
            report: Some(Arc::new(report)),
            msgs: Vec::new(),
            extension: FrameExtension::default(),
        };
        self.fleet.handle(self.now, FleetEvent::Frame(Box::new(frame)));
    }

    /// Lets milliseconds pass, and returns the effects.
    fn run(&mut self, millis: u64) -> Vec<FleetEffect> {
        let mut out = Vec::new();
        for _ in 0..millis {
            self.now = self.now.after_ms(1);
            self.fleet.flush(self.now, &mut out);
        }
        out
    }

    /// Lets milliseconds pass, and returns the frames sent.
    fn frames(&mut self, millis: u64) -> Vec<Frame> {
        let sent = |effect| match effect {
            FleetEffect::Send { frame, .. } => Some(frame),
            _ => None,
        };
        self.run(millis).into_iter().filter_map(sent).collect()
    }

    /// Returns the births to which frames are sent within two heartbeats.
    fn recipients(&mut self) -> BTreeSet<u64> {
        self.frames(500).into_iter().map(|frame| frame.to.birth).collect()
    }
}

fn worker() -> WorkerEntry {
    WorkerEntry {
        id: Name::from("w"),
        service: Name::from("s"),
        address: Name::from("w:1"),
        zone: Name::from("z"),
        labels: Vec::new(),
        capacity: Need { cpu_milli: 8_000, memory_mb: 1_000, accelerators: 0 },
        leaving: false,
        incarnation: 0,
    }
}

/// Guards against a host that is ignored after a restart with its time of day set back.
#[test]
fn registration_lower_birth() {
    let mut fixture = Fixture::new();
    fixture.register(1, AHEAD);
    fixture.register(2, BACK);
    assert_eq!(fixture.recipients(), BTreeSet::from([BACK]));
}

/// Guards against a read of the store that is late and restores an ended incarnation.
#[test]
fn registration_earlier_revision() {
    let mut fixture = Fixture::new();
    fixture.register(2, BACK);
    fixture.register(1, AHEAD);
    assert_eq!(fixture.recipients(), BTreeSet::from([BACK]));
}

/// Guards against a host that is ignored after such a restart while its registration is not known:
/// its frame is answered, and the echo of the answer proves that it is the later incarnation.
#[test]
fn frame_lower_birth() {
    let mut fixture = Fixture::new();
    fixture.register(1, AHEAD);
    fixture.run(10);
    fixture.receive(BACK, Time::ZERO);
    let probe = fixture.frames(1).into_iter().find(|frame| frame.to.birth == BACK);
    let probe = probe.expect("an answer to the unknown incarnation");
    assert_eq!(probe.echo, Time::from_micros(77));
    fixture.receive(BACK, probe.sent);
    assert_eq!(fixture.recipients(), BTreeSet::from([BACK]));
}

/// Guards against a delayed frame of an ended incarnation, whose birth is the higher one: the
/// channel of the live one would be dropped with the messages in it.
#[test]
fn frame_ended_incarnation() {
    let mut fixture = Fixture::new();
    fixture.register(1, AHEAD);
    let before = fixture.now;
    fixture.run(10);
    fixture.register(2, BACK);
    fixture.run(10);
    fixture.receive(AHEAD, before);
    assert_eq!(fixture.recipients(), BTreeSet::from([BACK]));
}

/// Guards against a delayed frame of an incarnation that this host has never heard of: its echo is
/// older than the registration of the live one.
#[test]
fn frame_unproven() {
    let mut fixture = Fixture::new();
    let before = fixture.now;
    fixture.run(10);
    fixture.register(2, BACK);
    fixture.run(10);
    fixture.receive(AHEAD, before);
    let frames = fixture.frames(500);
    let probes = frames.iter().filter(|frame| frame.to.birth == AHEAD).count();
    assert_eq!(probes, 1, "only the answer");
    assert!(frames.iter().any(|frame| frame.to.birth == BACK));
}

/// Guards against a late reply to a renewal of a former driver of the worker, which counted as the
/// reply to the new one's: runs that the older list lacks counted as ended, and ran twice.
#[test]
fn renewal_numbers_unique() {
    let mut fixture = Fixture::new();
    let mut numbers = BTreeSet::new();
    for _ in 0..3 {
        let calls = fixture.run(500).into_iter().filter_map(|effect| match effect {
            FleetEffect::WorkerCall(WorkerCall::Renew(number, _)) => Some(number),
            _ => None,
        });
        let calls: Vec<u64> = calls.collect();
        assert!(!calls.is_empty(), "a driver renews the lease");
        for number in calls {
            assert!(numbers.insert(number), "renewal {number} is sent twice");
        }
        // The worker's registration ends and returns, so that its driver is created again.
        fixture.fleet.handle(fixture.now, FleetEvent::Workers(Vec::new()));
        fixture.run(3_000);
        fixture.fleet.handle(fixture.now, FleetEvent::Workers(vec![worker()]));
    }
}
