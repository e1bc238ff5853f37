//! The socket of a client's connection.
//!
//! The HTTP library has only one timeout for a request head and for the idle time before it, closes
//! such a connection without a response, and reads on while answers are not read. The socket is
//! wrapped to notice when a head begins to arrive, and when the client does not read its answer.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use endivestile_kernel::fleet::Limits;
use endivestile_kernel::intake::GRANT_BYTES;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::time::{Duration, Instant, Sleep, sleep, sleep_until};

use super::gate::Slot;

/// Longest time to read on after a request was answered before its end, in milliseconds. Closing
/// a socket with unread bytes resets it, and the client may lose its answer.
const LINGER_MS: u64 = 1_000;
/// Most bytes to read on.
const LINGER_BYTES: usize = 256 << 10;
/// Buffer for bytes that are read on and discarded.
const DISCARD_BYTES: usize = 4_096;

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum ConnStage {
    /// Nothing of the next request has arrived.
    Idle,
    /// A head has begun to arrive and has to be complete by this deadline.
    Head(Instant),
    /// The body of a request is being received.
    Body,
    /// A request is being served.
    Serving,
    /// The client has to read its answer by this deadline.
    Writing(Instant),
}

/// State of a connection, shared by its socket and the requests on it.
#[derive(Debug)]
pub(crate) struct ConnState {
    pub(crate) slot: Slot,
    stage: watch::Sender<ConnStage>,
    limits: Limits,
    /// Whether an answer has been passed to the HTTP library and not been written yet.
    answered: AtomicBool,
    /// Bytes of that answer.
    answer_bytes: AtomicUsize,
    /// Whether the socket takes no more bytes.
    blocked: AtomicBool,
    unblocked: Notify,
    /// Whether a request was answered before its end.
    truncated: AtomicBool,
}

impl ConnState {
    /// Creates the state of an idle connection.
    pub(crate) fn new(slot: Slot, limits: Limits) -> Self {
        Self {
            slot,
            stage: watch::Sender::new(ConnStage::Idle),
            limits,
            answered: AtomicBool::new(false),
            answer_bytes: AtomicUsize::new(0),
            blocked: AtomicBool::new(false),
            unblocked: Notify::new(),
            truncated: AtomicBool::new(false),
        }
    }

    /// Returns what the connection is doing.
    pub(crate) fn stage(&self) -> ConnStage {
        *self.stage.borrow()
    }

    /// Waits until the client reads its answers, then records that a body is being received.
    pub(crate) async fn begin_request(&self) {
        loop {
            let unblocked = self.unblocked.notified();
            if !self.blocked.load(Ordering::Relaxed) {
                break;
            }
            unblocked.await;
        }
        self.stage.send_replace(ConnStage::Body);
    }

    /// Records that the request is complete. Returns `false` if the connection has been closed, in
    /// which case the request must not be served.
    pub(crate) fn complete_request(&self) -> bool {
        self.stage.send_replace(ConnStage::Serving);
        self.slot.complete()
    }

    /// Records that an answer of `bytes` bytes is passed to the HTTP library. `truncated` tells
    /// that its request was not received completely.
    pub(crate) fn end_request(&self, bytes: usize, truncated: bool) {
        self.truncated.store(truncated, Ordering::Relaxed);
        self.answer_bytes.store(bytes, Ordering::Relaxed);
        self.answered.store(true, Ordering::Relaxed);
        self.slot.answer(bytes);
        self.stage.send_replace(ConnStage::Idle);
    }

    /// Waits until a deadline for the client has passed.
    pub(crate) async fn overdue(&self) {
        let mut stages = self.stage.subscribe();
        loop {
            let stage = *stages.borrow_and_update();
            let changed = match stage {
                ConnStage::Head(deadline) | ConnStage::Writing(deadline) => tokio::select! {
                    () = sleep_until(deadline) => return,
                    changed = stages.changed() => changed,
                },
                ConnStage::Idle | ConnStage::Body | ConnStage::Serving => stages.changed().await,
            };
            if changed.is_err() {
                return std::future::pending().await;
            }
        }
    }

