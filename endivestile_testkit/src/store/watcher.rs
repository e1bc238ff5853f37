//! One watch on a range of keys.

use endivestile_wire::store::{Event, ResponseHeader, WatchResponse};
use tokio::sync::mpsc::UnboundedSender;
use tonic::Status;

/// Sends what a watch stream carries.
pub(crate) type WatchSender = UnboundedSender<Result<WatchResponse, Status>>;

/// One watch on a range of keys.
#[derive(Debug)]
pub(crate) struct Watcher {
    /// Stream that the watch belongs to.
    pub(crate) stream: u64,
    /// Number of the watch in its stream.
    pub(crate) id: i64,
    /// First key.
    pub(crate) key: Vec<u8>,
    /// End of the range; empty for a single key.
    pub(crate) end: Vec<u8>,
    /// Where its events go.
    pub(crate) sender: WatchSender,
}

impl Watcher {
    /// Sends the events that concern the watch; returns how many, none when the stream is gone.
    pub(crate) fn notify(&self, revision: i64, events: &[Event]) -> Option<usize> {
        let wanted: Vec<Event> = events.iter().filter(|event| self.wants(event)).cloned().collect();
        let count = wanted.len();
        if count == 0 {
            return (!self.sender.is_closed()).then_some(0);
        }
        let header = Some(ResponseHeader { revision, ..Default::default() });
        let response =
            WatchResponse { header, watch_id: self.id, events: wanted, ..Default::default() };
        self.sender.send(Ok(response)).ok()?;
        Some(count)
    }

    fn wants(&self, event: &Event) -> bool {
        event.kv.as_ref().is_some_and(|kv| covers(&self.key, &self.end, &kv.key))
    }
}

/// Tells whether the range from `key` to `end` covers `probe`.
pub(crate) fn covers(key: &[u8], end: &[u8], probe: &[u8]) -> bool {
    match end {
        [] => probe == key,
        [0] => probe >= key,
        _ => probe >= key && probe < end,
    }
}
