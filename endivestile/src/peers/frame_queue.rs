//! Bounded queue of the frames of one link.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use endivestile_wire::peer as wire;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio_stream::Stream;

/// Most frames that wait.
const MAX_FRAMES: usize = 1_024;
/// Most bytes that wait. A peer that accepts the link and never reads stops
/// the stream; without this bound its frames would fill this host's memory.
const MAX_BYTES: usize = 32 << 20;

/// Makes a queue.
pub(crate) fn frame_queue() -> (FrameSender, FrameStream) {
    let (sender, receiver) = channel(MAX_FRAMES);
    let bytes = Arc::new(AtomicUsize::new(0));
    (FrameSender { sender, bytes: Arc::clone(&bytes) }, FrameStream { receiver, bytes })
}

/// Entry of a queue.
#[derive(Debug)]
pub(crate) struct FrameSender {
    /// The queue.
    sender: Sender<wire::Frame>,
    /// Bytes that wait.
    bytes: Arc<AtomicUsize>,
}

impl FrameSender {
    /// Queues a frame, unless the queue is full or its link has ended.
    pub(crate) fn push(&self, frame: wire::Frame) -> bool {
        let len = frame.body.len();
        if self.bytes.load(Ordering::Relaxed) + len > MAX_BYTES {
            return false;
        }
        self.bytes.fetch_add(len, Ordering::Relaxed);
        let pushed = self.sender.try_send(frame).is_ok();
        if !pushed {
            self.bytes.fetch_sub(len, Ordering::Relaxed);
        }
        pushed
    }

    /// Returns whether the link has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Exit of a queue, as the link reads it.
#[derive(Debug)]
pub(crate) struct FrameStream {
    /// The queue.
    receiver: Receiver<wire::Frame>,
    /// Bytes that wait.
    bytes: Arc<AtomicUsize>,
}

impl Stream for FrameStream {
    type Item = wire::Frame;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<wire::Frame>> {
        let next = self.receiver.poll_recv(cx);
        if let Poll::Ready(Some(frame)) = &next {
            self.bytes.fetch_sub(frame.body.len(), Ordering::Relaxed);
        }
        next
    }
}
