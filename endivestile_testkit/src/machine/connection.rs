//! Connections to a machine and the tasks that arrive on them.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use endivestile_wire::call::{LEASE_HEADER, NOT_RUN_HEADER, TASK_HEADER};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::fault::MachineFault;
use super::http::{self, Call, Reply};
use super::start::echo;
use super::state::{Machine, Rejection};
use super::worker;
use crate::lock::lock;
use crate::timer;

/// Pause between two looks whether a cut has ended, in milliseconds.
const CUT_LOOK_MS: u64 = 20;

/// What a connection carries back.
enum Carry {
    /// The whole answer.
    Whole(Reply),
    /// Half of the answer, then the end of the connection.
    Half(Reply),
    /// The end of the connection.
    Nothing,
    /// Nothing, with the connection left open.
    Silence,
}

/// Serves a machine's port, closing and opening it as its faults say.
pub(crate) async fn serve(machine: Arc<Machine>, first: TcpListener, birth: Instant) {
    let mut port = machine.port.subscribe();
    let mut listener = Some(first);
    loop {
        let (_, open) = *port.borrow_and_update();
        if !open {
            listener = None;
        } else if listener.is_none() {
            listener = TcpListener::bind(machine.address).await.ok();
        }
        machine.listens.store(listener.is_some(), Ordering::Release);
        tokio::select! {
            changed = port.changed() => if changed.is_err() { return },
            Some(stream) = accept(listener.as_ref()) => {
                let cut = machine.port.subscribe();
                tokio::spawn(serve_connection(Arc::clone(&machine), stream, cut, birth));
            }
        }
    }
}

/// Accepts a connection; never, without a listener.
async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn serve_connection(
    machine: Arc<Machine>,
    stream: TcpStream,
    mut cut: watch::Receiver<(u64, bool)>,
    birth: Instant,
) {
    let over = {
        let mut state = lock(&machine.state);
        state.connections += 1;
        state.connections > machine.spec.connections
    };
    if !over {
        // An error ends the connection, and that is all that a caller sees of it.
        tokio::select! {
            _ = calls(&machine, stream, birth) => {}
            _ = cut.changed() => {}
        }
    }
    lock(&machine.state).connections -= 1;
}

async fn calls(machine: &Arc<Machine>, stream: TcpStream, birth: Instant) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(call) = http::read(&mut stream).await? {
        // Written at once, so that no second packet waits for the first one's acknowledgement.
        match answer(machine, call, birth).await {
            Carry::Whole(reply) => stream.get_mut().write_all(&reply.bytes()).await?,
            Carry::Half(reply) => {
                let bytes = reply.bytes();
                let half = bytes.len() - reply.body.len().div_ceil(2);
                return stream.get_mut().write_all(&bytes[..half]).await;
            }
            Carry::Nothing => return Ok(()),
            Carry::Silence => std::future::pending().await,
        }
    }
    Ok(())
}

async fn answer(machine: &Arc<Machine>, call: Call, birth: Instant) -> Carry {
    if let Some(reply) = worker::control(machine, &call) {
        return Carry::Whole(reply);
    }
    if call.method != "POST" {
        return Carry::Whole(Reply::new(404, "no such path"));
    }
    let text = call.text();
    let key = call.header(TASK_HEADER).unwrap_or_default().to_owned();
    let caller = key.split(':').next().unwrap_or_default();
    pass(machine, caller).await;
    let carry = work(machine, &call, &key, text, birth).await;
    pass(machine, caller).await;
    carry
}

/// Waits for what lies between an entry host and the machine: a cut, then the distance.
async fn pass(machine: &Machine, caller: &str) {
    while machine.is_cut_off_from(caller) {
        timer::sleep_until(Instant::now() + Duration::from_millis(CUT_LOOK_MS)).await;
    }
    timer::sleep_until(Instant::now() + machine.distance_from(caller)).await;
}

/// Runs the task of a call, or denies it, with the machine's fault.
async fn work(
    machine: &Arc<Machine>,
    call: &Call,
    key: &str,
    text: String,
    birth: Instant,
) -> Carry {
    let lease_ms = call.header(LEASE_HEADER).and_then(|text| text.parse().ok());
    let (number, fault) = match machine.start(birth, key, &text, lease_ms) {
        Ok(started) => started,
        Err(deny) => return Carry::Whole(denial(deny)),
    };
    // The task runs on when its caller goes away, as on a real machine.
    let task = tokio::spawn(run(Arc::clone(machine), number, text));
    match fault {
        MachineFault::Close => return Carry::Nothing,
        MachineFault::Silent => return Carry::Silence,
        _ => {}
    }
    let Ok(reply) = task.await else { return Carry::Nothing };
    match fault {
        MachineFault::Status(status) => Carry::Whole(Reply::new(status, "failed")),
        MachineFault::Truncate => Carry::Half(reply),
        MachineFault::Delay(ms) => {
            timer::sleep_until(Instant::now() + Duration::from_millis(ms)).await;
            Carry::Whole(reply)
        }
        _ => Carry::Whole(reply),
    }
}

/// Runs a task to its end, its stop or the end of its lease.
async fn run(machine: Arc<Machine>, number: u64, text: String) -> Reply {
    while let Some(running) = machine.running(number) {
        let next = running.next_event();
        if running.stopped || next <= Instant::now() {
            break;
        }
        tokio::select! {
            () = timer::sleep_until(next) => {}
            () = running.changed.notified() => {}
        }
    }
    let ended = machine.finish(number);
    match ended {
        Some(running) if running.stopped => Reply::new(410, "stopped"),
        Some(running) if running.next_event() < running.ends => Reply::new(410, "lease ended"),
        _ => Reply::new(200, echo(&text)),
    }
}

fn denial(deny: Rejection) -> Reply {
    let reason = match deny {
        Rejection::Busy => "busy",
        Rejection::Leaving => "leaving",
    };
    Reply { status: 503, header: Some((NOT_RUN_HEADER, reason)), body: reason.to_owned() }
}
