//! Which process holds the other end of a local connection.

use std::fs;
use std::net::{SocketAddr, SocketAddrV4};

/// Returns which of `pids` holds the connection from `from` to `to`.
///
/// The kernel's table of sockets names the socket's inode, and the process's
/// open files name it too; nothing else tells who dialled.
pub(crate) fn client_pid(from: SocketAddr, to: SocketAddr, pids: &[u32]) -> Option<u32> {
    let (SocketAddr::V4(from), SocketAddr::V4(to)) = (from, to) else { return None };
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let pair = format!("{} {}", hex(from), hex(to));
    let line = table.lines().find(|line| line.contains(&pair))?;
    let inode = line.split_whitespace().nth(9)?;
    let socket = format!("socket:[{inode}]");
    pids.iter().copied().find(|pid| holds(*pid, &socket))
}

/// Writes an address as the table does: bytes in host order, then the port.
fn hex(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn holds(pid: u32, socket: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{pid}/fd")) else { return false };
    let links = files.flatten().filter_map(|file| fs::read_link(file.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == socket)
}
