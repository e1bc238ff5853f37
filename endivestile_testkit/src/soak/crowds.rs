//! Crowds of clients beside the load of a soak test.

use std::net::SocketAddr;
use std::sync::mpsc::{Sender, channel};
use std::thread;

use super::fault::CrowdKind;
use crate::crowd::{Crowd, Payload};

/// Memory of a host's machine, in MiB.
pub(crate) const HOST_MEMORY_MB: u64 = 120;
/// Descriptors of a host, of which 200 are reserved.
pub(crate) const HOST_FILES: u32 = 456;
/// Connections of a crowd: more than a host accepts from callers.
const CONNECTIONS: usize = 200;
/// Longest body in the configuration of the stand-in, in bytes.
const BODY_BYTES: usize = 4_096;
/// Longest head in the configuration of the stand-in, in bytes.
const HEAD_BYTES: usize = 16_384;
/// Pipelined requests of a client that does not read.
const UNREAD_REQUESTS: usize = 5_000;

/// The crowds that are sending. Each ends when its sender is dropped.
#[derive(Debug, Default)]
pub(crate) struct Crowds {
    open: Vec<(usize, CrowdKind, Sender<()>)>,
}

impl Crowds {
    /// Sends a crowd to a host, on a thread of its own.
    pub(crate) fn begin(&mut self, host: usize, kind: CrowdKind, address: SocketAddr) {
        let (ended, end) = channel();
        thread::spawn(move || {
            let crowd = Crowd::send(address, CONNECTIONS, payload(kind), false);
            // Returns an error once the sender is dropped.
            let _ = end.recv();
            drop(crowd);
        });
        self.open.push((host, kind, ended));
    }

    /// Ends the crowds of one kind at a host.
    pub(crate) fn end(&mut self, host: usize, kind: CrowdKind) {
        self.open.retain(|(at, open, _)| (*at, *open) != (host, kind));
    }
}

fn payload(kind: CrowdKind) -> Payload {
    match kind {
        CrowdKind::Short => Payload::sized(head, BODY_BYTES, 1),
        CrowdKind::Whole => Payload::sized(head, BODY_BYTES, 0),
        CrowdKind::Chunks => Payload::tiny_chunks(head, BODY_BYTES),
        CrowdKind::Heads => Payload::endless_head(HEAD_BYTES),
        CrowdKind::Unread => {
            let request = "GET /jobs/ HTTP/1.1\r\nHost: jobs.example\r\n\r\n";
            Payload::pipelined(request, UNREAD_REQUESTS)
        }
    }
}

fn head(framing: &str) -> String {
    format!(
        "POST /jobs/00000000000000bb HTTP/1.1\r\nHost: jobs.example\r\nX-Deadline-Ms: 2500\r\n\
         Request-Id: crowd\r\n{framing}\r\n\r\n"
    )
}
