//! Releases callers whose connections are stuck in the queue of the HTTP library.

use std::collections::HashSet;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use crate::error::RunError;

/// Interval between two wake-ups when no caller connects, in milliseconds.
const WAKE_INTERVAL_MS: u64 = 100;
/// Timeout for the connection of a wake-up, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Most caller addresses that are kept; at this number all are discarded.
const MAX_SEEN_CALLERS: usize = 4_096;

/// Wakes the library's threads by short connections to the host's own socket.
///
/// The library's accept thread queues a connection for a waiting thread, and
/// counts that thread as waiting until it has woken up. When callers connect
/// faster than threads wake, more connections are queued than threads wait.
/// The requests of the others are not read until some other caller
/// disconnects, which may never happen with persistent connections.
///
/// Every new connection that ends at once frees one thread, which then takes a
/// connection from the queue. The first request of each connection therefore
/// triggers a wake-up, and the connection that this releases triggers the next
/// one. Wake-ups at a fixed interval cover released connections that send no
/// request.
#[derive(Debug)]
pub(crate) struct ThreadWaker {
    /// Addresses of callers that have sent a request.
    seen: Mutex<HashSet<SocketAddr>>,
    /// Requests a wake-up.
    wake_requests: Sender<()>,
}

impl ThreadWaker {
    /// Starts the thread that connects to `address`.
    pub(crate) fn start(address: SocketAddr) -> Result<Self, RunError> {
        let (wake_requests, requests) = channel();
        let thread = thread::Builder::new().name("doorbell".to_owned());
        let work = move || run(&requests, connectable(address));
        thread.spawn(work).map_err(|source| RunError::Thread { step: "serve-http", source })?;
        Ok(Self { seen: Mutex::default(), wake_requests })
    }

    /// Records the caller of a request, and requests a wake-up if it is its first one.
    pub(crate) fn record_caller(&self, caller: Option<&SocketAddr>) {
        let Some(caller) = caller else { return };
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        if seen.len() >= MAX_SEEN_CALLERS {
            seen.clear();
        }
        if seen.insert(*caller) {
            // Sending fails only if the thread has ended.
            let _ = self.wake_requests.send(());
        }
    }
}

/// Connects to `address` on request and at a fixed interval.
fn run(requests: &Receiver<()>, address: SocketAddr) {
    use std::sync::mpsc::RecvTimeoutError::Disconnected;
    let interval = Duration::from_millis(WAKE_INTERVAL_MS);
    while requests.recv_timeout(interval) != Err(Disconnected) {
        // Fails if the host has no file descriptors left or is stopping.
        let _ = TcpStream::connect_timeout(&address, Duration::from_millis(CONNECT_TIMEOUT_MS));
    }
}

/// Returns an address at which this process can connect to its own socket.
fn connectable(mut address: SocketAddr) -> SocketAddr {
    match address.ip() {
        IpAddr::V4(ip) if ip.is_unspecified() => address.set_ip(Ipv4Addr::LOCALHOST.into()),
        IpAddr::V6(ip) if ip.is_unspecified() => address.set_ip(Ipv6Addr::LOCALHOST.into()),
        _ => {}
    }
    address
}
