//! Addresses for processes that listen.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::atomic::{AtomicU16, Ordering};

/// Second octets in use are from here on, so that nothing shares 127.0.0.1.
const FIRST_OCTET: u8 = 64;
/// First port; all lie below those that outgoing connections are given.
const FIRST_PORT: u16 = 10_000;
/// Ports that one process may take.
const PORTS: u16 = 20_000;

/// Ports handed out by this process.
static TAKEN: AtomicU16 = AtomicU16::new(0);

/// Reserves an address for a process to listen on.
///
/// A port that the system chose and that is released again may be given to the
/// next one who asks, before the process that it is meant for has started; that
/// process would then fail to listen. So no port is handed out twice by one test
/// process, each has an IP of its own, and ports of outgoing connections are
/// left out. The port is bound once to see that nobody else has it.
///
/// # Errors
/// Those of the socket, when no port is free.
pub(crate) fn reserve() -> io::Result<SocketAddr> {
    let [_, high, mid, low] = process::id().to_be_bytes();
    let ip = IpAddr::V4(Ipv4Addr::new(127, FIRST_OCTET + (high ^ mid) % FIRST_OCTET, low, 1));
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..PORTS {
        let port = FIRST_PORT + TAKEN.fetch_add(1, Ordering::Relaxed) % PORTS;
        match TcpListener::bind(SocketAddr::new(ip, port)) {
            Ok(listener) => return listener.local_addr(),
            Err(error) => last = error,
        }
    }
    Err(last)
}
