//! Messages between entry hosts.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::fleet::{DirectTransfer, HostReport, JobMsg, NOTICE_VERSION};
use crate::{
    Answer, Outcome, Peer, PlaceRequest, Submission, SubmissionId, TargetLoad, TaskKey, Time,
};

/// Record of an id at a shard's home and witness.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownId {
    /// The id.
    pub id: SubmissionId,
    /// Digest of the submission.
    pub digest: u64,
    /// The incarnation that may have started it.
    pub runner: Peer,
    /// When the record may be dropped.
    pub forget: Time,
}

/// A request about an id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Requests the answer if there is one, without waiting.
    Fetch,
    /// Cancels the submission unless it has ended.
    Cancel,
}

/// A message between two incarnations of entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Front to home: run a submission, or attach the call to it if it was started before.
    Submit {
        /// The front's number for the call.
        call: u64,
        /// The submission.
        submission: Arc<Submission>,
        /// Number of times it was forwarded; limited, so that hosts with stale views do not forward
        /// it in a loop.
        hops: u8,
        /// Whether the id is recorded with the receiver as its runner.
        recorded: bool,
    },
    /// Front to home: query or cancel an id.
    Ask {
        /// The front's number for the call.
        call: u64,
        /// The id.
        id: SubmissionId,
        /// The request.
        ask: Ask,
        /// Number of times it was forwarded.
        hops: u8,
    },
    /// Home to front: the answer to a call.
    Reply {
        /// The front's number for the call.
        call: u64,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Home to placer: run a task.
    Place(PlaceRequest),
    /// Home to placer: drop a task, or stop it if it runs.
    Drop(TaskKey),
    /// Placer to home: a task ended.
    Placed {
        /// Key at the home.
        key: TaskKey,
        /// The outcome.
        outcome: Outcome,
    },
    /// Home to witness: record these ids. Without ids it only checks whether the epoch is still in
    /// force.
    Record {
        /// Shard.
        shard: u32,
        /// Epoch under which the home acts.
        epoch: u64,
        /// Number of the batch at the home.
        batch: u64,
        /// The ids.
        ids: Vec<KnownId>,
    },
    /// Witness to home: the batch is recorded under the epoch.
    Recorded {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
        /// Number of the batch.
        batch: u64,
    },
    /// Witness to home: the batch is refused, since a later epoch is in force or being established.
    Fenced {
        /// Shard.
        shard: u32,
        /// The witness's epoch.
        epoch: u64,
    },
    /// Home to new witness: part of the shard's id table.
    Sync {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
        /// The ids of this part.
        ids: Vec<KnownId>,
        /// Whether this is the last part.
        last: bool,
    },
    /// New witness to home: the whole table was received.
    Synced {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
    },
    /// Home to synced witness: take over the shard, because the home is leaving or has too many
    /// shards.
    Yield {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
    },
    /// Requests a configuration later than this revision.
    WantConfig(u64),
    /// A configuration, in canonical form.
    Config {
        /// Revision.
        revision: u64,
        /// Canonical text.
        text: Bytes,
    },
    /// Message between hosts that serve jobs.
    Job(JobMsg),
    /// Direct transfer of pools between owners.
    DirectTransfer(DirectTransfer),
}

impl Msg {
    /// Returns the size of the work and results in the message, in bytes.
    pub fn payload(&self) -> usize {
        match self {
            Self::Submit { submission, .. } => {
                submission.tasks.iter().map(|task| task.work.len()).sum()
            }
            Self::Place(request) => request.task.work.len(),
            Self::Placed { outcome: Outcome::Done(result), .. } => result.len(),
            Self::Reply { answer, .. } => answer.payload(),
            Self::Config { text, .. } => text.len(),
            Self::Job(msg) => msg.payload(),
            _ => 0,
        }
    }

    /// Converts every instant from a clock that reads `theirs` to one that reads `ours`.
    pub fn rebase(&mut self, theirs: Time, ours: Time) {
        match self {
            Self::Submit { submission, .. } => {
                let submission = Arc::make_mut(submission);
                submission.deadline = submission.deadline.rebase(theirs, ours);
            }
            Self::Place(request) => {
                request.deadline = request.deadline.rebase(theirs, ours);
                request.arrived = request.arrived.rebase(theirs, ours);
            }
            Self::Reply { answer, .. } => {
                if let Answer::Refused(refusal) = Arc::make_mut(answer) {
                    refusal.retry = refusal.retry.rebase(theirs, ours);
                }
            }
            Self::Record { ids, .. } | Self::Sync { ids, .. } => {
                for known in ids {
                    known.forget = known.forget.rebase(theirs, ours);
                }
            }
            Self::Job(msg) => msg.rebase(theirs, ours),
            _ => {}
        }
    }
}

/// A batch of messages on the link between two incarnations.
///
/// Messages are numbered and resent until acknowledged, so that between two incarnations each is
/// delivered once and in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Sender.
    pub from: Peer,
    /// Receiver; another incarnation drops the frame.
    pub to: Peer,
    /// Number of the first message; 0 when the frame carries none.
    pub seq: u64,
    /// Highest message number received in order from the receiver.
    pub ack: u64,
    /// Sender's clock at sending.
    pub sent: Time,
    /// Revision of the sender's configuration.
    pub revision: u64,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Load of the sender's share, if a report is due.
    pub load: Option<Arc<[TargetLoad]>>,
    /// Receiver's clock when it sent the latest frame that the sender has received; zero for no
    /// echo.
    pub echo: Time,
    /// Report of a sender that serves jobs.
    pub report: Option<Arc<HostReport>>,
    /// The messages.
    pub msgs: Vec<Msg>,
    /// Fields that are sent beside the encoded frame, where earlier releases ignore them.
    #[serde(skip)]
    pub extension: FrameExtension,
}

/// Fields of a frame that earlier releases ignore, and leave out of their own frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct FrameExtension {
    /// Latest version of the encoding that the sender can decode; 0 if it does not say.
    pub known_version: u32,
    /// Sender's clock at its last contact with all fronts of the tasks that it forwards to the
    /// receiver; none if this frame does not say.
    pub front_contact: Option<Time>,
}

impl Frame {
    /// First version of the encoding that this release can decode.
    pub const FIRST_VERSION: u32 = 4;
    /// Latest version of the encoding that this release can decode.
    pub const LATEST_VERSION: u32 = NOTICE_VERSION;

    /// Returns the version of the encoding that a receiver has to know: the first that has all
    /// messages of the frame, so that hosts of several releases exchange all other frames.
    pub fn version(&self) -> u32 {
        let version = |msg: &Msg| match msg {
            Msg::Job(job) => job.version(),
            _ => Self::FIRST_VERSION,
        };
        self.msgs.iter().map(version).max().unwrap_or(Self::FIRST_VERSION)
    }
}

/// Registration of an incarnation in the platform's store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registration {
    /// The incarnation.
    pub peer: Peer,
    /// Availability zone.
    pub zone: Name,
    /// Address of its links, `IP:port`.
    pub address: Name,
    /// Whether it is stopping.
    pub leaving: bool,
}
