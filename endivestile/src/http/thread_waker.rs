//! Connections to oneself that release callers stuck in the HTTP library.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::error::RunError;

/// Time between two rings when nobody connects, in milliseconds.
const RING_MS: u64 = 100;
/// Wait for the connection of a ring, in milliseconds.
const CONNECT_MS: u64 = 1_000;
/// Callers' addresses that are remembered; beyond it all are forgotten.
const SEEN: usize = 4_096;

/// Rings at the host's own door.
///
/// The library's accept thread queues a connection for a waiting thread, and
/// counts that thread as waiting until it has woken up. When callers connect
/// faster than threads wake, more connections are queued than threads wait.
/// The rest stay queued until some other caller hangs up: their requests
/// are never read, and with kept connections that may be for ever. Every new
/// connection that ends at once sets free one thread, which then takes one of
/// the queue; so each first request of a connection rings once, and what that
/// releases rings again. A slow regular ring is for those that were
/// released and say nothing.
#[derive(Debug)]
pub(crate) struct ThreadWaker {
    /// Callers whose first request was seen.
    seen: Mutex<HashSet<SocketAddr>>,
    /// Asks for a ring.
    rings: Sender<()>,
}

impl ThreadWaker {
    /// Starts the thread that rings at `address`.
    pub(crate) fn start(address: SocketAddr) -> Result<Self, RunError> {
        let (rings, asked) = channel();
        let thread = thread::Builder::new().name("doorbell".to_owned());
        let work = move || ring_on(&asked, reachable(address));
        thread.spawn(work).map_err(|source| RunError::Thread { step: "serve-http", source })?;
        Ok(Self { seen: Mutex::default(), rings })
    }

    /// Notes a request, and rings if it is the first one of its caller.
    pub(crate) fn record_caller(&self, caller: Option<&SocketAddr>) {
        let Some(caller) = caller else { return };
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.len() >= SEEN {
            seen.clear();
        }
        if seen.insert(*caller) {
            // Without its thread there is nobody left to ring.
            let _ = self.rings.send(());
        }
    }
}

/// Rings whenever asked, and regularly.
fn ring_on(asked: &Receiver<()>, address: SocketAddr) {
    use std::sync::mpsc::RecvTimeoutError::Disconnected;
    let regular = Duration::from_millis(RING_MS);
    while asked.recv_timeout(regular) != Err(Disconnected) {
        // A host out of descriptors, or one that stops, can't be rung at.
        let _ = TcpStream::connect_timeout(&address, Duration::from_millis(CONNECT_MS));
    }
}

/// Returns an address by which this process reaches its own socket.
fn reachable(mut address: SocketAddr) -> SocketAddr {
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => address.set_ip(Ipv4Addr::LOCALHOST.into()),
        IpAddr::V6(ip) if ip.is_unspecified() => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        _ => {}
    }
    address
}