    fn handle_received(&self) {
        let deadline = Instant::now() + Duration::from_millis(self.limits.head_timeout_ms);
        self.stage.send_if_modified(|stage| {
            let head_begins = *stage == ConnStage::Idle;
            if head_begins {
                *stage = ConnStage::Head(deadline);
            }
            head_begins
        });
        if matches!(self.stage(), ConnStage::Head(_) | ConnStage::Body) {
            self.slot.touch();
        }
    }

    fn handle_blocked(&self) {
        if !self.blocked.swap(true, Ordering::Relaxed) {
            let deadline = Instant::now() + Duration::from_millis(self.limits.idle_timeout_ms);
            self.replace_stage(ConnStage::Idle, ConnStage::Writing(deadline));
        }
    }

    fn handle_written(&self) {
        if self.blocked.swap(false, Ordering::Relaxed) {
            if let writing @ ConnStage::Writing(_) = self.stage() {
                self.replace_stage(writing, ConnStage::Idle);
            }
            self.unblocked.notify_waiters();
        }
    }

    fn handle_flushed(&self) {
        if self.answered.swap(false, Ordering::Relaxed) {
            self.slot.finish_answer();
            if self.answer_bytes.swap(0, Ordering::Relaxed) > GRANT_BYTES {
                self.slot.answer(0);
            }
        }
    }

    fn replace_stage(&self, from: ConnStage, to: ConnStage) {
        self.stage.send_if_modified(|stage| {
            let replace = *stage == from;
            if replace {
                *stage = to;
            }
            replace
        });
    }
}

/// The socket of a connection.
#[derive(Debug)]
pub(crate) struct ClientStream {
    stream: TcpStream,
    conn: Arc<ConnState>,
    linger: Option<Linger>,
}

/// Progress of reading on after the answer.
#[derive(Debug)]
struct Linger {
    end: Pin<Box<Sleep>>,
    bytes: usize,
}

impl ClientStream {
    /// Wraps the socket of a connection.
    pub(crate) fn new(stream: TcpStream, conn: Arc<ConnState>) -> Self {
        Self { stream, conn, linger: None }
    }

    /// Returns the socket.
    pub(crate) fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn record_write<T>(&self, polled: &Poll<T>) {
        if polled.is_pending() {
            self.conn.handle_blocked();
        } else {
            self.conn.handle_written();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.conn.handle_received();
        }
        polled
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if polled.is_ready() {
            self.conn.handle_flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.linger.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
            if !this.conn.truncated.load(Ordering::Relaxed) {
                return Poll::Ready(Ok(()));
            }
        }
        let linger = this.linger.get_or_insert_with(Linger::new);
        linger.poll(&mut this.stream, cx).map(Ok)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }
}

/// Reads on for a bounded time and size, until the client has closed the connection.
pub(crate) async fn linger(stream: &mut TcpStream) {
    let mut linger = Linger::new();
    std::future::poll_fn(|cx| linger.poll(stream, cx)).await;
}

impl Linger {
    fn new() -> Self {
        Self { end: Box::pin(sleep(Duration::from_millis(LINGER_MS))), bytes: LINGER_BYTES }
    }

    /// Discards what arrives until the client has closed the connection or a limit is reached.
    fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        let mut space = [0; DISCARD_BYTES];
        while self.bytes > 0 {
            let mut buf = ReadBuf::new(&mut space);
            match Pin::new(&mut *stream).poll_read(cx, &mut buf) {
                Poll::Ready(Ok(())) if !buf.filled().is_empty() => {
                    self.bytes = self.bytes.saturating_sub(buf.filled().len());
                }
                Poll::Ready(_) => return Poll::Ready(()),
                Poll::Pending => return self.end.as_mut().poll(cx),
            }
        }
        Poll::Ready(())
    }
}
