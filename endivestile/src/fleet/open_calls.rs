//! Calls that wait for the engine's answer.

use std::collections::HashMap;

use bytes::Bytes;
use endivestile_kernel::CallId;
use endivestile_wire::adapter::{Adapter, CallerResponse};
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use tokio::sync::oneshot::Sender;

/// Open calls with the channels for their responses.
#[derive(Debug)]
pub(crate) struct OpenCalls {
    adapter: &'static Adapter,
    calls: HashMap<CallId, Sender<Response<Bytes>>>,
    closing: bool,
}

impl OpenCalls {
    /// Starts without calls.
    pub(crate) fn new(adapter: &'static Adapter) -> Self {
        Self { adapter, calls: HashMap::new(), closing: false }
    }

    /// Adds a call that waits for its answer.
    pub(crate) fn insert(&mut self, call: CallId, reply: Sender<Response<Bytes>>) {
        self.calls.insert(call, reply);
    }

    /// Answers an open call; does nothing if its caller has disconnected.
    pub(crate) fn answer(&mut self, call: CallId, answer: &CallerResponse) {
        if let Some(reply) = self.calls.remove(&call) {
            self.respond(reply, answer);
        }
    }

    /// Sends an answer to a caller.
    pub(crate) fn respond(&self, reply: Sender<Response<Bytes>>, answer: &CallerResponse) {
        let mut response = (self.adapter.encode_response)(answer);
        if self.closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let _ = reply.send(response);
    }

    /// Removes a call whose caller has disconnected.
    pub(crate) fn remove(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// Sends `Connection: close` with every later response, so that callers reconnect
    /// to another host.
    pub(crate) fn close_connections(&mut self) {
        self.closing = true;
    }

    /// Returns the ids of all open calls.
    pub(crate) fn ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }

    /// Returns the number of open calls.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }
}
