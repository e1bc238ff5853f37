//! Serves the connections to a machine and runs the tasks received on them.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use endivestile_wire::call::{LEASE_HEADER, NOT_RUN_HEADER, TASK_HEADER};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::fault::MachineFault;
use super::http::{self, Call, Reply};
use super::start::echo;
use super::state::{Machine, Rejection};
use super::worker;
use crate::lock::lock;
use crate::timer;

/// Interval between two checks whether a partition has healed, in milliseconds.
const PARTITION_POLL_MS: u64 = 20;

/// How a call is answered on its connection.
enum Delivery {
    /// Send the complete reply.
    Complete(Reply),
    /// Send the reply with half of its body, then close the connection.
    Truncated(Reply),
    /// Close the connection.
    Disconnect,
    /// Send nothing and keep the connection open.
    NoReply,
}

/// Serves a machine's port, and closes and reopens it according to the fault.
/// Start times are relative to `origin`.
pub(crate) async fn serve(machine: Arc<Machine>, first: TcpListener, origin: Instant) {
    let mut port = machine.port.subscribe();
    let mut listener = Some(first);
    // Keeps the closed port: the system could assign it to another socket, or to the caller's
    // own end of the connection, which would then not be refused.
    let mut reserved: Option<TcpSocket> = None;
    loop {
        let (_, open) = *port.borrow_and_update();
        if !open {
            listener = None;
            reserved = reserve(machine.address).ok();
        } else if listener.is_none() {
            drop(reserved.take());
            listener = TcpListener::bind(machine.address).await.ok();
        }
        machine.listens.store(listener.is_some(), Ordering::Release);
        tokio::select! {
            changed = port.changed() => if changed.is_err() { return },
            Some(stream) = accept(listener.as_ref()) => {
                let port_changes = machine.port.subscribe();
                tokio::spawn(serve_connection(Arc::clone(&machine), stream, port_changes, origin));
            }
        }
    }
}

/// Binds an address without listening, so that connections to it are refused.
fn reserve(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// Accepts a connection, or waits forever without a listener.
async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn serve_connection(
    machine: Arc<Machine>,
    stream: TcpStream,
    mut port_changes: watch::Receiver<(u64, bool)>,
    origin: Instant,
) {
    let over_limit = {
        let mut state = lock(&machine.state);
        state.connections += 1;
        state.connections > machine.spec.connections
    };
    if !over_limit {
        // Errors only close the connection.
        tokio::select! {
            _ = serve_calls(&machine, stream, origin) => {}
            _ = port_changes.changed() => {}
        }
    }
    lock(&machine.state).connections -= 1;
}

async fn serve_calls(machine: &Arc<Machine>, stream: TcpStream, origin: Instant) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    while let Some(call) = http::read(&mut stream).await? {
        // One write per reply, so that no second packet waits for the first one's acknowledgement.
        match handle_call(machine, call, origin).await {
            Delivery::Complete(reply) => stream.get_mut().write_all(&reply.to_bytes()).await?,
            Delivery::Truncated(reply) => {
                let bytes = reply.to_bytes();
                let half = bytes.len() - reply.body.len().div_ceil(2);
                return stream.get_mut().write_all(&bytes[..half]).await;
            }
            Delivery::Disconnect => return Ok(()),
            Delivery::NoReply => std::future::pending().await,
        }
    }
    Ok(())
}

async fn handle_call(machine: &Arc<Machine>, call: Call, origin: Instant) -> Delivery {
    if let Some(reply) = worker::control(machine, &call) {
        return Delivery::Complete(reply);
    }
    if call.method != "POST" {
        return Delivery::Complete(Reply::new(404, "no such path"));
    }
    let text = call.text();
    let key = call.header(TASK_HEADER).unwrap_or_default().to_owned();
    let caller = key.split(':').next().unwrap_or_default();
    cross_network(machine, caller).await;
    let delivery = start_task(machine, &call, &key, text, origin).await;
    cross_network(machine, caller).await;
    delivery
}

/// Waits until no partition separates an entry host from the machine, then for the
/// one-way latency.
async fn cross_network(machine: &Machine, caller: &str) {
    while machine.is_disconnected_from(caller) {
        timer::sleep_until(Instant::now() + Duration::from_millis(PARTITION_POLL_MS)).await;
    }
    timer::sleep_until(Instant::now() + machine.distance_from(caller)).await;
}

/// Starts the task of a call, or rejects it, and applies the machine's fault.
async fn start_task(
    machine: &Arc<Machine>,
    call: &Call,
    key: &str,
    text: String,
    origin: Instant,
) -> Delivery {
    let lease_ms = call.header(LEASE_HEADER).and_then(|text| text.parse().ok());
    let (number, fault) = match machine.start(origin, key, &text, lease_ms) {
        Ok(started) => started,
        Err(rejection) => return Delivery::Complete(rejection_reply(rejection)),
    };
    // As on a real machine, the task continues when its caller disconnects.
    let task = tokio::spawn(run_task(Arc::clone(machine), number, text));
    match fault {
        MachineFault::Close => return Delivery::Disconnect,
        MachineFault::Unresponsive => return Delivery::NoReply,
        _ => {}
    }
    let Ok(reply) = task.await else { return Delivery::Disconnect };
    match fault {
        MachineFault::Status(status) => Delivery::Complete(Reply::new(status, "failed")),
        MachineFault::Truncate => Delivery::Truncated(reply),
        MachineFault::Delay(ms) => {
            timer::sleep_until(Instant::now() + Duration::from_millis(ms)).await;
            Delivery::Complete(reply)
        }
        _ => Delivery::Complete(reply),
    }
}

/// Waits until a task completes, is stopped or its lease expires.
async fn run_task(machine: Arc<Machine>, number: u64, text: String) -> Reply {
    while let Some(running) = machine.running(number) {
        let until = running.run_until();
        if running.stop_requested || until <= Instant::now() {
            break;
        }
        tokio::select! {
            () = timer::sleep_until(until) => {}
            () = running.changed.notified() => {}
        }
    }
    let finished = machine.finish(number);
    match finished {
        Some(running) if running.stop_requested => Reply::new(410, "stopped"),
        Some(running) if running.run_until() < running.ends_at => Reply::new(410, "lease ended"),
        _ => Reply::new(200, echo(&text)),
    }
}

fn rejection_reply(rejection: Rejection) -> Reply {
    let reason = match rejection {
        Rejection::Busy => "busy",
        Rejection::Leaving => "leaving",
    };
    Reply { status: 503, header: Some((NOT_RUN_HEADER, reason)), body: reason.to_owned() }
}
