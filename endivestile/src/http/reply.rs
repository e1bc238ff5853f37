//! Replies to callers.

use bytes::Bytes;
use endivestile_kernel::{Answer, Cause, Class, Failure, Refusal, SubmissionId, Time};
use endivestile_wire::call::{AnswerBody, MINTED_HEADER};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderName, HeaderValue, Response, StatusCode};

use super::ReplyFormat;
use super::invalid_request::InvalidRequest;

/// Milliseconds per second, to convert delays for `Retry-After`.
const MS_PER_SECOND: u64 = 1_000;

/// Delay after which a caller should retry a call that this host cannot take, in milliseconds.
const FULL_RETRY_MS: u64 = 1_000;

/// A reply, ready to be written.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    status: u16,
    /// Media type of the body.
    content_type: &'static str,
    /// Body.
    body: Bytes,
    /// Delay after which the caller should retry, in milliseconds.
    retry_ms: Option<u64>,
    /// Minted ids, separated by commas; empty for none.
    minted: String,
}

impl Reply {
    /// Creates a reply with a JSON body.
    pub(crate) fn json(status: u16, body: impl Into<Bytes>) -> Self {
        let content_type = "application/json";
        Self { status, content_type, body: body.into(), retry_ms: None, minted: String::new() }
    }

    /// Creates a reply with a result, unchanged from the backend.
    fn raw(body: Bytes) -> Self {
        Self { content_type: "application/octet-stream", ..Self::json(200, body) }
    }

    /// Creates a short reply in plain text.
    pub(crate) fn plain_text(status: u16, text: &'static str) -> Self {
        Self { content_type: "text/plain", ..Self::json(status, text) }
    }

    /// Creates the reply to a call that was not received because the process holds too many, and
    /// of which nothing was done.
    pub(crate) fn full() -> Self {
        let body = AnswerBody {
            retry_ms: Some(FULL_RETRY_MS),
            ..with_reason("not run", "the host holds as many requests as it may")
        };
        Self::from_body(503, &body)
    }

    /// Creates the reply to a call that ended without an answer of the engine, which has stopped.
    pub(crate) fn stopped() -> Self {
        let reason = "the entry host has stopped; it may have been accepted";
        let body = AnswerBody { retry_ms: Some(FULL_RETRY_MS), ..with_reason("unknown", reason) };
        Self::from_body(503, &body)
    }

    /// Creates a reply from an answer body, which has the format documented for callers.
    fn from_body(status: u16, body: &AnswerBody) -> Self {
        let retry_ms = body.retry_ms;
        // Serializing a struct of strings and numbers cannot fail.
        let text = serde_json::to_vec(body).unwrap_or_default();
        Self { retry_ms, ..Self::json(status, text) }
    }

    /// Creates the reply to a rejected call.
    pub(crate) fn from_invalid(invalid: &InvalidRequest) -> Self {
        let body = AnswerBody {
            reason: Some(invalid.reason.clone()),
            field: Some(invalid.field.clone()),
            ..status_only("invalid")
        };
        Self::from_body(invalid.status, &body)
    }

    /// Creates the reply that reports the result or state of a submission at the time `now`.
    pub(crate) fn from_answer(answer: &Answer, reply_format: ReplyFormat, now: Time) -> Self {
        match answer {
            Answer::Complete(results) => complete(results, reply_format),
            Answer::Failed(failure) => failed(failure, reply_format),
            Answer::Refused(refusal) => refused(refusal, now),
            Answer::Conflict => Self::from_body(
                422,
                &with_reason("conflict", "the id belongs to another submission"),
            ),
            Answer::Running => Self::from_body(202, &status_only("running")),
            Answer::NotFound => {
                Self::from_body(404, &with_reason("not found", "nothing is known of the id"))
            }
        }
    }

    /// Adds minted ids.
    pub(crate) fn with_ids(mut self, ids: &[SubmissionId]) -> Self {
        let texts: Vec<&str> = ids.iter().map(|id| id.text().as_ref()).collect();
        self.minted = texts.join(",");
        self
    }

