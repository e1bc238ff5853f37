//! Timeout for request heads that arrive slowly.
//!
//! The HTTP library has only one timeout for a request head and for the idle time
//! before it, and closes the connection without a response. A caller that sends
//! its head a byte at a time would hold a file descriptor for all that time and
//! get no reason. The socket is wrapped to notice when a head begins to arrive.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::watch::{Receiver, Sender};
use tokio::time::{Duration, Instant, sleep_until};

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ConnectionStage {
    /// Nothing of the next request has arrived.
    Idle,
    /// A head has begun to arrive and has to be complete by this deadline.
    Head(Instant),
    /// A request is being served.
    Serving,
}

/// A socket that sets the stage of its connection when a head begins to arrive.
#[derive(Debug)]
pub(crate) struct HeadTimeoutStream {
    stream: TcpStream,
    stage: Sender<ConnectionStage>,
    head_timeout_ms: u64,
}

impl HeadTimeoutStream {
    /// Wraps a socket whose request heads may take `head_timeout_ms` milliseconds.
    pub(crate) fn new(
        stream: TcpStream,
        stage: Sender<ConnectionStage>,
        head_timeout_ms: u64,
    ) -> Self {
        Self { stream, stage, head_timeout_ms }
    }
}

/// Waits until the deadline of a head has passed.
pub(crate) async fn head_overdue(mut stages: Receiver<ConnectionStage>) {
    loop {
        let stage = *stages.borrow_and_update();
        let changed = match stage {
            ConnectionStage::Head(deadline) => tokio::select! {
                () = sleep_until(deadline) => return,
                changed = stages.changed() => changed,
            },
            ConnectionStage::Idle | ConnectionStage::Serving => stages.changed().await,
        };
        if changed.is_err() {
            return std::future::pending().await;
        }
    }
}

impl AsyncRead for HeadTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            let deadline = Instant::now() + Duration::from_millis(self.head_timeout_ms);
            self.stage.send_if_modified(|stage| {
                let head_begins = *stage == ConnectionStage::Idle;
                if head_begins {
                    *stage = ConnectionStage::Head(deadline);
                }
                head_begins
            });
        }
        polled
    }
}

impl AsyncWrite for HeadTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}
