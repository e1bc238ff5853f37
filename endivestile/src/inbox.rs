//! The channel through which all threads send inputs to the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use endivestile_kernel::Event;

use crate::http::Call;

/// An input of the engine.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the kernel.
    Event(Event),
    /// A call from a caller.
    Call(Box<Call>),
    /// The process was asked to stop.
    Stop,
}

/// Sending end of the engine's channel; each thread holds a clone.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    /// The channel.
    sender: Sender<Input>,
    /// Inputs in the channel.
    depth: Arc<AtomicU64>,
}

impl Inbox {
    /// Creates the channel.
    pub(crate) fn new() -> (Self, InboxReceiver) {
        let (sender, receiver) = channel();
        let depth = Arc::new(AtomicU64::new(0));
        let inbox_receiver = InboxReceiver { receiver, depth: Arc::clone(&depth) };
        (Self { sender, depth }, inbox_receiver)
    }

    /// Posts an input. It is dropped once the engine has stopped, when nothing waits for it.
    pub(crate) fn post(&self, input: Input) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        let _ = self.sender.send(input);
    }

    /// Posts an event for the kernel.
    pub(crate) fn post_event(&self, event: Event) {
        self.post(Input::Event(event));
    }

    /// Returns the number of queued inputs.
    pub(crate) fn depth(&self) -> u64 {
        self.depth.load(Ordering::Relaxed)
    }
}

/// Receiving end of the engine's channel.
#[derive(Debug)]
pub(crate) struct InboxReceiver {
    /// The channel.
    receiver: Receiver<Input>,
    /// Inputs in the channel.
    depth: Arc<AtomicU64>,
}

impl InboxReceiver {
    /// Waits for an input for at most `timeout`.
    pub(crate) fn recv_timeout(&self, timeout: Duration) -> Option<Input> {
        let input = self.receiver.recv_timeout(timeout).ok()?;
        self.depth.fetch_sub(1, Ordering::Relaxed);
        Some(input)
    }

    /// Returns a queued input without waiting.
    pub(crate) fn try_recv(&self) -> Option<Input> {
        let input = self.receiver.try_recv().ok()?;
        self.depth.fetch_sub(1, Ordering::Relaxed);
        Some(input)
    }
}
