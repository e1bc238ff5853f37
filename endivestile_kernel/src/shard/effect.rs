//! Inputs and outputs of the shards' state machine.

use endivestile_config::model::Name;
use serde::Serialize;

use crate::{Cause, Class, KnownId, Metric, Msg, Note, Peer, StoreOp};

/// Parameters of [`crate::Shards`] at the start of a host.
#[derive(Debug, Clone)]
pub struct ShardSetup {
    /// This incarnation.
    pub me: Peer,
    /// Its availability zone.
    pub zone: Name,
    /// Wall clock at [`crate::Time::ZERO`], in seconds since 1970.
    pub wall_s: u64,
    /// Seed of the random write ids and of the jitter of retries.
    pub seed: u64,
}

/// Immediate result of a request for admission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Admission {
    /// An effect will answer the ticket, possibly one of the same call.
    Wait,
    /// The request has to go to this peer, which is the home or will claim the shard.
    Forward(Peer),
    /// The id was recorded before and is never granted again.
    Known(KnownId),
    /// The request is refused.
    Refused(Class, Cause),
}

/// An action for the kernel to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum ShardEffect {
    /// Send a message to a peer.
    Send {
        /// Receiver.
        to: Peer,
        /// Message.
        msg: Msg,
    },
    /// Start a call to the platform's store.
    Store {
        /// Token that the reply has to carry.
        token: u64,
        /// Operation.
        op: StoreOp,
    },
    /// The id of the ticket may start, or is confirmed as not run.
    Granted {
        /// Ticket.
        ticket: u64,
    },
    /// The ticket is refused.
    Refused {
        /// Ticket.
        ticket: u64,
        /// Whether the id is known not to have run.
        class: Class,
        /// Cause of the refusal.
        cause: Cause,
    },
    /// The home of the ticket's shard changed: request admission again.
    Readmit {
        /// Ticket.
        ticket: u64,
    },
    /// Write a log line.
    Log(Note),
    /// Add to a counter.
    Count(Metric, u64),
}

/// Role of a host in a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum ShardRole {
    /// Starts submissions.
    Home,
    /// Keeps a copy of the home's ids.
    Witness,
    /// Neither.
    Other,
}

/// State of a shard as seen by this host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ShardStatus {
    /// Number of the shard.
    pub shard: u32,
    /// Home in the last observed record.
    pub home: Option<Peer>,
    /// Witness in the last observed record.
    pub witness: Option<Peer>,
    /// Epoch of the last observed record, 0 without one.
    pub epoch: u64,
    /// This host's role.
    pub role: ShardRole,
    /// Whether the witness has the home's whole table, from this host's point of view.
    pub synced: bool,
    /// Number of ids in this host's table.
    pub ids: usize,
}
