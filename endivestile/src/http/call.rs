//! Calls from callers, as the engine receives them.

use endivestile_kernel::{Ask, Submission, SubmissionId};
use tokio::sync::oneshot;

use super::Reply;

/// An open call, which is answered exactly once.
#[derive(Debug)]
pub(crate) struct Call {
    /// Sends the reply.
    pub(crate) reply: oneshot::Sender<Reply>,
    /// Number of minted ids to return with the reply.
    pub(crate) ids: usize,
    /// Requested operation.
    pub(crate) operation: Operation,
}

/// Operation that a caller requests from the engine.
#[derive(Debug)]
pub(crate) enum Operation {
    /// Run a request or a job.
    Submit(Submission, ReplyFormat),
    /// Fetch the answer to a submission, or cancel it.
    Ask(SubmissionId, Ask),
    /// Mint this many ids.
    MintIds(usize),
    /// Report whether the host accepts new work.
    Ready,
    /// Report the state of the host.
    Status,
    /// Send this reply with minted ids added.
    ReplyWithIds(Reply),
}

/// Format in which an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyFormat {
    /// The result of the only task, unchanged from the backend.
    Raw,
    /// A JSON body with the results of all tasks.
    Json,
    /// Like [`Self::Json`], for the caller that cancelled the submission.
    Cancel,
}
