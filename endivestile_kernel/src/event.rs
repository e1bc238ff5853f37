//! What enters and leaves the kernel.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::{Config, Name};

use crate::{
    Answer, Ask, AttemptEnd, AttemptId, Frame, Peer, PlaceRequest, Registration, Submission,
    SubmissionId,
};

/// Number of an open call of a caller, never used twice by one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// State of a host or back end in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PlatformState {
    /// In use.
    Live,
    /// Leaving: no new work.
    Leaving,
    /// Gone as the platform sees it. The list lags and a host that is cut off may
    /// serve on, so this makes a host suspect and proves nothing.
    Gone,
}

/// How a call to the platform's store ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreResult {
    /// The value and its revision; 0 and empty when the key is absent.
    Value {
        /// Revision of the last change of the key.
        revision: u64,
        /// Value.
        value: Bytes,
    },
    /// The swap took effect; the key's new revision.
    Swapped(u64),
    /// The swap found another revision and changed nothing.
    Raced,
    /// No answer, or an error: a swap may have taken effect.
    Lost,
}

/// A call to the platform's store.
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
        /// Revision expected.
        revision: u64,
        /// New value.
        value: Bytes,
    },
}

/// Everything that the edges tell the kernel.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A caller submits.
    Submitted {
        /// The open call.
        call: CallId,
        /// What to run.
        submission: Submission,
    },
    /// A caller asks for the answer to an id, or cancels it.
    Ask {
        /// The open call.
        call: CallId,
        /// The id.
        id: SubmissionId,
        /// What is asked.
        ask: Ask,
    },
    /// A frame arrived.
    Frame(Frame),
    /// The link to a peer broke or could not be made.
    LinkDown(Peer),
    /// A call to a back end ended.
    AttemptEnded {
        /// The call.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// A call to the store ended.
    StoreCallEnded {
        /// Number of the call.
        op_id: u64,
        /// How it ended.
        result: StoreResult,
    },
    /// Another value of a shard record.
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
        /// The registration, none when its lease ended.
        registration: Option<Registration>,
    },
    /// The platform's list changed for a host or back end.
    PlatformChange {
        /// Name of the host or back end.
        name: Name,
        /// State; none when the platform does not list it any more.
        state: Option<PlatformState>,
    },
    /// An operator planned a stop of a host or back end, or took it back.
    PlannedStop {
        /// Name of the host or back end.
        name: Name,
        /// Whether it is to stop.
        stop: bool,
    },
    /// The watch on the store came up or broke.
    StoreAvailable(bool),
    /// A checked configuration was read, with its canonical text.
    Config {
        /// The configuration.
        config: Arc<Config>,
        /// Its canonical text, to hand to peers.
        text: Bytes,
    },
    /// The process was told to stop gracefully.
    Shutdown,
    /// A deadline of the kernel passed.
    Tick,
}

/// Everything that the kernel tells the edges.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Answer a caller.
    Answer {
        /// The open call.
        call: CallId,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Send a frame, at most once, to `to` at `address`.
    Send {
        /// Address of the peer's links.
        address: Name,
        /// The frame.
        frame: Frame,
    },
    /// Call a back end.
    Start {
        /// Number of the call.
        attempt: AttemptId,
        /// Address of the back end, `IP:port`.
        address: Name,
        /// Path to call; empty for a worker.
        path: Name,
        /// The order.
        request: PlaceRequest,
    },
    /// Stop a call to a back end whose answer nobody wants any more.
    Abort(AttemptId),
    /// Call the store.
    StoreCall {
        /// Number of the call.
        op_id: u64,
        /// The call.
        op: StoreOp,
    },
    /// Check and offer a configuration that a peer passed on.
    OfferConfig(Bytes),
    /// Register anew in the store, as leaving or not.
    Register {
        /// Whether the host is leaving.
        leaving: bool,
    },
    /// Write a log line.
    Log(Note),
    /// Count an event for the metrics.
    Count(Metric, u64),
    /// Everything is drained: the process may end.
    Drained,
}

/// A log line: what happened, at which step, with which peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Note {
    /// Severity.
    pub level: Level,
    /// Event, one word with underscores.
    pub event: &'static str,
    /// Submission id, empty when none is concerned.
    pub id: Option<Name>,
    /// Further keys and values.
    pub pairs: Vec<(&'static str, String)>,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Something an operator has to look at.
    Error,
    /// Something unusual that the system handles.
    Warn,
    /// A change of state.
    Info,
    /// One submission's course.
    Debug,
}

/// What the kernel counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Metric {
    /// Submissions accepted.
    Accepted,
    /// Submissions refused as not run.
    RefusedNotRun,
    /// Submissions refused as unknown.
    RefusedUnknown,
    /// Answers complete.
    Complete,
    /// Answers failed.
    Failed,
    /// Task starts.
    Starts,
    /// Retries of idempotent requests.
    Retries,
    /// Submissions forwarded to a home.
    Forwards,
    /// Tasks handed to another host's placer.
    Handoffs,
    /// Witness records sent.
    Records,
    /// Frames sent.
    Frames,
    /// Frames that carried no message.
    IdleFrames,
    /// Frames sent again.
    Resent,
    /// Calls to the store.
    StoreCalls,
    /// Shards taken over.
    Takeovers,
    /// Back ends taken out.
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
