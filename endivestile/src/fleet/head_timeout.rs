//! Sockets of callers that tell when the head of a request begins to arrive.
//!
//! The HTTP library bounds the time for a head only together with the time for
//! which a connection may rest between two requests, and closes it without an
//! answer. A caller that sends its head a byte at a time would hold a
//! descriptor for all that time, and learn nothing.

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
    /// Nothing of the next request has come.
    Idle,
    /// A head has begun, and has to be whole by then.
    Head(Instant),
    /// A request is being served.
    Serving,
}

/// A socket, and the stage of its connection.
#[derive(Debug)]
pub(crate) struct HeadTimeoutStream {
    stream: TcpStream,
    stage: Sender<ConnectionStage>,
    head_ms: u64,
}

impl HeadTimeoutStream {
    /// Watches a socket whose heads may take `head_ms` milliseconds.
    pub(crate) fn new(stream: TcpStream, stage: Sender<ConnectionStage>, head_ms: u64) -> Self {
        Self { stream, stage, head_ms }
    }
}

/// Waits until a head is overdue.
pub(crate) async fn head_overdue(mut stages: Receiver<ConnectionStage>) {
    loop {
        let stage = *stages.borrow_and_update();
        let changed = match stage {
            ConnectionStage::Head(due) => tokio::select! {
                () = sleep_until(due) => return,
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
            let due = Instant::now() + Duration::from_millis(self.head_ms);
            self.stage.send_if_modified(|stage| {
                let begins = *stage == ConnectionStage::Idle;
                if begins {
                    *stage = ConnectionStage::Head(due);
                }
                begins
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
