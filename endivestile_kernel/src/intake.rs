//! Decides which connections of clients a process keeps, and which it closes or refuses.
//!
//! Every connection is granted a part of the process's memory that covers its buffers and an
//! ordinary request. What a connection holds beyond its grant counts towards a pool that all share.
//! A full process closes the connection that has waited longest for its client: clients that stop
//! short lose their connections, and a client that sends its request is never the one. A connection
//! whose request has been received completely is owed an answer and is not closed.

use std::collections::{BTreeMap, BTreeSet};

use crate::time::Time;

/// Bytes that a connection may hold without taking from the pool.
pub const GRANT_BYTES: usize = 4_096;
/// Memory that a connection is expected to take, in bytes: its buffers in the HTTP library and in
/// the operating system, its state and its grant.
const CONNECTION_BYTES: u64 = 65_536;
/// Descriptors that the platform reserves for files.
const RESERVED_FILES: u64 = 200;
/// Fewest connections of a listener, whatever the machine.
const MIN_CONNECTIONS: u64 = 4;

/// Memory and descriptors that the process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// File descriptors.
    pub files: u64,
}

/// What a listener may hold for its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IntakeLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum number of bytes that all connections hold beyond their grants.
    pub pool_bytes: usize,
}

impl Machine {
    /// Returns the limits of the listener for callers: half of the descriptors, a quarter of the
    /// memory for connections and an eighth for the pool.
    pub fn caller_limits(self) -> IntakeLimits {
        self.limits(2, 4, 8)
    }

    /// Returns the limits of the listener for other hosts: a quarter of the descriptors, a quarter
    /// of the memory for connections and a sixteenth for the pool.
    pub fn link_limits(self) -> IntakeLimits {
        self.limits(4, 4, 16)
    }

    /// Returns the limits of a listener for short requests without bodies, such as readiness
    /// checks: a thirty-second of the descriptors, a sixty-fourth of the memory, and no pool.
    pub fn probe_limits(self) -> IntakeLimits {
        IntakeLimits { pool_bytes: 0, ..self.limits(32, 64, 64) }
    }

    fn limits(self, file_part: u64, memory_part: u64, pool_part: u64) -> IntakeLimits {
        let by_files = self.files.saturating_sub(RESERVED_FILES) / file_part;
        let by_memory = self.memory_bytes / memory_part / CONNECTION_BYTES;
        let connections = by_files.min(by_memory).max(MIN_CONNECTIONS);
        IntakeLimits {
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
            pool_bytes: usize::try_from(self.memory_bytes / pool_part).unwrap_or(usize::MAX),
        }
    }
}

/// Id of a connection of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(u64);

/// Whether a connection may hold what it asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It may.
    Admit,
    /// It may not: everything else that is held is owed an answer.
    Refuse,
    /// It has been closed.
    Closed,
}

/// What a connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// For its client, since this time.
    Client(Time),
    /// For the answer to a complete request.
    Answer,
}

#[derive(Debug, Clone, Copy)]
struct Conn {
    stage: Stage,
    held: usize,
}

impl Conn {
    fn excess(&self) -> usize {
        self.held.saturating_sub(GRANT_BYTES)
    }
}

/// The connections of a listener and what they hold.
#[derive(Debug)]
pub struct Intake {
    limits: IntakeLimits,
    conns: BTreeMap<ConnId, Conn>,
    /// Connections that wait for their clients, the one that has waited longest first.
    waiting: BTreeSet<(Time, ConnId)>,
    /// Those of `waiting` that take from the pool.
    large: BTreeSet<(Time, ConnId)>,
    pool_used: usize,
    next_id: u64,
    /// Connections that were closed since the last call of [`Self::take_closed`].
    closed: Vec<ConnId>,
}

impl Intake {
    /// Starts without connections.
    pub fn new(limits: IntakeLimits) -> Self {
        Self {
            limits,
            conns: BTreeMap::new(),
            waiting: BTreeSet::new(),
            large: BTreeSet::new(),
            pool_used: 0,
            next_id: 0,
            closed: Vec::new(),
        }
    }

