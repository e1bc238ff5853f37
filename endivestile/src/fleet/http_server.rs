//! HTTP server for callers; cancels the calls of callers that disconnect.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use endivestile_kernel::CallId;
use endivestile_kernel::fleet::{FleetEvent, Limits};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{oneshot, watch};
use tokio::time::timeout;

use super::head_timeout::{ConnectionStage, HeadTimeoutStream, head_overdue};
use super::inbox::{HttpCall, Inbox, Input};
use super::metrics::Metrics;
use crate::error::RunError;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Smallest buffer for a request head that the HTTP library accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8_192;
/// Response to a request head that did not arrive in time. The HTTP library closes
/// such a connection without a response.
const HEAD_TIMEOUT_RESPONSE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Pause after a failed accept, in milliseconds. Accepting fails when the process has
/// run out of file descriptors; some may be freed meanwhile.
const ACCEPT_RETRY_MS: u64 = 20;

/// Answers every request on a socket with the metrics page.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: Metrics) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        let metrics = metrics.clone();
        let service = service_fn(move |_: hyper::Request<Incoming>| {
            let page = metrics.page().map(Full::new);
            async move { Ok::<_, Infallible>(page) }
        });
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// State shared by all connections.
#[derive(Debug, Clone)]
pub(crate) struct ServerContext {
    /// The engine's inbox.
    pub(crate) inbox: Inbox,
    /// Current limits on callers.
    pub(crate) limits: Arc<RwLock<Limits>>,
    /// Id of the next call.
    pub(crate) next_call: Arc<AtomicU64>,
    /// Set to `true` when open connections have to be closed.
    pub(crate) closing: watch::Receiver<bool>,
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
    socket.bind(address).map_err(failed)?;
    let listener = socket.listen(BACKLOG).map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

/// Accepts connections until the process ends.
pub(crate) async fn accept(listener: TcpListener, context: ServerContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(handle_connection(stream, context.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed step=accept error={:?}", e.to_string());
                tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            }
        }
    }
}

/// Serves one connection. When the caller closes it, the HTTP library drops the
/// call being served, and [`CancelGuard`] cancels it in the engine.
async fn handle_connection(stream: TcpStream, context: ServerContext) {
    let _ = stream.set_nodelay(true);
    let limits = context.limits();
    let mut closing = context.closing.clone();
    let (stage, stages) = watch::channel(ConnectionStage::Idle);
    let stream = HeadTimeoutStream::new(stream, stage.clone(), limits.head_timeout_ms);
    let service = service_fn(move |request| serve_request(request, context.clone(), stage.clone()));
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let ended = tokio::select! {
        ended = &mut served => ended,
        () = head_overdue(stages) => {
            refuse_head(served.into_parts().io.into_inner()).await;
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

/// Responds that the request head arrived too slowly, and closes the connection.
async fn refuse_head(mut stream: HeadTimeoutStream) {
    log::info!("event=call_refused step=read-head status=408");
    let written = stream.write_all(HEAD_TIMEOUT_RESPONSE).await;
    if let Err(e) = written.and(stream.shutdown().await) {
        log::debug!("event=connection_ended step=refuse-head error={:?}", e.to_string());
    }
}

async fn serve_request(
    request: hyper::Request<Incoming>,
    context: ServerContext,
    stage: watch::Sender<ConnectionStage>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    stage.send_replace(ConnectionStage::Serving);
    let response = handle_request(request, context).await;
    stage.send_replace(ConnectionStage::Idle);
    response
}

async fn handle_request(
    request: hyper::Request<Incoming>,
    context: ServerContext,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let limits = context.limits();
    let body = match timeout(
        Duration::from_millis(limits.head_timeout_ms),
        Limited::new(body, limits.body_bytes).collect(),
    )
    .await
    {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            return Ok(empty_response(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(Err(_)) => return Ok(empty_response(StatusCode::BAD_REQUEST)),
        Err(_) => return Ok(empty_response(StatusCode::REQUEST_TIMEOUT)),
    };
    let call = CallId(context.next_call.fetch_add(1, Ordering::Relaxed));
    let (reply, answer) = oneshot::channel();
    let mut guard = CancelGuard { call, inbox: context.inbox.clone(), answered: false };
    context.inbox.post(Input::Call(Box::new(HttpCall { call, head, body, reply })));
    let answer = answer.await;
    guard.answered = true;
    Ok(answer.map_or_else(
        |_| empty_response(StatusCode::SERVICE_UNAVAILABLE),
        |engine_reply| engine_reply.map(Full::new),
    ))
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl ServerContext {
    fn limits(&self) -> Limits {
        *self.limits.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cancels a call in the engine if it is dropped before the call is answered.
struct CancelGuard {
    call: CallId,
    inbox: Inbox,
    answered: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.answered {
            self.inbox.post_event(FleetEvent::Cancel(self.call));
        }
    }
}
