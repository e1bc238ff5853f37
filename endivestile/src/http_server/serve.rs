//! Accepts clients' connections and serves the requests on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use endivestile_kernel::fleet::Limits;
use http::header::CONNECTION;
use http::request::Parts;
use http::{HeaderValue, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use super::body::{self, BodyError};
use super::gate::{Gate, Slot};
use super::stream::{ClientStream, ConnStage, ConnState, linger};
use crate::error::RunError;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Bytes of a connection that the operating system receives ahead of the process.
const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;
/// Bytes of answers that the operating system takes from the process ahead of the client.
const SEND_BUFFER_BYTES: u32 = 64 << 10;
/// Smallest buffer for a request head that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Response to a request head that did not arrive in time.
const LATE_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Response to a request that was not received because the process holds too many.
const FULL_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
    Connection: close\r\nContent-Length: 0\r\n\r\n";
/// Longest time for the response to a refused connection, in milliseconds.
const REFUSAL_MS: u64 = 1_000;
/// Pause after a failed accept, in milliseconds. Accepting fails when the process has
/// run out of file descriptors; some may be freed meanwhile.
const ACCEPT_RETRY_MS: u64 = 20;

/// Answers the requests of a listener.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Returns the limits of a request.
    fn limits(&self) -> Limits;

    /// Answers a request.
    fn handle(&self, head: Parts, body: Bytes) -> impl Future<Output = Response<Bytes>> + Send;

    /// Answers a request that was not received completely, and of which nothing was done.
    fn refuse(&self, head: Parts, error: BodyError)
    -> impl Future<Output = Response<Bytes>> + Send;
}

/// Serves a listener.
#[derive(Debug, Clone)]
pub(crate) struct Server<H> {
    /// Answers the requests.
    pub(crate) handler: H,
    /// Limits and connections of the listener.
    pub(crate) gate: Gate,
    /// Set to `true` when open connections have to be closed.
    pub(crate) closing: watch::Receiver<bool>,
    /// Whether a client that closes its side of a connection still gets its answer. Otherwise its
    /// request is dropped.
    pub(crate) half_close: bool,
}

/// Opens a listening socket. Returns it with the address it is bound to.
pub(crate) fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), RunError> {
    let failed = |e: std::io::Error| RunError::Bind {
        step: "listen-http",
        address: address.to_string(),
        reason: e.to_string(),
    };
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() };
    let socket = socket.map_err(failed)?;
    socket.set_reuseaddr(true).map_err(failed)?;
    // Accepted connections inherit the sizes of both buffers.
    let sized = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    if let Err(e) = sized.and(socket.set_send_buffer_size(SEND_BUFFER_BYTES)) {
        log::warn!("event=buffers_unbounded step=listen-http error={:?}", e.to_string());
    }
    socket.bind(address).map_err(failed)?;
    let listener = socket.listen(BACKLOG).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

impl<H: Handler> Server<H> {
    /// Accepts connections until the process ends.
    pub(crate) async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => self.admit(stream),
                Err(e) => {
                    self.gate.count_accept_failure(&e);
                    tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
                }
            }
        }
    }

    /// Serves a connection, or refuses it if the listener is full.
    fn admit(&self, stream: TcpStream) {
        if let Some(slot) = self.gate.open() {
            tokio::spawn(self.clone().serve(stream, slot));
        } else if let Some(refusal) = self.gate.begin_refusal() {
            tokio::spawn(async move {
                refuse(stream, FULL_RESPONSE).await;
                drop(refusal);
            });
        }
    }

    /// Serves one connection. When the client closes it, the HTTP library drops the request
    /// that is being served.
    async fn serve(self, stream: TcpStream, slot: Slot) {
        let _ = stream.set_nodelay(true);
        let limits = self.handler.limits();
        let conn = Arc::new(ConnState::new(slot, limits));
        let stream = ClientStream::new(stream, Arc::clone(&conn));
        let (handler, state) = (self.handler.clone(), Arc::clone(&conn));
        let service =
            service_fn(move |request| serve_request(request, handler.clone(), Arc::clone(&state)));
        let mut closing = self.closing.clone();
        let mut served = http1::Builder::new()
            .timer(TokioTimer::new())
            .half_close(self.half_close)
            .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
            .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service);
        let ended = tokio::select! {
            ended = &mut served => ended,
            () = conn.overdue() => {
                let late_head = matches!(conn.stage(), ConnStage::Head(_));
                self.gate.count_late(if late_head { "read-head" } else { "write-answer" });
                if late_head {
                    refuse(served.into_parts().io.into_inner().into_inner(), LATE_RESPONSE).await;
                }
                return;
            }
            () = conn.slot.closed() => {
                let in_request = matches!(conn.stage(), ConnStage::Head(_) | ConnStage::Body);
                if let (true, Some(_refusal)) = (in_request, self.gate.begin_refusal()) {
                    refuse(served.into_parts().io.into_inner().into_inner(), FULL_RESPONSE).await;
                }
                return;
            }
            _ = closing.changed() => {
                std::pin::Pin::new(&mut served).graceful_shutdown();
                served.await
            }
        };
        if let Err(e) = ended {
            log::debug!("event=connection_ended step=serve error={:?}", e.to_string());
        }
    }
}

/// Responds to a request that has not been received completely, and closes the connection.
async fn refuse(mut stream: TcpStream, response: &[u8]) {
    let respond = async {
        stream.write_all(response).await?;
        stream.shutdown().await?;
        linger(&mut stream).await;
        Ok::<(), std::io::Error>(())
    };
    // Fails if the client has closed the connection.
    let _ = timeout(Duration::from_millis(REFUSAL_MS), respond).await;
}

async fn serve_request<H: Handler>(
    request: hyper::Request<Incoming>,
    handler: H,
    conn: Arc<ConnState>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    conn.begin_request().await;
    let (head, body) = request.into_parts();
    let limits = handler.limits();
    let received = timeout(
        Duration::from_millis(limits.head_timeout_ms),
        body::receive(body, limits.body_bytes, &conn.slot),
    );
    let (response, truncated) = match received.await.unwrap_or(Err(BodyError::Late)) {
        Ok(body) => {
            if !conn.complete_request() {
                // The connection's task closes it.
                return std::future::pending().await;
            }
            (handler.handle(head, body).await, false)
        }
        Err(error) => {
            if error == BodyError::Late {
                conn.slot.gate().count_late("read-body");
            }
            let mut response = handler.refuse(head, error).await;
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            (response, true)
        }
    };
    conn.end_request(response.body().len(), truncated);
    Ok(response.map(Full::new))
}
