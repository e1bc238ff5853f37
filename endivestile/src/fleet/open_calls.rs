//! Callers that wait for the engine's answer.

use std::collections::HashMap;

use bytes::Bytes;
use endivestile_kernel::CallId;
use endivestile_wire::adapter::{Adapter, CallerResponse};
use http::header::CONNECTION;
use http::{HeaderValue, Response};
use tokio::sync::oneshot::Sender;

/// Open calls with the ways back.
#[derive(Debug)]
pub(crate) struct OpenCalls {
    adapter: &'static Adapter,
    calls: HashMap<CallId, Sender<Response<Bytes>>>,
    closing: bool,
}

impl OpenCalls {
    /// Starts with no call.
    pub(crate) fn new(adapter: &'static Adapter) -> Self {
        Self { adapter, calls: HashMap::new(), closing: false }
    }

    /// Remembers a caller until its answer comes.
    pub(crate) fn insert(&mut self, call: CallId, reply: Sender<Response<Bytes>>) {
        self.calls.insert(call, reply);
    }

    /// Answers a caller; one that has left hears nothing.
    pub(crate) fn answer(&mut self, call: CallId, say: &CallerResponse) {
        if let Some(reply) = self.calls.remove(&call) {
            self.respond(reply, say);
        }
    }

    /// Answers at once.
    pub(crate) fn respond(&self, reply: Sender<Response<Bytes>>, say: &CallerResponse) {
        let mut response = (self.adapter.encode_response)(say);
        if self.closing {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let _ = reply.send(response);
    }

    /// Forgets a caller that has left.
    pub(crate) fn remove(&mut self, call: CallId) {
        self.calls.remove(&call);
    }

    /// From now on every answer asks the caller to come back elsewhere.
    pub(crate) fn close_connections(&mut self) {
        self.closing = true;
    }

    /// Returns the calls of all callers that wait.
    pub(crate) fn ids(&self) -> Vec<CallId> {
        self.calls.keys().copied().collect()
    }

    /// Returns how many callers wait.
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }
}
