//! Interface through which links report to an engine.

use endivestile_kernel::{Event, Frame, Peer};

use crate::inbox::Inbox;

/// Receives the frames of peers and the ends of links.
pub(crate) trait PeerEventHandler: Clone + Send + Sync + 'static {
    /// Handles a frame that has arrived.
    fn handle_frame(&self, frame: Frame);

    /// Handles a link that broke or could not be opened.
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
