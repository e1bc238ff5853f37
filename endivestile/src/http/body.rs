//! Reads request bodies.

use std::io::Read;

use bytes::Bytes;
use tiny_http::Request;

use super::invalid_request::InvalidRequest;

/// Longest body, in bytes, that the library reads before it hands out the request.
const MAX_PREFETCHED_BYTES: usize = 1_024;

/// Returns whether reading the body may wait for the caller.
pub(crate) fn may_block(request: &Request) -> bool {
    let chunked = request.headers().iter().any(|h| h.field.equiv("Transfer-Encoding"));
    let expects = request.headers().iter().any(|h| h.field.equiv("Expect"));
    chunked || request.body_length().is_some_and(|len| len > MAX_PREFETCHED_BYTES || expects)
}

/// Reads a body of at most `limit` bytes; a longer or truncated one is rejected.
pub(crate) fn read(request: &mut Request, limit: usize) -> Result<Bytes, InvalidRequest> {
    let length = request.body_length();
    if length.is_some_and(|len| len > limit) {
        return Err(InvalidRequest::body_too_long(limit));
    }
    let mut body = Vec::with_capacity(length.unwrap_or(0));
    let reader = request.as_reader();
    let read = reader.take(limit as u64 + 1).read_to_end(&mut body);
    read.map_err(|e| InvalidRequest::field("body", e.to_string()))?;
    if body.len() > limit {
        return Err(InvalidRequest::body_too_long(limit));
    }
    if length.is_some_and(|len| len != body.len()) {
        // The caller disconnected early. A truncated task must not run.
        return Err(InvalidRequest::field("body", "shorter than its Content-Length"));
    }
    Ok(Bytes::from(body))
}
