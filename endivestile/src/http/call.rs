//! A caller's call on its way to the engine.

use endivestile_kernel::{Ask, Submission, SubmissionId};
use tiny_http::Request;

use super::Reply;

/// An open call; it is answered exactly once.
#[derive(Debug)]
pub(crate) struct Call {
    /// The request, which carries the way back.
    pub(crate) request: Request,
    /// Minted ids that the caller wants with its answer.
    pub(crate) ids: usize,
    /// What the caller wants.
    pub(crate) operation: Operation,
}

/// What a caller wants of the engine.
#[derive(Debug)]
pub(crate) enum Operation {
    /// Run a request or a job.
    Submit(Submission, ReplyFormat),
    /// Ask for an answer, or cancel.
    Ask(SubmissionId, Ask),
    /// Mint ids.
    MintIds(usize),
    /// Say whether new work is taken.
    Ready,
    /// Show the state of the host.
    Status,
    /// Only the ids are missing in this reply.
    ReplyWithIds(Reply),
}

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReplyFormat {
    /// The result of the only task, as the back end gave it.
    Raw,
    /// A JSON body with the results of all tasks.
    Json,
    /// As [`Self::Json`], to a caller that cancelled.
    Cancel,
}
