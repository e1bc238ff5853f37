//! State of hosts that send no frames.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};
use endivestile_kernel::{
    Effect, Event, Frame, Kernel, Peer, Registration, Setup, ShardRecord, Time,
};

const CONFIG: &str = "\
    [availability-zone a]\nregion=r\n[availability-zone b]\nregion=r\n\
    [host e1]\nzone=a\naddress=127.0.0.1:1\nweight=1\n\
    [host e2]\nzone=b\naddress=127.0.0.1:2\nweight=1\n\
    [host e3]\nzone=b\naddress=127.0.0.1:3\nweight=1\n\
    [rules]\nshards=1\n[configuration]\nrevision=1\n";
const HOSTS: [(&str, &str, &str); 3] =
    [("e1", "a", "127.0.0.1:1"), ("e2", "b", "127.0.0.1:2"), ("e3", "b", "127.0.0.1:3")];
/// Interval between two steps of the kernels, in milliseconds.
const STEP_MS: u64 = 50;

fn peer(host: &str) -> Peer {
    Peer::new(host, 1)
}

fn register(host: &str) -> Event {
    let (_, zone, address) = HOSTS.into_iter().find(|(name, ..)| *name == host).expect("a host");
    let (zone, address) = (Name::from(zone), Name::from(address));
    let registration = Registration { peer: peer(host), zone, address, leaving: false };
    Event::HostRegistration { host: Name::from(host), registration: Some(registration) }
}

fn kernel(host: &str) -> Kernel {
    let (_, zone, address) = HOSTS.into_iter().find(|(name, ..)| *name == host).expect("a host");
    let (zone, address) = (Name::from(zone), Name::from(address));
    let setup =
        Setup { me: peer(host), zone, address, wall_s: 1_000_000, seed: 1, seed_hosts: Vec::new() };
    let mut kernel = Kernel::new(setup);
    let config: Arc<Config> = Arc::new(endivestile_config::parse(CONFIG, "test").expect("config"));
    let text = Bytes::from(config.canonical());
    let events = HOSTS.into_iter().map(|(name, ..)| register(name));
    for event in events.chain([Event::Config { config, text }, Event::StoreAvailable(true)]) {
        kernel.handle(Time::ZERO, event, &mut Vec::new());
    }
    kernel
}

/// Returns the record of the only shard: `e1` is its home, `witness` its witness.
fn record(epoch: u64, witness: &str) -> Event {
    let witness = Some(peer(witness));
    let record = ShardRecord { home: peer("e1"), witness, epoch, floor: 0, write: epoch };
    Event::ShardRecordChange { shard: 0, revision: epoch, value: record.encode() }
}

/// Ticks and flushes a kernel; returns its frames.
fn step(kernel: &mut Kernel, now: Time) -> Vec<Frame> {
    let mut out = Vec::new();
    kernel.handle(now, Event::Tick, &mut out);
    kernel.flush(now, &mut out);
    let frames = out.into_iter().filter_map(|effect| match effect {
        Effect::Send { frame, .. } => Some(frame),
        _ => None,
    });
    frames.collect()
}

/// Exchanges frames between two kernels during a period; returns the end of the period.
fn exchange_frames(one: &mut Kernel, other: &mut Kernel, from_ms: u64, to_ms: u64) -> Time {
    for ms in (from_ms..to_ms).step_by(STEP_MS as usize) {
        let now = Time::ZERO.after_ms(ms);
        for _ in 0..3 {
            for frame in step(one, now) {
                other.handle(now, Event::Frame(frame), &mut Vec::new());
            }
            for frame in step(other, now) {
                one.handle(now, Event::Frame(frame), &mut Vec::new());
            }
        }
    }
    Time::ZERO.after_ms(to_ms)
}

/// Runs a kernel without any frame for a period; returns the end of the period.
fn run_isolated(kernel: &mut Kernel, from: Time, millis: u64) -> Time {
    for ms in (0..millis).step_by(STEP_MS as usize) {
        step(kernel, from.after_ms(ms));
    }
    from.after_ms(millis)
}

fn state(kernel: &Kernel, now: Time, host: &str) -> String {
    kernel.status(now).hosts[host].state.clone()
}

/// A host in a partitioned zone is suspect. Another host replaces it as the witness of the shared
/// shard, so that it is no longer monitored, but it is still registered. If it counted as live,
/// work would be placed there and end at its deadline as possibly run.
#[test]
fn suspect_after_witness_change() {
    let (mut e1, mut e2) = (kernel("e1"), kernel("e2"));
    for kernel in [&mut e1, &mut e2] {
        kernel.handle(Time::ZERO, record(1, "e2"), &mut Vec::new());
    }
    let now = exchange_frames(&mut e1, &mut e2, 0, 2_000);
    assert_eq!(state(&e1, now, "e2"), "live");
    let now = run_isolated(&mut e1, now, 2_500);
    assert_eq!(state(&e1, now, "e2"), "suspect");
    e1.handle(now, record(2, "e3"), &mut Vec::new());
    let now = run_isolated(&mut e1, now, 2_000);
    assert_eq!(state(&e1, now, "e2"), "suspect");
}

/// The partition heals. The host counts as live again although no shard is shared with it any more;
/// otherwise its servers would be lost to the other zones permanently.
#[test]
fn live_after_partition_heals() {
    let (mut e1, mut e2) = (kernel("e1"), kernel("e2"));
    for kernel in [&mut e1, &mut e2] {
        kernel.handle(Time::ZERO, record(1, "e2"), &mut Vec::new());
    }
    let now = exchange_frames(&mut e1, &mut e2, 0, 2_000);
    let now = run_isolated(&mut e1, now, 2_500);
    e1.handle(now, record(2, "e3"), &mut Vec::new());
    e2.handle(now, record(2, "e3"), &mut Vec::new());
    let now = run_isolated(&mut e1, now, 1_500);
    assert_eq!(state(&e1, now, "e2"), "suspect");
    let now = exchange_frames(&mut e1, &mut e2, 6_000, 10_000);
    assert_eq!(state(&e1, now, "e2"), "live");
}

/// Guards against a host that is ignored after a restart with its time of day set back: its calls
/// would wait for an incarnation that has ended.
#[test]
fn restart_clock_back() {
    let mut kernel = kernel("e1");
    let restarted = |birth: u64| {
        let peer = Peer::new("e2", birth);
        let (zone, address) = (Name::from("b"), Name::from("127.0.0.1:2"));
        let registration = Registration { peer, zone, address, leaving: false };
        Event::HostRegistration { host: Name::from("e2"), registration: Some(registration) }
    };
    for birth in [1_000, 6] {
        kernel.handle(Time::ZERO, restarted(birth), &mut Vec::new());
    }
    let status = kernel.status(Time::ZERO);
    assert_eq!(status.hosts["e2"].peer, "e2:6");
}
