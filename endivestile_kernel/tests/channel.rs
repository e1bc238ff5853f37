//! The channel between two incarnations, through one kernel.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Host, Name, Zone};
use endivestile_kernel::{
    Ask, CallId, Effect, Event, Frame, Kernel, Peer, Registration, Setup, SubmissionId, Time,
};

/// A kernel of host `a` that knows host `b`.
struct Pair {
    kernel: Kernel,
    now: Time,
    calls: u64,
}

impl Pair {
    fn new() -> Self {
        let setup = Setup {
            me: Peer::new("a", 1),
            zone: Name::from("z"),
            address: Name::from("127.0.0.1:1"),
            wall_s: 1_000,
            seed: 1,
            seed_hosts: Vec::new(),
        };
        let mut pair = Self { kernel: Kernel::new(setup), now: Time::ZERO, calls: 0 };
        let mut config = Config { revision: 1, ..Config::default() };
        config.zones.insert(Name::from("z"), Zone { region: Name::from("r") });
        for name in ["a", "b"] {
            let host =
                Host { zone: Name::from("z"), address: Name::from("127.0.0.1:2"), weight: 1 };
            config.hosts.insert(Name::from(name), host);
        }
        pair.handle(Event::Config { config: Arc::new(config), text: Bytes::new() });
        let registration = Registration {
            peer: Peer::new("b", 1),
            zone: Name::from("z"),
            address: Name::from("127.0.0.1:2"),
            leaving: false,
        };
        pair.handle(Event::HostRegistration {
            host: Name::from("b"),
            registration: Some(registration),
        });
        pair.flush();
        pair
    }

    fn handle(&mut self, event: Event) {
        self.kernel.handle(self.now, event, &mut Vec::new());
    }

    /// Asks for an id that only `b` can answer, so that a message goes there.
    fn ask(&mut self) {
        self.calls += 1;
        let id = SubmissionId::mint(&Peer::new("b", 1), self.calls);
        self.handle(Event::Ask { call: CallId(self.calls), id, ask: Ask::Fetch });
    }

    /// Takes the acknowledgement of the messages up to `ack` in.
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
        }));
    }

    /// Returns the numbers of the first and the messages of the frames sent now.
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

/// Under load a host takes in several events before it sends frames. One of
/// them queues a message, the next acknowledges all that was sent before. The
/// timer for sending again was then started although nothing was under way,
/// and the message waited for it: callers saw answers half a second late.
#[test]
fn frame_queued_before_acknowledgement() {
    let mut pair = Pair::new();
    pair.ask();
    assert_eq!(pair.flush(), [(1, 1)]);
    pair.now = pair.now.after_ms(1);
    pair.ask();
    pair.acknowledge(1);
    assert_eq!(pair.flush(), [(2, 1)]);
}

/// A frame is lost and an earlier one acknowledged; what is still under way has
/// to be sent again, or its callers would wait until their deadline.
#[test]
fn frame_lost_after_acknowledgement() {
    let mut pair = Pair::new();
    pair.ask();
    assert_eq!(pair.flush(), [(1, 1)]);
    pair.ask();
    assert_eq!(pair.flush(), [(2, 1)]);
    pair.acknowledge(1);
    assert_eq!(pair.flush(), []);
    pair.now = pair.now.after_ms(500);
    pair.handle(Event::Tick);
    assert_eq!(pair.flush(), [(2, 1)]);
}
