//! Resending on the channel between two incarnations, tested through one kernel.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Host, Name, Zone};
use endivestile_kernel::{
    Ask, CallId, Effect, Event, Frame, FrameExtension, Kernel, Peer, Registration, Setup,
    SubmissionId, Time,
};

/// The kernel of host `a`, with `b` as its only peer.
struct Fixture {
    kernel: Kernel,
    now: Time,
    calls: u64,
}

impl Fixture {
    fn new() -> Self {
        let setup = Setup {
            me: Peer::new("a", 1),
            zone: Name::from("z"),
            address: Name::from("127.0.0.1:1"),
            wall_s: 1_000,
            seed: 1,
            seed_hosts: Vec::new(),
        };
        let mut fixture = Self { kernel: Kernel::new(setup), now: Time::ZERO, calls: 0 };
        let mut config = Config { revision: 1, ..Config::default() };
        config.zones.insert(Name::from("z"), Zone { region: Name::from("r") });
        for name in ["a", "b"] {
            let host =
                Host { zone: Name::from("z"), address: Name::from("127.0.0.1:2"), weight: 1 };
            config.hosts.insert(Name::from(name), host);
        }
        fixture.handle(Event::Config { config: Arc::new(config), text: Bytes::new() });
        let registration = Registration {
            peer: Peer::new("b", 1),
            zone: Name::from("z"),
            address: Name::from("127.0.0.1:2"),
            leaving: false,
        };
        fixture.handle(Event::HostRegistration {
            host: Name::from("b"),
            registration: Some(registration),
        });
        fixture.flush();
        fixture
    }

    fn handle(&mut self, event: Event) {
        self.kernel.handle(self.now, event, &mut Vec::new());
    }

    /// Queries an id that only `b` can answer, so that a message is queued for it.
    fn send_query(&mut self) {
        self.calls += 1;
        let id = SubmissionId::mint(&Peer::new("b", 1), self.calls);
        self.handle(Event::Ask { call: CallId(self.calls), id, ask: Ask::Fetch });
    }

    /// Handles an acknowledgement of the messages up to `ack`.
    fn acknowledge(&mut self, ack: u64) {
        self.handle(Event::Frame(Frame {
            from: Peer::new("b", 1),
            to: Peer::new("a", 1),
            seq: 0,
            ack,
            sent: self.now,
            revision: 1,
            leaving: false,
            load: None,
            echo: Time::ZERO,
            report: None,
            msgs: Vec::new(),
            extension: FrameExtension::default(),
        }));
    }

    /// Returns the first message number and the number of messages of each frame sent now.
    fn flush(&mut self) -> Vec<(u64, usize)> {
        let mut out = Vec::new();
        self.kernel.flush(self.now, &mut out);
        let frames = out.into_iter().filter_map(|effect| match effect {
            Effect::Send { frame, .. } => Some((frame.seq, frame.msgs.len())),
            _ => None,
        });
        frames.filter(|(_, msgs)| *msgs > 0).collect()
    }
}

/// One event of a batch queues a message, and the next acknowledges all messages sent before. The
/// resend timer was then started although nothing was in flight, and the message waited for it:
/// answers to callers were half a second late.
#[test]
fn frame_queued_before_acknowledgement() {
    let mut fixture = Fixture::new();
    fixture.send_query();
    assert_eq!(fixture.flush(), [(1, 1)]);
    fixture.now = fixture.now.after_ms(1);
    fixture.send_query();
    fixture.acknowledge(1);
    assert_eq!(fixture.flush(), [(2, 1)]);
}

/// A frame is lost and an earlier one is acknowledged: the lost messages have to be resent, or
/// their callers would wait until their deadline.
#[test]
fn frame_lost_after_acknowledgement() {
    let mut fixture = Fixture::new();
    fixture.send_query();
    assert_eq!(fixture.flush(), [(1, 1)]);
    fixture.send_query();
    assert_eq!(fixture.flush(), [(2, 1)]);
    fixture.acknowledge(1);
    assert_eq!(fixture.flush(), []);
    fixture.now = fixture.now.after_ms(500);
    fixture.handle(Event::Tick);
    assert_eq!(fixture.flush(), [(2, 1)]);
}

/// A link is reset again and again before the delay of a resend is over: each reset started the
/// delay again, and a message waited for as long as the resets went on.
#[test]
fn frame_resent_between_resets() {
    let mut fixture = Fixture::new();
    fixture.send_query();
    assert_eq!(fixture.flush(), [(1, 1)]);
    for _ in 0..5 {
        fixture.handle(Event::LinkDown(Peer::new("b", 1)));
        let mut frames = Vec::new();
        for _ in 0..400 {
            fixture.now = fixture.now.after_ms(1);
            fixture.handle(Event::Tick);
            frames.extend(fixture.flush());
        }
        assert_eq!(frames, [(1, 1)]);
    }
}

/// A peer whose port refuses connections: without a growing delay between the resends a host
/// would do nothing but connect.
#[test]
fn frame_resends_back_off() {
    let mut fixture = Fixture::new();
    fixture.send_query();
    let mut frames = fixture.flush().len();
    for _ in 0..10_000 {
        fixture.now = fixture.now.after_ms(1);
        fixture.handle(Event::Tick);
        let sent = fixture.flush().len();
        frames += sent;
        if sent > 0 {
            fixture.handle(Event::LinkDown(Peer::new("b", 1)));
        }
    }
    // Heartbeats, every 500 ms, carry the message too.
    assert!((10..=30).contains(&frames), "{frames} frames in 10 s");
}
