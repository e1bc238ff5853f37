//! Bounded queue of frames for one link.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use endivestile_wire::peer as wire;
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio_stream::Stream;

/// Most frames in a queue.
const MAX_FRAMES: usize = 1_024;
/// Most bytes in a queue. A peer that accepts the link and never reads blocks
/// the stream; without this limit its frames would fill this host's memory.
const MAX_BYTES: usize = 32 << 20;

/// Creates a queue.
pub(crate) fn frame_queue() -> (FrameSender, FrameStream) {
    let (sender, receiver) = channel(MAX_FRAMES);
    let bytes = Arc::new(AtomicUsize::new(0));
    (FrameSender { sender, bytes: Arc::clone(&bytes) }, FrameStream { receiver, bytes })
}

/// Sending end of a queue.
#[derive(Debug)]
pub(crate) struct FrameSender {
    /// Channel of the queue.
    sender: Sender<wire::Frame>,
    /// Bytes in the queue.
    bytes: Arc<AtomicUsize>,
}

impl FrameSender {
    /// Queues a frame. Returns `false` if the queue is full or its link has ended.
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

/// Receiving end of a queue, which yields the frames to the link.
#[derive(Debug)]
pub(crate) struct FrameStream {
    /// Channel of the queue.
    receiver: Receiver<wire::Frame>,
    /// Bytes in the queue.
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
