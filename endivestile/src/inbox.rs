//! The one channel by which every thread reaches the engine.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

use endivestile_kernel::Event;

use crate::http::Call;

/// What the edges tell the engine.
#[derive(Debug)]
pub(crate) enum Input {
    /// An event for the kernel.
    Event(Event),
    /// A caller's call.
    Call(Box<Call>),
    /// The process was asked to stop.
    Stop,
}

/// Sending end of the channel, one copy per thread.
#[derive(Debug, Clone)]
pub(crate) struct Inbox {
    /// The channel.
    sender: Sender<Input>,
    /// Inputs posted and not yet taken.
    depth: Arc<AtomicU64>,
}

impl Inbox {
    /// Makes the channel.
    pub(crate) fn new() -> (Self, InboxReceiver) {
        let (sender, receiver) = channel();
        let depth = Arc::new(AtomicU64::new(0));
        let inlet = InboxReceiver { receiver, depth: Arc::clone(&depth) };
        (Self { sender, depth }, inlet)
    }

    /// Posts an input; a stopped engine takes none, and nobody waits for it then.
    pub(crate) fn post(&self, input: Input) {
        self.depth.fetch_add(1, Ordering::Relaxed);
        let _ = self.sender.send(input);
    }

    /// Posts an event for the kernel.
    pub(crate) fn post_event(&self, event: Event) {
        self.post(Input::Event(event));
    }

    /// Returns how many inputs wait.
    pub(crate) fn depth(&self) -> u64 {
        self.depth.load(Ordering::Relaxed)
    }
}

/// Receiving end of the channel.
#[derive(Debug)]
pub(crate) struct InboxReceiver {
    /// The channel.
    receiver: Receiver<Input>,
    /// Inputs posted and not yet taken.
    depth: Arc<AtomicU64>,
}

impl InboxReceiver {
    /// Waits for an input, at most for `span`.
    pub(crate) fn recv_timeout(&self, span: Duration) -> Option<Input> {
        let input = self.receiver.recv_timeout(span).ok()?;
        self.depth.fetch_sub(1, Ordering::Relaxed);
        Some(input)
    }

    /// Takes an input that already waits.
    pub(crate) fn try_recv(&self) -> Option<Input> {
        let input = self.receiver.try_recv().ok()?;
        self.depth.fetch_sub(1, Ordering::Relaxed);
        Some(input)
    }
}
