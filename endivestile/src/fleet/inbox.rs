//! The channel through which the I/O modules send inputs to the engine.

use bytes::Bytes;
use endivestile_kernel::fleet::FleetEvent;
use endivestile_kernel::{CallId, Frame, Peer};
use http::Response;
use http::request::Parts;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;

use crate::peers::PeerEventHandler;

/// A completely received call.
#[derive(Debug)]
pub(crate) struct HttpCall {
    /// Id of the call.
    pub(crate) call: CallId,
    /// Head of the request.
    pub(crate) head: Parts,
    /// Body of the request.
    pub(crate) body: Bytes,
    /// Sends the response.
    pub(crate) reply: oneshot::Sender<Response<Bytes>>,
}

/// An input of the engine.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the fleet.
    Event(FleetEvent),
    /// A call from a caller.
    Call(Box<HttpCall>),
    /// The process was asked to stop.
    Stop,
    /// The process was asked to reload its settings.
    Reload,
}

/// Sending end of the engine's channel.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    sender: UnboundedSender<Input>,
}

/// Receiving end of the engine's channel.
pub(crate) type InboxReceiver = UnboundedReceiver<Input>;

impl Inbox {
    /// Creates the channel.
    pub(crate) fn new() -> (Self, InboxReceiver) {
        let (sender, receiver) = unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Posts an input. It is dropped once the engine has stopped.
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
