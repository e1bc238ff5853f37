//! Writes replies, away from the engine's thread.

use std::mem;

use tiny_http::Request;

use super::Reply;
use crate::thread_pool::{Pool, Work};

/// Longest body that is read to its end after a refusal.
const DRAINED: usize = 256 << 20;
/// Threads that write replies; only callers who do not read keep one busy.
const VOICES: usize = 64;

/// Writes replies.
pub(crate) type ReplyPool = Pool<PendingReply>;

/// A reply on its way to the caller.
#[derive(Debug)]
pub(crate) struct PendingReply {
    /// The call.
    pub(crate) request: Request,
    /// What is said.
    pub(crate) reply: Reply,
}

impl PendingReply {
    /// Starts the pool that writes replies.
    pub(crate) fn pool() -> ReplyPool {
        Pool::new("reply", VOICES, ())
    }
}

impl Work for PendingReply {
    type Env = ();

    fn perform(self, (): &()) {
        let response = self.reply.response();
        if self.request.body_length().is_some_and(|len| len > DRAINED) {
            // The library allocates what is left of a body in one piece when a
            // request is dropped. A `Content-Length` of terabytes would abort
            // the whole process there. So the rest of such a request is leaked
            // with its connection, which a correct caller never brings about.
            mem::forget(self.request.upgrade("close", response));
            return;
        }
        // A caller that went away gets nothing; its answer is kept for its next try.
        let _ = self.request.respond(response);
    }
}
