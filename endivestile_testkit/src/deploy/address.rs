//! Allocation of listen addresses for processes under test.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// Lowest second octet of the addresses, so that none is 127.0.0.1.
const FIRST_OCTET: u8 = 64;
/// Lowest port. All ports are below the system's ephemeral range.
const FIRST_PORT: u16 = 10_000;
/// Number of ports that one test process may use.
const PORTS: u16 = 20_000;

/// Ports allocated by this process so far.
static ALLOCATED: AtomicU16 = AtomicU16::new(0);

/// Reserves an address for a process to listen on.
///
/// An ephemeral port that was bound and released can be assigned to another
/// socket before the intended process binds it, and that process then fails to
/// listen. Therefore a test process never allocates a port twice, uses an IP
/// address of its own and avoids the ephemeral range. A trial bind checks that
/// the port is free.
///
/// # Errors
/// Returns the last bind error when no port is free.
pub(crate) fn reserve() -> io::Result<SocketAddr> {
    let [_, high, mid, low] = process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, FIRST_OCTET + (high ^ mid) % FIRST_OCTET, low, 1));
    let mut last_error = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORTS {
        let port = FIRST_PORT + ALLOCATED.fetch_add(1, Ordering::Relaxed) % PORTS;
        match TcpListener::bind(SocketAddr::new(ip, port)) {
            Ok(listener) => return listener.local_addr(),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}
