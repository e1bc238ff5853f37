//! What enters and leaves the shards' state machine.

use endivestile_config::model::Name;
use serde::Serialize;

use crate::{Cause, Class, KnownId, Metric, Msg, Note, Peer, StoreOp};

/// What a host tells its shards at its start.
#[derive(Debug, Clone)]
pub struct ShardSetup {
    /// This incarnation.
    pub me: Peer,
    /// Its availability zone.
    pub zone: Name,
    /// Seconds since 1970 at [`crate::Time::ZERO`].
    pub wall_s: u64,
    /// Seed of write ids and of the jitter of retries.
    pub seed: u64,
}

/// What becomes of an id that asks for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// The ticket is answered by an effect, perhaps one of the same call.
    Wait,
    /// This peer is the home.
    Forward(Peer),
    /// A submission with this id was recorded before; it is never granted again.
    Known(KnownId),
    /// Refused at once.
    Refused(Class, Cause),
}

/// What the shards ask of the kernel.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardEffect {
    /// Send a message on the link to a peer.
    Send {
        /// Receiver.
        to: Peer,
        /// Message.
        msg: Msg,
    },
    /// Call the store.
    Store {
        /// Number of the call.
        token: u64,
        /// The call.
        op: StoreOp,
    },
    /// The ticket's id may start, or "not run" of it is true.
    Granted {
        /// Ticket.
        ticket: u64,
    },
    /// The ticket is refused.
    Refused {
        /// Ticket.
        ticket: u64,
        /// What is known of the id.
        class: Class,
        /// Why.
        cause: Cause,
    },
    /// The ticket's shard moved: admit again.
    Readmit {
        /// Ticket.
        ticket: u64,
    },
    /// Write a log line.
    Log(Note),
    /// Count an event.
    Count(Metric, u64),
}

/// What a host is to a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardRole {
    /// Starts submissions.
    Home,
    /// Remembers ids for the home.
    Witness,
    /// Neither.
    Other,
}

/// A shard as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// Number of the shard.
    pub shard: u32,
    /// Home by the last record seen.
    pub home: Option<Peer>,
    /// Witness by the last record seen.
    pub witness: Option<Peer>,
    /// Epoch of the last record seen, 0 when none.
    pub epoch: u64,
    /// This host's role.
    pub role: ShardRole,
    /// Whether home and witness hold the same table, as far as this host knows.
    pub synced: bool,
    /// Ids that this host remembers.
    pub ids: usize,
}
