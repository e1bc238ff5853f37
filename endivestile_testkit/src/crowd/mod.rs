//! Crowds of clients that send what is legal and stop short.

mod payload;

use std::fs;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

pub use payload::{Head, Payload};

/// Time without any progress after which a crowd has sent what the process takes.
const IDLE_PASSES: u32 = 50;
/// Pause between two passes without progress.
const PASS_PAUSE: Duration = Duration::from_millis(20);
/// Most bytes that one connection sends in one pass, so that all advance together.
const PASS_BYTES: usize = 65_536;
/// Timeout of a connection of a crowd.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// One connection of a crowd.
#[derive(Debug)]
struct Member {
    stream: Option<TcpStream>,
    sent: usize,
}

/// Open connections that all send the same payload. Dropping the crowd closes them.
#[derive(Debug)]
pub struct Crowd {
    members: Vec<Member>,
    payload: Payload,
    reads: bool,
}

impl Crowd {
    /// Connects, and sends as much as the process takes. `reads` tells whether the crowd reads what
    /// it is sent.
    pub fn send(address: SocketAddr, connections: usize, payload: Payload, reads: bool) -> Self {
        let connect = |_| {
            let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT).ok()?;
            stream.set_nonblocking(true).ok()?;
            Some(Member { stream: Some(stream), sent: 0 })
        };
        // A process that has no descriptors left lets its queue of new connections fill up.
        let members = (0..connections).map_while(connect).collect();
        let mut crowd = Self { members, payload, reads };
        // The last byte is sent after all else, so that no request ends before the others.
        let len = crowd.payload.len();
        crowd.send_until(len - 1);
        crowd.send_until(len);
        crowd
    }

    /// Sends on all connections until all are at `limit` or closed, or none advances.
    fn send_until(&mut self, limit: usize) {
        let mut idle = 0;
        while idle < IDLE_PASSES {
            let mut advanced = false;
            let mut open = 0;
            for member in &mut self.members {
                advanced |= member.advance(&self.payload, limit, self.reads);
                open += usize::from(member.stream.is_some() && member.sent < limit);
            }
            if open == 0 {
                return;
            }
            idle = if advanced { 0 } else { idle + 1 };
            if !advanced {
                thread::sleep(PASS_PAUSE);
            }
        }
    }
}

impl Member {
    /// Sends the next part. Returns whether anything was sent or the connection ended.
    fn advance(&mut self, payload: &Payload, limit: usize, reads: bool) -> bool {
        let Some(stream) = &mut self.stream else { return false };
        let mut buffer = [0; PASS_BYTES];
        let ended = |error: ErrorKind| error != ErrorKind::WouldBlock;
        if reads && matches!(stream.read(&mut buffer), Ok(0)) {
            self.stream = None;
            return true;
        }
        if self.sent >= limit {
            return false;
        }
        let len = payload.fill(self.sent, &mut buffer).min(limit - self.sent);
        match stream.write(&buffer[..len]) {
            Ok(written) => self.sent += written,
            Err(e) if ended(e.kind()) => self.stream = None,
            Err(_) => return false,
        }
        true
    }
}

/// Returns the peak memory of a process in MiB, or `None` if it has ended.
pub fn peak_mb(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = line.trim().trim_end_matches(" kB").parse().ok()?;
    Some(kib / 1_024)
}

/// Returns the number of open descriptors of a process, or `None` if it has ended.
pub fn open_files(pid: u32) -> Option<usize> {
    Some(fs::read_dir(format!("/proc/{pid}/fd")).ok()?.count())
}
