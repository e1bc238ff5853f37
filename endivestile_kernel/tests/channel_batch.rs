//! Two kernels that handle events in batches, as on a busy host.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};
use endivestile_kernel::{
    AttemptEnd, CallId, Effect, Event, Frame, Kernel, Peer, Registration, Setup, Submission,
    Target, Task, Time,
};

const CONFIG: &str = "\
    [availability-zone a]\nregion=r\n[availability-zone b]\nregion=r\n\
    [host e1]\nzone=a\naddress=127.0.0.1:1\nweight=1\n\
    [host e2]\nzone=b\naddress=127.0.0.1:2\nweight=1\n\
    [backend-server s1]\nzone=b\nrack=1\naddress=127.0.0.1:3\nslots=8\nconnections=8\n\
    [service orders]\nbackend-servers=s1\npath=/order\n\
    [team m1]\nlimit=100\nweight=1\n[configuration]\nrevision=1\n";

fn config() -> Arc<Config> {
    Arc::new(endivestile_config::parse(CONFIG, "test").expect("config"))
}

/// Returns the kernel of a host with a configuration, a store and its peer.
fn kernel(host: &str, zone: &str, address: &str) -> Kernel {
    let me = Peer::new(host, 1);
    let (zone, address) = (Name::from(zone), Name::from(address));
    let setup = Setup { me, zone, address, wall_s: 1_000_000, seed: 1, seed_hosts: Vec::new() };
    let mut kernel = Kernel::new(setup);
    let mut out = Vec::new();
    for (name, zone, address) in [("e1", "a", "127.0.0.1:1"), ("e2", "b", "127.0.0.1:2")] {
        let registration = Registration {
            peer: Peer::new(name, 1),
            zone: Name::from(zone),
            address: Name::from(address),
            leaving: false,
        };
        let event =
            Event::HostRegistration { host: Name::from(name), registration: Some(registration) };
        kernel.handle(Time::ZERO, event, &mut out);
    }
    let text = Bytes::from(config().canonical());
    kernel.handle(Time::ZERO, Event::Config { config: config(), text }, &mut out);
    kernel.handle(Time::ZERO, Event::StoreAvailable(true), &mut out);
    kernel
}

fn call(number: u64, now: Time) -> Event {
    let target = Target::Service(Name::from("orders"));
    let task = Arc::new(Task { target, work: Bytes::from_static(b"w"), declared_ms: 0 });
    let submission = Submission {
        id: None,
        team: Name::from("m1"),
        deadline: now.after_ms(10_000),
        idempotent: true,
        tasks: vec![task],
    };
    Event::Submitted { call: CallId(number), submission }
}

/// Flushes a kernel after a batch; returns the frames and all effects of the batch.
fn flush(kernel: &mut Kernel, now: Time, mut out: Vec<Effect>) -> (Vec<Frame>, Vec<Effect>) {
    kernel.flush(now, &mut out);
    let frames = out.iter().filter_map(|effect| match effect {
        Effect::Send { frame, .. } => Some(frame.clone()),
        _ => None,
    });
    (frames.collect(), out)
}

fn deliver(kernel: &mut Kernel, now: Time, frames: Vec<Frame>, out: &mut Vec<Effect>) {
    for frame in frames {
        kernel.handle(now, Event::Frame(frame), out);
    }
}

/// A host handles a call and, before it has sent the resulting message, an acknowledgement of all
/// earlier ones. If the message counted as waiting for the resend timer, the caller would wait half
/// a second; on a busy host nearly all callers did.
#[test]
fn flush_call_before_acknowledgement() {
    let mut front = kernel("e1", "a", "127.0.0.1:1");
    let mut placer = kernel("e2", "b", "127.0.0.1:2");
    let now = Time::ZERO.after_ms(10);
    let mut out = Vec::new();
    front.handle(now, call(1, now), &mut out);
    let (frames, _) = flush(&mut front, now, out);
    assert!(frames.iter().any(|frame| !frame.msgs.is_empty()), "the first call is sent on");

    let now = now.after_ms(1);
    let mut out = Vec::new();
    deliver(&mut placer, now, frames, &mut out);
    let start = out.iter().find_map(|effect| match effect {
        Effect::Start { attempt, .. } => Some(*attempt),
        _ => None,
    });
    let end = AttemptEnd::Answered(Bytes::from_static(b"done"));
    let attempt = start.expect("a start");
    placer.handle(now, Event::AttemptEnded { attempt, end }, &mut out);
    let (frames, _) = flush(&mut placer, now, out);

    let now = now.after_ms(1);
    let mut out = Vec::new();
    front.handle(now, call(2, now), &mut out);
    deliver(&mut front, now, frames, &mut out);
    let (frames, out) = flush(&mut front, now, out);
    assert!(out.iter().any(|effect| matches!(effect, Effect::Answer { .. })), "the first answer");
    assert!(frames.iter().any(|frame| !frame.msgs.is_empty()), "the second call is sent on");
}
