//! Answers callers and readers of the metrics page; cancels the calls of callers that disconnect.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use bytes::Bytes;
use endivestile_kernel::CallId;
use endivestile_kernel::fleet::{FleetEvent, Limits};
use http::header::RETRY_AFTER;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode};
use tokio::sync::oneshot;

use super::inbox::{HttpCall, Inbox, Input};
use super::metrics::Metrics;
use crate::http_server::{BodyError, Handler};

/// Answers callers through the engine.
#[derive(Debug, Clone)]
pub(crate) struct CallHandler {
    /// The engine's inbox.
    pub(crate) inbox: Inbox,
    /// Current limits on callers.
    pub(crate) limits: Arc<RwLock<Limits>>,
    /// Id of the next call.
    pub(crate) next_call: Arc<AtomicU64>,
}

impl Handler for CallHandler {
    fn limits(&self) -> Limits {
        *self.limits.read().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(&self, head: Parts, body: Bytes) -> Response<Bytes> {
        let call = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let (reply, answer) = oneshot::channel();
        let mut guard = CancelGuard { call, inbox: self.inbox.clone(), answered: false };
        self.inbox.post(Input::Call(Box::new(HttpCall { call, head, body, reply })));
        let answer = answer.await;
        guard.answered = true;
        answer.unwrap_or_else(|_| empty_response(StatusCode::SERVICE_UNAVAILABLE))
    }

    async fn refuse(&self, _head: Parts, error: BodyError) -> Response<Bytes> {
        refusal(error)
    }
}

/// Answers every request with the metrics page.
#[derive(Debug, Clone)]
pub(crate) struct PageHandler {
    /// What the page shows.
    pub(crate) metrics: Metrics,
}

impl Handler for PageHandler {
    fn limits(&self) -> Limits {
        Limits { body_bytes: 0, ..Limits::default() }
    }

    async fn handle(&self, _head: Parts, _body: Bytes) -> Response<Bytes> {
        self.metrics.page()
    }

    async fn refuse(&self, _head: Parts, error: BodyError) -> Response<Bytes> {
        refusal(error)
    }
}

fn refusal(error: BodyError) -> Response<Bytes> {
    match error {
        BodyError::TooLong(_) => empty_response(StatusCode::PAYLOAD_TOO_LARGE),
        BodyError::Truncated => empty_response(StatusCode::BAD_REQUEST),
        BodyError::Late => empty_response(StatusCode::REQUEST_TIMEOUT),
        BodyError::Refused => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
            response
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Cancels a call in the engine if it is dropped before the call is answered.
struct CancelGuard {
    call: CallId,
    inbox: Inbox,
    answered: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.inbox.post_event(FleetEvent::Cancel(self.call));
        }
    }
}
