//! A watch on a range of keys.

use endivestile_wire::store::{Event, ResponseHeader, WatchResponse};
use tokio::sync::mpsc::UnboundedSender;
use tonic::Status;

/// Sending half of a watch stream.
pub(crate) type WatchSender = UnboundedSender<Result<WatchResponse, Status>>;

/// A watch on a range of keys.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Number of the stream that the watch belongs to.
    pub(crate) stream: u64,
    /// Id of the watch within its stream.
    pub(crate) id: i64,
    /// First key.
    pub(crate) key: Vec<u8>,
    /// End of the range; empty for a single key.
    pub(crate) end: Vec<u8>,
    /// Sender of its stream.
    pub(crate) sender: WatchSender,
}

impl Watcher {
    /// Sends the events in the watch's range. Returns their number, or `None` when
    /// the stream is closed.
    pub(crate) fn notify(&self, revision: i64, events: &[Event]) -> Option<usize> {
        let matching: Vec<Event> =
            events.iter().filter(|event| self.matches(event)).cloned().collect();
        let count = matching.len();
        if count == 0 {
            return (!self.sender.is_closed()).then_some(0);
        }
        let header = Some(ResponseHeader { revision, ..Default::default() });
        let response =
            WatchResponse { header, watch_id: self.id, events: matching, ..Default::default() };
        self.sender.send(Ok(response)).ok()?;
        Some(count)
    }

    fn matches(&self, event: &Event) -> bool {
        event.kv.as_ref().is_some_and(|kv| covers(&self.key, &self.end, &kv.key))
    }
}

/// Returns whether the range from `key` to `end` contains `probe`, by etcd's rules:
/// an empty `end` means only `key`, a zero byte all keys from `key` on.
pub(crate) fn covers(key: &[u8], end: &[u8], probe: &[u8]) -> bool {
    match end {
        [] => probe == key,
        [0] => probe >= key,
        _ => probe >= key && probe < end,
    }
}
