//! Addresses for processes that listen.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::process;
use std::sync::Mutex;

use crate::lock::lock;

/// Second octets in use are from here on, so that nothing shares 127.0.0.1.
const FIRST_OCTET: u8 = 64;

/// Ports that this process has reserved.
static RESERVED: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Reserves an address for a process to listen on.
///
/// The port is bound and released again, so another process could take it
/// before it is used; the one who asked would then not start. To make that
/// rare, each test process takes addresses of its own, to which no outgoing
/// connection is bound, and no port of them is reserved twice: tests that run side
/// by side would else hand out one that a host of another has not bound yet.
///
/// # Errors
/// Those of the socket.
pub(crate) fn reserve() -> io::Result<SocketAddr> {
    let [_, high, mid, low] = process::id().to_be_bytes();
    let ip = Ipv4Addr::new(127, FIRST_OCTET + (high ^ mid) % FIRST_OCTET, low, 1);
    let address = SocketAddr::new(IpAddr::V4(ip), 0);
    loop {
        let reserved = TcpListener::bind(address)?.local_addr()?;
        if lock(&RESERVED).insert(reserved.port()) {
            return Ok(reserved);
        }
    }
}
