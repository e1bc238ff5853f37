//! What links tell an engine.

use endivestile_kernel::{Event, Frame, Peer};

use crate::inbox::Inbox;

/// Where frames of peers and the ends of links go.
pub(crate) trait Uplink: Clone + Send + Sync + 'static {
    /// A frame arrived.
    fn frame(&self, frame: Frame);

    /// The link to a peer broke or could not be made.
    fn broken(&self, peer: Peer);
}

impl Uplink for Inbox {
    fn frame(&self, frame: Frame) {
        self.post_event(Event::Frame(frame));
    }

    fn broken(&self, peer: Peer) {
        self.post_event(Event::LinkDown(peer));
    }
}
