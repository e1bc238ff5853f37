//! What links tell an engine.

use endivestile_kernel::{Event, Frame, Peer};

use crate::inbox::Inbox;

/// Where frames of peers and the ends of links go.
pub(crate) trait PeerEventHandler: Clone + Send + Sync + 'static {
    /// A frame arrived.
    fn handle_frame(&self, frame: Frame);

    /// The link to a peer broke or could not be made.
    fn handle_link_down(&self, peer: Peer);
}

impl PeerEventHandler for Inbox {
    fn handle_frame(&self, frame: Frame) {
        self.post_event(Event::Frame(frame));
    }

    fn handle_link_down(&self, peer: Peer) {
        self.post_event(Event::LinkDown(peer));
    }
}
