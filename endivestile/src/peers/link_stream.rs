//! The socket of an incoming link, which keeps crowds of peers within the limits of the process.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use endivestile_kernel::intake::Verdict;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::time::sleep;
use tonic::transport::server::Connected;

use crate::http_server::{Gate, Slot};

/// Accepted links that may wait for the server.
const MAX_WAITING: usize = 16;
/// Pause after a failed accept, in milliseconds.
const ACCEPT_RETRY_MS: u64 = 20;

/// A link as its calls see it.
#[derive(Debug, Clone)]
pub(crate) struct LinkInfo {
    /// Address of the peer.
    pub(crate) address: SocketAddr,
    place: Arc<Place>,
}

/// A link's place among all links.
#[derive(Debug)]
struct Place {
    slot: Slot,
    /// Announced length of the frame that is being received, in bytes.
    frame: AtomicUsize,
    /// Bytes received since the last complete frame.
    received: AtomicUsize,
}

impl LinkInfo {
    /// Records that a frame of `bytes` bytes begins, or with 0 that it is complete. Returns whether
    /// the link may hold it.
    pub(crate) fn begin_frame(&self, bytes: usize) -> bool {
        self.place.frame.store(bytes, Ordering::Relaxed);
        self.place.received.store(0, Ordering::Relaxed);
        self.place.slot.receive(bytes) == Verdict::Admit
    }
}

/// The socket of an incoming link.
#[derive(Debug)]
pub(crate) struct LinkStream {
    stream: TcpStream,
    info: LinkInfo,
}

impl Connected for LinkStream {
    type ConnectInfo = LinkInfo;

    fn connect_info(&self) -> LinkInfo {
        self.info.clone()
    }
}

/// Accepts links, and passes those that the gate admits to the server.
pub(crate) fn accept(listener: TcpListener, gate: Gate) -> Receiver<io::Result<LinkStream>> {
    let (sender, links) = channel(MAX_WAITING);
    tokio::spawn(run(listener, gate, sender));
    links
}

async fn run(listener: TcpListener, gate: Gate, sender: Sender<io::Result<LinkStream>>) {
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some(slot) = gate.open() else { continue };
                let _ = stream.set_nodelay(true);
                let (frame, received) = (AtomicUsize::new(0), AtomicUsize::new(0));
                let place = Arc::new(Place { slot, frame, received });
                let link = LinkStream { stream, info: LinkInfo { address, place } };
                if sender.send(Ok(link)).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                gate.count_accept_failure(&e);
                sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

impl AsyncRead for LinkStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.info.place.slot.poll_closed(cx).is_ready() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let before = buf.filled().len();
        let polled = Pin::new(&mut this.stream).poll_read(cx, buf);
        let read = buf.filled().len() - before;
        if read > 0 {
            let place = &this.info.place;
            let received = place.received.fetch_add(read, Ordering::Relaxed) + read;
            let held = received.max(place.frame.load(Ordering::Relaxed));
            if place.slot.receive(held) == Verdict::Refuse {
                return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
            }
        }
        polled
    }
}

impl AsyncWrite for LinkStream {
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
