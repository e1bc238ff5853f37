//! Writes replies on threads of their own, so that the engine never blocks on a caller.

use std::mem;

use tiny_http::Request;

use super::Reply;
use crate::thread_pool::{Pool, Work};

/// Longest request body, in bytes, whose unread rest may be drained after the reply.
const MAX_DRAINED_BYTES: usize = 256 << 20;
/// Most threads that write replies; only a caller that does not read blocks one.
const REPLY_THREADS: usize = 64;

/// Pool of threads that write replies.
pub(crate) type ReplyPool = Pool<PendingReply>;

/// A reply that has not been written yet.
#[derive(Debug)]
pub(crate) struct PendingReply {
    /// The request to reply to.
    pub(crate) request: Request,
    /// The reply.
    pub(crate) reply: Reply,
}

impl PendingReply {
    /// Creates the pool of threads that write replies.
    pub(crate) fn pool() -> ReplyPool {
        Pool::new("reply", REPLY_THREADS, ())
    }
}

impl Work for PendingReply {
    type Env = ();

    fn perform(self, (): &()) {
        let response = self.reply.into_response();
        if self.request.body_length().is_some_and(|len| len > MAX_DRAINED_BYTES) {
            // When a request is dropped, the library allocates one buffer for the
            // unread rest of its body. A `Content-Length` of terabytes would
            // abort the process. The request is leaked with its connection
            // instead, which a correct caller never causes.
            mem::forget(self.request.upgrade("close", response));
            return;
        }
        // Writing fails if the caller has disconnected. It can still fetch the answer later.
        let _ = self.request.respond(response);
    }
}