    /// Admits a new connection; a full listener closes the one that has waited longest for its
    /// client. Returns `None` if all are owed an answer.
    pub fn open(&mut self, now: Time) -> Option<ConnId> {
        if self.conns.len() >= self.limits.connections {
            let (_, longest) = *self.waiting.first()?;
            self.close(longest);
        }
        let id = ConnId(self.next_id);
        self.next_id += 1;
        self.insert(id, Conn { stage: Stage::Client(now), held: 0 });
        Some(id)
    }

    /// Records that the client of a connection has sent something. This changes nothing while the
    /// connection is owed an answer.
    pub fn touch(&mut self, id: ConnId, now: Time) {
        if self.conns.get(&id).is_some_and(|conn| conn.stage != Stage::Answer)
            && let Some(conn) = self.remove(id)
        {
            self.insert(id, Conn { stage: Stage::Client(now), ..conn });
        }
    }

    /// Records that the client of a connection has sent something, and that the connection now
    /// holds `held` bytes of an incomplete request. If the pool is exceeded, connections that take
    /// from it are closed, the one that has waited longest for its client first.
    pub fn receive(&mut self, id: ConnId, held: usize, now: Time) -> Verdict {
        if self.remove(id).is_none() {
            return Verdict::Closed;
        }
        let conn = Conn { stage: Stage::Client(now), held };
        // A request alone is served, however small the pool.
        let refused = !self.make_space(conn.excess()) && self.pool_used > 0;
        let held = if refused { 0 } else { held };
        self.insert(id, Conn { held, ..conn });
        if refused { Verdict::Refuse } else { Verdict::Admit }
    }

    /// Records that the request of a connection is complete: it is owed an answer.
    pub fn complete(&mut self, id: ConnId) -> Verdict {
        let Some(conn) = self.remove(id) else { return Verdict::Closed };
        self.insert(id, Conn { stage: Stage::Answer, ..conn });
        Verdict::Admit
    }

    /// Records that the answer of a connection is ready: it waits for its client, and holds
    /// `held` bytes until the client has read them. An answer is never refused: others are closed
    /// if it exceeds the pool.
    pub fn answer(&mut self, id: ConnId, held: usize, now: Time) {
        if self.remove(id).is_some() {
            let conn = Conn { stage: Stage::Client(now), held };
            self.make_space(conn.excess());
            self.insert(id, conn);
        }
    }

    /// Removes a connection that has ended.
    pub fn end(&mut self, id: ConnId) {
        self.remove(id);
    }

    /// Returns the connections that were closed since the last call.
    pub fn take_closed(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.closed)
    }

    /// Returns the number of connections.
    pub fn connections(&self) -> usize {
        self.conns.len()
    }

    /// Returns the number of bytes taken from the pool.
    pub fn pool_used(&self) -> usize {
        self.pool_used
    }

    /// Closes connections that take from the pool until it has space for `bytes`, the one that has
    /// waited longest for its client first. Returns whether there is space.
    fn make_space(&mut self, bytes: usize) -> bool {
        while bytes > 0 && self.pool_used + bytes > self.limits.pool_bytes {
            let Some(&(_, longest)) = self.large.first() else { return false };
            self.close(longest);
        }
        true
    }

    fn close(&mut self, id: ConnId) {
        self.remove(id);
        self.closed.push(id);
    }

    fn insert(&mut self, id: ConnId, conn: Conn) {
        self.pool_used += conn.excess();
        if let Stage::Client(since) = conn.stage {
            self.waiting.insert((since, id));
            if conn.excess() > 0 {
                self.large.insert((since, id));
            }
        }
        self.conns.insert(id, conn);
    }

    fn remove(&mut self, id: ConnId) -> Option<Conn> {
        let conn = self.conns.remove(&id)?;
        self.pool_used -= conn.excess();
        if let Stage::Client(since) = conn.stage {
            self.waiting.remove(&(since, id));
            self.large.remove(&(since, id));
        }
        Some(conn)
    }
}
