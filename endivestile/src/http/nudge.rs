//! Keeps the HTTP library's threads from leaving a connection unserved.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::error::RunError;

/// Pause between two nudges, in milliseconds.
const NUDGE_MS: u64 = 50;
/// Longest wait for the connection, in milliseconds.
const DIAL_MS: u64 = 1_000;

/// Connects to the callers' socket and hangs up, again and again.
///
/// The library (tiny_http 0.12) hands an accepted connection to a waiting
/// thread, if it counts one, and otherwise starts a thread. Two connections
/// that arrive together can count the same waiting thread; the second is then
/// served only when some other caller goes away. One notices calls that take
/// seconds on an idle host, while others are answered at once. A thread that
/// ends a connection looks for such leftovers; a connection that ends at once
/// therefore frees them, 50 ms late instead of minutes.
pub(crate) fn start(listener: SocketAddr) -> Result<(), RunError> {
    let address = SocketAddr::new(local(listener.ip()), listener.port());
    let work = move || {
        loop {
            thread::sleep(Duration::from_millis(NUDGE_MS));
            let _ = TcpStream::connect_timeout(&address, Duration::from_millis(DIAL_MS));
        }
    };
    let thread = thread::Builder::new().name("nudge".to_owned());
    thread.spawn(work).map_err(|source| RunError::Thread { step: "nudge-http", source })?;
    Ok(())
}

/// Returns the address by which this host reaches a socket of its own.
fn local(ip: IpAddr) -> IpAddr {
    match ip {
        IpAddr::V4(ip) if ip.is_unspecified() => Ipv4Addr::LOCALHOST.into(),
        IpAddr::V6(ip) if ip.is_unspecified() => Ipv6Addr::LOCALHOST.into(),
        ip => ip,
    }
}
