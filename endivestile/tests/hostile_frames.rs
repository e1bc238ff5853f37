//! Frames from a faulty or hostile peer must not crash a host.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Host, Name, Server, Service, Team, Zone};
use endivestile_kernel::{
    Answer, Ask, Event, Frame, FrameExtension, Kernel, KnownId, Msg, Outcome, Peer, PlaceRequest,
    Registration, Setup, Submission, SubmissionId, Target, Task, TaskKey, Time,
};
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};

/// Generated cases per test.
const CASES: u32 = 3_000;
/// Wall clock at the start of the kernel, in seconds since 1970.
const WALL_S: u64 = 1_764_720_000;

// Bytes that are no valid frame arrive over a link, because of a fault or an
// attack. A crash would end this host, and then all others when the peer sends
// the same frame to each of them.
#[test]
fn frame_random_bytes() {
    let bytes = prop::collection::vec(any::<u8>(), 0..300);
    run(&bytes, |bytes| {
        if let Ok(frame) = postcard::from_bytes::<Frame>(&bytes) {
            handle_frame(frame);
        }
        Ok(())
    });
}

// A frame is valid except for some flipped bits: numbers out of range, names of
// unknown hosts, unexpected messages.
#[test]
fn frame_flipped_bits() {
    let flips = prop::collection::vec((any::<prop::sample::Index>(), 0..8u8), 1..6);
    run(&(any::<prop::sample::Index>(), flips), |(which, flips)| {
        let msgs = messages();
        let mut bytes = postcard::to_stdvec(&msgs[which.index(msgs.len())]).expect("bytes");
        for (at, bit) in flips {
            let at = at.index(bytes.len());
            bytes[at] ^= 1 << bit;
        }
        if let Ok(msg) = postcard::from_bytes::<Msg>(&bytes) {
            handle_frame(frame(vec![msg.clone(), msg]));
        }
        Ok(())
    });
}

// The head of a frame has arbitrary sequence numbers, revision and timestamp.
#[test]
fn frame_arbitrary_head() {
    run(&(any::<u64>(), any::<u64>(), any::<u64>(), any::<u64>()), |(seq, ack, sent, revision)| {
        let head = Frame { seq, ack, revision, sent: Time::from_micros(sent), ..frame(messages()) };
        handle_frame(head);
        Ok(())
    });
}

fn run<S: Strategy>(strategy: &S, test: impl Fn(S::Value) -> Result<(), TestCaseError>) {
    let config = RunnerConfig { cases: CASES, failure_persistence: None, ..Default::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    if let Err(error) = TestRunner::new_with_rng(config, rng).run(strategy, test) {
        panic!("{error}");
    }
}

fn me() -> Peer {
    Peer::new("a1", 7)
}

fn peer() -> Peer {
    Peer::new("a2", 9)
}

/// Passes a frame twice to a host that has its peer as a member, and advances the time.
fn handle_frame(frame: Frame) {
    let frame = Frame { from: peer(), to: me(), ..frame };
    let mut kernel = kernel();
    let mut effects = Vec::new();
    for (ms, event) in [(10, Event::Frame(frame.clone())), (20, Event::Frame(frame))] {
        kernel.handle(Time::ZERO.after_ms(ms), event, &mut effects);
    }
    for ms in [30, 700, 3_000, 60_000] {
        kernel.handle(Time::ZERO.after_ms(ms), Event::Tick, &mut effects);
        kernel.flush(Time::ZERO.after_ms(ms), &mut effects);
    }
}

fn kernel() -> Kernel {
    let mut kernel = Kernel::new(Setup {
        me: me(),
        zone: Name::from("a"),
        address: Name::from("10.0.0.1:1"),
        wall_s: WALL_S,
        seed: 1,
        seed_hosts: Vec::new(),
    });
    let registration = Registration {
        peer: peer(),
        zone: Name::from("a"),
        address: Name::from("10.0.0.2:1"),
        leaving: false,
    };
    let events = [
        Event::Config { config: Arc::new(config()), text: Bytes::from("1") },
        Event::StoreAvailable(true),
        Event::HostRegistration { host: Name::from("a2"), registration: Some(registration) },
    ];
    let mut effects = Vec::new();
    for event in events {
        kernel.handle(Time::ZERO, event, &mut effects);
    }
    kernel
}

fn config() -> Config {
    let mut config = Config { revision: 1, ..Config::default() };
    let zone = Name::from("a");
    config.zones.insert(zone.clone(), Zone { region: Name::from("r") });
    for number in 1..=2 {
        let address = Name::from(format!("10.0.0.{number}:1"));
        let host = Host { zone: zone.clone(), address, weight: 1 };
        config.hosts.insert(Name::from(format!("a{number}")), host);
    }
    let rack = Name::from("r1");
    let address = Name::from("10.1.0.1:1");
    let server = Server { zone, rack, address, slots: 2, connections: 2 };
    config.servers.insert(Name::from("s1"), server);
    let service = Service { servers: vec![Name::from("s1")], path: Name::from("/") };
    config.services.insert(Name::from("orders"), service);
    config.teams.insert(Name::from("m1"), Team { limit: 10, weight: 1 });
    config.rules.shards = 4;
    config
}

fn frame(msgs: Vec<Msg>) -> Frame {
    Frame {
        from: peer(),
        to: me(),
        seq: 1,
        ack: 0,
        sent: Time::ZERO.after_ms(5),
        revision: 1,
        leaving: false,
        load: None,
        echo: Time::ZERO,
        report: None,
        msgs,
        extension: FrameExtension::default(),
    }
}

/// Returns one valid message of each kind.
fn messages() -> Vec<Msg> {
    let id = SubmissionId::parse(&format!("{WALL_S}:order")).expect("an id");
    let target = Target::Service(Name::from("orders"));
    let task = Arc::new(Task { target, work: Bytes::from("w"), declared_ms: 5 });
    let deadline = Time::ZERO.after_ms(900);
    let key = TaskKey { run: 1, index: 0, attempt: 0 };
    let known = KnownId { id: id.clone(), digest: 3, runner: peer(), forget: deadline };
    let submission = Arc::new(Submission {
        id: Some(id.clone()),
        team: Name::from("m1"),
        deadline,
        idempotent: false,
        tasks: vec![task.clone(); 2],
    });
    let order = PlaceRequest {
        key,
        team: Name::from("m1"),
        deadline,
        arrived: Time::ZERO,
        remaining: 2,
        task,
    };
    let (shard, epoch, batch) = (1, 1, 1);
    let ids = vec![known];
    vec![
        Msg::Submit { call: 1, submission, hops: 0, recorded: true },
        Msg::Ask { call: 1, id, ask: Ask::Cancel, hops: 0 },
        Msg::Reply { call: 1, answer: Arc::new(Answer::Running) },
        Msg::Place(order),
        Msg::Drop(key),
        Msg::Placed { key, outcome: Outcome::Done(Bytes::from("done")) },
        Msg::WantConfig(0),
        Msg::Record { shard, epoch, batch, ids: ids.clone() },
        Msg::Recorded { shard, epoch, batch },
        Msg::Fenced { shard, epoch },
        Msg::Sync { shard, epoch, ids, last: true },
        Msg::Synced { shard, epoch },
        Msg::Yield { shard, epoch },
    ]
}
