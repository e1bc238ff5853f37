//! Receives request bodies.

use bytes::Bytes;
use endivestile_kernel::intake::Verdict;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::gate::Slot;

/// Smallest buffer for a body, in bytes.
const MIN_BUFFER_BYTES: usize = 512;
/// What a part of a body counts beside its bytes, in bytes: each costs processor time, however
/// small it is.
const PART_COST_BYTES: usize = 128;
/// Smallest change of what a body holds that is recorded without a larger buffer, in bytes.
const MIN_CHANGE_BYTES: usize = 4_096;

/// Why a request was not received completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// The body is longer than the limit, in bytes.
    TooLong(usize),
    /// The client has ended the connection before the end of the body, or its chunks are invalid.
    Truncated,
    /// The body did not arrive in time.
    Late,
    /// The process holds as many bytes of requests as it may.
    Refused,
}

/// Receives a body of at most `limit` bytes. It is copied into one buffer, since the library's
/// parts keep their whole read buffers, however small they are.
pub(crate) async fn receive(
    mut body: Incoming,
    limit: usize,
    slot: &Slot,
) -> Result<Bytes, BodyError> {
    let declared = body.size_hint().exact();
    if declared.is_some_and(|length| length > limit as u64) {
        return Err(BodyError::TooLong(limit));
    }
    let most = declared.map_or(limit, |length| length as usize);
    let mut buffer: Vec<u8> = Vec::new();
    let (mut parts, mut held) = (0, 0);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Truncated)?.into_data() else { continue };
        let len = buffer.len() + data.len();
        if len > limit {
            return Err(BodyError::TooLong(limit));
        }
        let capacity = grown_capacity(buffer.capacity(), len, most);
        parts += 1;
        let holds = capacity + parts * PART_COST_BYTES;
        if capacity > buffer.capacity() || holds >= held + MIN_CHANGE_BYTES {
            match slot.receive(holds) {
                Verdict::Admit => held = holds,
                Verdict::Refuse => return Err(BodyError::Refused),
                // The connection's task closes it.
                Verdict::Closed => return std::future::pending().await,
            }
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
    }
    Ok(Bytes::from(buffer))
}

/// Returns the capacity of a buffer of `capacity` bytes that has to take `len` bytes: half as much
/// again, up to `most`.
fn grown_capacity(capacity: usize, len: usize, most: usize) -> usize {
    if len <= capacity {
        return capacity;
    }
    let grown = (capacity + capacity / 2).max(MIN_BUFFER_BYTES);
    len.max(grown.min(most))
}
