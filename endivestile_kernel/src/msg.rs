//! Messages between entry hosts.

use std::sync::Arc;

use bytes::Bytes;
use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};

use crate::fleet::{DirectTransfer, HostReport, JobMsg};
use crate::{
    Answer, Outcome, Peer, PlaceRequest, Submission, SubmissionId, TargetLoad, TaskKey, Time,
};

/// One id as a shard's home and witness keep it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownId {
    /// The id.
    pub id: SubmissionId,
    /// Digest of the submission.
    pub digest: u64,
    /// The incarnation that may have started it.
    pub runner: Peer,
    /// When it may be forgotten.
    pub forget: Time,
}

/// Why a front sends an id to its home.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Says how it stands, without waiting.
    Fetch,
    /// Stops what has not finished.
    Cancel,
}

/// A message between two incarnations of entry hosts.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Msg {
    /// Front to home: run this, or attach me to it.
    Submit {
        /// The front's number for the call.
        call: u64,
        /// What to run.
        submission: Arc<Submission>,
        /// Hosts that have passed it on; bounded, so that two stale views end.
        hops: u8,
        /// Whether the home has the id recorded as the receiver's own.
        recorded: bool,
    },
    /// Front to home: how does it stand, or stop it.
    Ask {
        /// The front's number for the call.
        call: u64,
        /// The id.
        id: SubmissionId,
        /// What is asked.
        ask: Ask,
        /// Hosts that have passed it on.
        hops: u8,
    },
    /// Home to front.
    Reply {
        /// The front's number for the call.
        call: u64,
        /// The answer.
        answer: Arc<Answer>,
    },
    /// Home to placer.
    Place(PlaceRequest),
    /// Home to placer: drop the task, or stop it if it runs.
    Drop(TaskKey),
    /// Placer to home.
    Placed {
        /// Key at the home.
        key: TaskKey,
        /// How it ended.
        outcome: Outcome,
    },
    /// Home to witness: remember these ids; none is a question whether the home may go on.
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
    /// Witness to home: remembered under the epoch.
    Recorded {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
        /// Number of the batch.
        batch: u64,
    },
    /// Witness to home: refused, a later epoch is in force or under way.
    Fenced {
        /// Shard.
        shard: u32,
        /// The witness's epoch.
        epoch: u64,
    },
    /// Home to new witness: part of the table of the shard.
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
    /// New witness to home: the whole table arrived.
    Synced {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
    },
    /// Home to synced witness: take the shard over, I am leaving or have too many.
    Yield {
        /// Shard.
        shard: u32,
        /// Epoch.
        epoch: u64,
    },
    /// Asks for a configuration later than this revision.
    WantConfig(u64),
    /// A configuration, in canonical form.
    Config {
        /// Revision.
        revision: u64,
        /// Text.
        text: Bytes,
    },
    /// Between hosts that serve jobs.
    Job(JobMsg),
    /// Between owners of workers.
    DirectTransfer(DirectTransfer),
}

impl Msg {
    /// Returns the bytes of work and results that the message carries.
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

    /// Moves every deadline from a clock that reads `theirs` to one that reads `ours`.
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
/// Frames are numbered, acknowledged and sent again until acknowledged, so
/// that between two incarnations every message arrives once and in order.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    /// Sender.
    pub from: Peer,
    /// The incarnation meant; another one drops the frame.
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
    /// Load of the sender's share, when it changed enough to tell.
    pub load: Option<Arc<[TargetLoad]>>,
    /// Receiver's clock at the sending of the latest of its frames that the
    /// sender has had; zero when it echoes none.
    pub echo: Time,
    /// What a sender that serves jobs tells of itself.
    pub report: Option<Arc<HostReport>>,
    /// The messages.
    pub msgs: Vec<Msg>,
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
