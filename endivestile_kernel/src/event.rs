//! Inputs and outputs of the kernel.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};

use crate::{
    Answer, Ask, AttemptEnd, AttemptId, Frame, Peer, PlaceRequest, Registration, Submission,
    SubmissionId,
};

/// Number of a caller's open call, unique within one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// State of a host or backend in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformState {
    /// In use.
    Live,
    /// Receives no new work.
    Leaving,
    /// Gone according to the platform. The list lags and a host that is cut off may still serve, so
    /// this makes a host suspect but proves nothing.
    Gone,
}

/// Result of a call to the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The value and its revision; 0 and empty when the key is absent.
    Value {
        /// Revision of the last change of the key.
        revision: u64,
        /// Value.
        value: Bytes,
    },
    /// The compare-and-swap took effect; the new revision of the key.
    Swapped(u64),
    /// The compare-and-swap found another revision and changed nothing.
    Raced,
    /// No answer, or an error: a compare-and-swap may have taken effect.
    Lost,
}

/// An operation on the platform's store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads a key.
    Get {
        /// Key.
        key: Name,
    },
    /// Writes a key if its last change has this revision, 0 for an absent key.
    Swap {
        /// Key.
        key: Name,
        /// Expected revision.
        revision: u64,
        /// New value.
        value: Bytes,
    },
}

/// An input to the kernel.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller submitted work.
    Submitted {
        /// The open call.
        call: CallId,
        /// The submission.
        submission: Submission,
    },
    /// A caller requested the answer to an id, or its cancellation.
    Ask {
        /// The open call.
        call: CallId,
        /// The id.
        id: SubmissionId,
        /// The request.
        ask: Ask,
    },
    /// A frame arrived.
    Frame(Frame),
    /// The link to a peer broke or could not be established.
    LinkDown(Peer),
    /// A call to a backend ended.
    AttemptEnded {
        /// The call.
        attempt: AttemptId,
        /// Its result.
        end: AttemptEnd,
    },
    /// A call to the store ended.
    StoreCallEnded {
        /// Number of the call.
        op_id: u64,
        /// Its result.
        result: StoreResult,
    },
    /// A shard record changed.
    ShardRecordChange {
        /// Shard.
        shard: u32,
        /// Revision of the key.
        revision: u64,
        /// Value; empty when absent.
        value: Bytes,
    },
    /// A host registered, or its registration ended.
    HostRegistration {
        /// Name of the host.
        host: Name,
        /// The registration, none after its end.
        registration: Option<Registration>,
    },
    /// The platform's list changed for a host or backend.
    PlatformChange {
        /// Name of the host or backend.
        name: Name,
        /// State; none if it is no longer listed.
        state: Option<PlatformState>,
    },
    /// An operator planned a stop of a host or backend, or cancelled it.
    PlannedStop {
        /// Name of the host or backend.
        name: Name,
        /// Whether a stop is planned.
        stop: bool,
    },
    /// The watch on the store was established or broke.
    StoreAvailable(bool),
    /// A validated configuration was read.
    Config {
        /// The configuration.
        config: Arc<Config>,
        /// Its canonical text, to send to peers.
        text: Bytes,
    },
    /// A graceful shutdown of the process was requested.
    Shutdown,
    /// [`crate::Kernel::deadline`] passed.
    Tick,
}

/// An action for the process to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// The open call.
        call: CallId,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Send a frame to a peer, at most once.
    Send {
        /// Address of the peer's links.
        address: Name,
        /// The frame.
        frame: Frame,
    },
    /// Call a backend to run a task.
    Start {
        /// Number of the call.
        attempt: AttemptId,
        /// Address of the backend, `IP:port`.
        address: Name,
        /// Path to call; empty for a worker.
        path: Name,
        /// The request to run the task.
        request: PlaceRequest,
    },
    /// Abort a call to a backend whose answer is no longer needed.
    Abort(AttemptId),
    /// Start a call to the store.
    StoreCall {
        /// Number of the call.
        op_id: u64,
        /// The operation.
        op: StoreOp,
    },
    /// Validate a configuration that a peer sent, and post it as [`Event::Config`].
    OfferConfig(Bytes),
    /// Update this host's registration in the store.
    Register {
        /// Whether the host is leaving.
        leaving: bool,
    },
    /// Write a log line.
    Log(Note),
    /// Add to a counter.
    Count(Metric, u64),
    /// All work is drained: the process may exit.
    Drained,
}

/// A structured log line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Severity.
    pub level: Level,
    /// Name of the event, in snake case.
    pub event: &'static str,
    /// Id of the submission, if the line concerns one.
    pub id: Option<Name>,
    /// Further keys and values.
    pub pairs: Vec<(&'static str, String)>,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Needs the attention of an operator.
    Error,
    /// Unusual, but handled by the system.
    Warn,
    /// A change of state.
    Info,
    /// Progress of one submission.
    Debug,
}

/// Counters of the kernel.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// Submissions accepted.
    Accepted,
    /// Submissions refused as not run.
    RefusedNotRun,
    /// Submissions refused as unknown.
    RefusedUnknown,
    /// Complete answers.
    Complete,
    /// Failed answers.
    Failed,
    /// Task starts.
    Starts,
    /// Retries of idempotent requests.
    Retries,
    /// Submissions forwarded to a home.
    Forwards,
    /// Tasks sent to another host's placer.
    Handoffs,
    /// Witness records sent.
    Records,
    /// Frames sent.
    Frames,
    /// Frames without a message.
    IdleFrames,
    /// Frames resent.
    Resent,
    /// Calls to the store.
    StoreCalls,
    /// Shards taken over.
    Takeovers,
    /// Backends taken out of use.
    Ejections,
}

impl fmt::Display for Metric {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Self::Accepted => "accepted",
            Self::RefusedNotRun => "refused_not_run",
            Self::RefusedUnknown => "refused_unknown",
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Starts => "starts",
            Self::Retries => "retries",
            Self::Forwards => "forwards",
            Self::Handoffs => "handoffs",
            Self::Records => "records",
            Self::Frames => "frames",
            Self::IdleFrames => "idle_frames",
            Self::Resent => "resent",
            Self::StoreCalls => "store_calls",
            Self::Takeovers => "takeovers",
            Self::Ejections => "ejections",
        };
        f.write_str(name)
    }
}
