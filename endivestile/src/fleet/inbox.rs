//! The one channel by which the edges reach the engine.

use bytes::Bytes;
use endivestile_kernel::fleet::FleetEvent;
use endivestile_kernel::{CallId, Frame, Peer};
use http::Response;
use http::request::Parts;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::peers::PeerEventHandler;

/// A caller's call, whole.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// Number of the call.
    pub(crate) call: CallId,
    /// Head.
    pub(crate) head: Parts,
    /// Body.
    pub(crate) body: Bytes,
    /// The way back.
    pub(crate) reply: oneshot::Sender<Response<Bytes>>,
}

/// What the edges tell the engine.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the fleet.
    Event(FleetEvent),
    /// A caller's call.
    Call(Box<HttpCall>),
    /// The process was asked to stop.
    Stop,
    /// The process was asked to read its settings again.
    Reload,
}

/// Sending end of the channel.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    sender: UnboundedSender<Input>,
}

/// Receiving end of the channel.
pub(crate) type InboxReceiver = UnboundedReceiver<Input>;

impl Inbox {
    /// Makes the channel.
    pub(crate) fn new() -> (Self, InboxReceiver) {
        let (sender, inlet) = unbounded_channel();
        (Self { sender }, inlet)
    }

    /// Posts an input; an engine that has stopped takes none.
    pub(crate) fn post(&self, input: Input) {
        let _ = self.sender.send(input);
    }

    /// Posts an event for the fleet.
    pub(crate) fn post_event(&self, event: FleetEvent) {
        self.post(Input::Event(event));
    }
}

impl PeerEventHandler for Inbox {
    fn handle_frame(&self, frame: Frame) {
        self.post_event(FleetEvent::Frame(Box::new(frame)));
    }

    fn handle_link_down(&self, peer: Peer) {
        self.post_event(FleetEvent::LinkDown(peer));
    }
}