    /// Converts the reply for the HTTP server.
    pub(crate) fn into_response(self) -> Response<Bytes> {
        let mut response = Response::new(self.body);
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or_default();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static(self.content_type));
        if let Some(retry_ms) = self.retry_ms {
            headers.insert(RETRY_AFTER, retry_ms.div_ceil(MS_PER_SECOND).max(1).into());
        }
        if !self.minted.is_empty() {
            let name = HeaderName::from_bytes(MINTED_HEADER.as_bytes());
            // Always succeeds, since the name and all ids are ASCII.
            if let (Ok(name), Ok(ids)) = (name, HeaderValue::from_str(&self.minted)) {
                headers.insert(name, ids);
            }
        }
        response
    }
}

fn status_only(status: &str) -> AnswerBody {
    AnswerBody {
        status: status.to_owned(),
        results: None,
        reason: None,
        field: None,
        retry_ms: None,
    }
}

fn with_reason(status: &str, reason: impl Into<String>) -> AnswerBody {
    AnswerBody { reason: Some(reason.into()), ..status_only(status) }
}

fn complete(results: &[Bytes], reply_format: ReplyFormat) -> Reply {
    if reply_format == ReplyFormat::Raw && results.len() == 1 {
        return Reply::raw(results[0].clone());
    }
    let mut texts = Vec::with_capacity(results.len());
    for (task, result) in results.iter().enumerate() {
        match std::str::from_utf8(result) {
            Ok(text) => texts.push(text.to_owned()),
            // JSON cannot carry arbitrary bytes, and replacing them would alter the result.
            Err(_) => {
                let text = format!("task {task}: its result is not UTF-8 text");
                return Reply::from_body(502, &with_reason("failed", text));
            }
        }
    }
    Reply::from_body(200, &AnswerBody { results: Some(texts), ..status_only("complete") })
}

fn failed(failure: &Failure, reply_format: ReplyFormat) -> Reply {
    let (status, text) = match failure {
        Failure::Rejected { task, peer, status } => {
            (502, format!("task {task}: {peer} answered with status {status}"))
        }
        Failure::Lost { task, peer } => {
            (502, format!("task {task}: the answer of {peer} was lost"))
        }
        Failure::Deadline => (504, "the deadline passed".to_owned()),
        Failure::Cancelled => return cancelled(reply_format),
        Failure::HomeLost => (502, "the entry host that ran it is gone".to_owned()),
        Failure::NotPlaced { task, cause } => {
            (502, format!("task {task}: not started, {}", describe(*cause)))
        }
    };
    Reply::from_body(status, &with_reason("failed", text))
}

/// Returns success for the caller that cancelled, and a conflict for the one that waits.
fn cancelled(reply_format: ReplyFormat) -> Reply {
    let status = if reply_format == ReplyFormat::Cancel { 200 } else { 409 };
    Reply::from_body(status, &with_reason("cancelled", "a caller cancelled it"))
}

fn refused(refusal: &Refusal, now: Time) -> Reply {
    let status = match refusal.class {
        Class::NotRun => "not run",
        Class::Unknown => "unknown",
    };
    let retry_ms = refusal.retry.since(now).as_millis() as u64;
    let body =
        AnswerBody { retry_ms: Some(retry_ms), ..with_reason(status, describe(refusal.cause)) };
    Reply::from_body(503, &body)
}

fn describe(cause: Cause) -> &'static str {
    match cause {
        Cause::Deadline => "it could not be finished by its deadline",
        Cause::Full => "the queue is full",
        Cause::Limit => "the team holds as much work as it may",
        Cause::NoBackend => "no back end that could run it is in reach",
        Cause::Stopping => "the entry host is stopping",
        Cause::NoConfig => "no configuration was adopted yet",
        Cause::HomeAway => "the host that may start it is out of reach",
        Cause::WitnessAway => "the witness of its shard is out of reach",
        Cause::ShardMoving => "its shard is being handed over",
        Cause::Expired => "the id is too old",
    }
}
