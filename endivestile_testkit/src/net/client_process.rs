//! Finds the process at the client end of a loopback connection.

use std::fs;
use std::net::{SocketAddr, SocketAddrV4};

/// Returns which of `pids` opened the connection from `from` to `to`.
///
/// The accepting side sees only the client's address. The kernel's socket table
/// maps that address to an inode, which is also listed among the open files of
/// the process.
pub(crate) fn client_pid(from: SocketAddr, to: SocketAddr, pids: &[u32]) -> Option<u32> {
    let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, to) else { return None };
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let pair = format!("{} {}", to_hex(from), to_hex(to));
    let line = table.lines().find(|line| line.contains(&pair))?;
    let inode = line.split_whitespace().nth(9)?;
    let socket = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| has_open(*pid, &socket))
}

/// Formats an address as in `/proc/net/tcp`: the IP address as a number in host
/// byte order, then the port.
fn to_hex(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn has_open(pid: u32, socket: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == socket)
}
