//! Replies to callers.

use std::io::Cursor;

use bytes::Bytes;
use endivestile_kernel::{Answer, Cause, Class, Failure, Refusal, SubmissionId, Time};
use endivestile_wire::call::{AnswerBody, MINTED_HEADER};
use tiny_http::{Header, Response, StatusCode};

use super::ReplyFormat;
use super::invalid_request::InvalidRequest;

/// Milliseconds in a second, for `Retry-After`.
const SECOND_MS: u64 = 1_000;

/// A reply, ready to be written.
#[derive(Debug)]
pub(crate) struct Reply {
    /// HTTP status.
    status: u16,
    /// Type of the body.
    media: &'static str,
    /// Body.
    body: Bytes,
    /// When to come back, in milliseconds.
    retry_ms: Option<u64>,
    /// Fresh ids, separated by commas; empty for none.
    minted: String,
}

impl Reply {
    /// Makes a reply with a JSON body.
    pub(crate) fn json(status: u16, body: impl Into<Bytes>) -> Self {
        let media = "application/json";
        Self { status, media, body: body.into(), retry_ms: None, minted: String::new() }
    }

    /// Makes a reply with a result as its back end gave it.
    fn raw(body: Bytes) -> Self {
        Self { media: "application/octet-stream", ..Self::json(200, body) }
    }

    /// Makes a short reply to a probe.
    pub(crate) fn plain_text(status: u16, text: &'static str) -> Self {
        Self { media: "text/plain", ..Self::json(status, text) }
    }

    /// Makes a reply from a body as the callers' page documents it.
    fn body(status: u16, body: &AnswerBody) -> Self {
        let retry_ms = body.retry_ms;
        // A struct of strings and numbers always has a JSON form.
        let text = serde_json::to_vec(body).unwrap_or_default();
        Self { retry_ms, ..Self::json(status, text) }
    }

    /// Says what is wrong with a call.
    pub(crate) fn from_invalid(invalid: &InvalidRequest) -> Self {
        let body = AnswerBody {
            reason: Some(invalid.reason.clone()),
            field: Some(invalid.field.clone()),
            ..plain("invalid")
        };
        Self::body(invalid.status, &body)
    }

    /// Says how a submission ended or stands, at the instant `now`.
    pub(crate) fn from_answer(answer: &Answer, shape: ReplyFormat, now: Time) -> Self {
        match answer {
            Answer::Complete(results) => complete(results, shape),
            Answer::Failed(failure) => failed(failure, shape),
            Answer::Refused(refusal) => refused(refusal, now),
            Answer::Conflict => {
                Self::body(422, &reason("conflict", "the id belongs to another submission"))
            }
            Answer::Running => Self::body(202, &plain("running")),
            Answer::NotFound => Self::body(404, &reason("not found", "nothing is known of the id")),
        }
    }

    /// Adds fresh ids.
    pub(crate) fn with_ids(mut self, ids: &[SubmissionId]) -> Self {
        let texts: Vec<&str> = ids.iter().map(|id| id.text().as_ref()).collect();
        self.minted = texts.join(",");
        self
    }

    /// Returns the reply as the library writes it, always with its length, so
    /// that a caller notices a reply that was cut.
    pub(crate) fn response(self) -> Response<Cursor<Bytes>> {
        let mut headers = vec![header("Content-Type", self.media)];
        if let Some(retry_ms) = self.retry_ms {
            let secs = retry_ms.div_ceil(SECOND_MS).max(1);
            headers.push(header("Retry-After", &secs.to_string()));
        }
        if !self.minted.is_empty() {
            headers.push(header(MINTED_HEADER, &self.minted));
        }
        let headers = headers.into_iter().flatten().collect();
        let len = self.body.len();
        let status = StatusCode(self.status);
        Response::new(status, headers, Cursor::new(self.body), Some(len), None)
            .with_chunked_threshold(usize::MAX)
    }
}

/// Returns a header; names and values here are ASCII, so there always is one.
fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

fn plain(status: &str) -> AnswerBody {
    AnswerBody {
        status: status.to_owned(),
        results: None,
        reason: None,
        field: None,
        retry_ms: None,
    }
}

fn reason(status: &str, reason: impl Into<String>) -> AnswerBody {
    AnswerBody { reason: Some(reason.into()), ..plain(status) }
}

fn complete(results: &[Bytes], shape: ReplyFormat) -> Reply {
    if shape == ReplyFormat::Raw && results.len() == 1 {
        return Reply::raw(results[0].clone());
    }
    let mut texts = Vec::with_capacity(results.len());
    for (task, result) in results.iter().enumerate() {
        match std::str::from_utf8(result) {
            Ok(text) => texts.push(text.to_owned()),
            // JSON carries no bytes; a result with holes would be no whole answer.
            Err(_) => {
                let text = format!("task {task}: its result is not UTF-8 text");
                return Reply::body(502, &reason("failed", text));
            }
        }
    }
    Reply::body(200, &AnswerBody { results: Some(texts), ..plain("complete") })
}

fn failed(failure: &Failure, shape: ReplyFormat) -> Reply {
    let (status, text) = match failure {
        Failure::Rejected { task, peer, status } => {
            (502, format!("task {task}: {peer} answered with status {status}"))
        }
        Failure::Lost { task, peer } => {
            (502, format!("task {task}: the answer of {peer} was lost"))
        }
        Failure::Deadline => (504, "the deadline passed".to_owned()),
        Failure::Cancelled => return cancelled(shape),
        Failure::HomeLost => (502, "the entry host that ran it is gone".to_owned()),
        Failure::NotPlaced { task, cause } => {
            (502, format!("task {task}: not started, {}", words(*cause)))
        }
    };
    Reply::body(status, &reason("failed", text))
}

/// To the canceller this is success, to the caller who waits it is a conflict.
fn cancelled(shape: ReplyFormat) -> Reply {
    let status = if shape == ReplyFormat::Cancel { 200 } else { 409 };
    Reply::body(status, &reason("cancelled", "a caller cancelled it"))
}

fn refused(refusal: &Refusal, now: Time) -> Reply {
    let status = match refusal.class {
        Class::NotRun => "not run",
        Class::Unknown => "unknown",
    };
    let retry_ms = refusal.retry.since(now).as_millis() as u64;
    let body = AnswerBody { retry_ms: Some(retry_ms), ..reason(status, words(refusal.cause)) };
    Reply::body(503, &body)
}

fn words(cause: Cause) -> &'static str {
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
