//! Takes callers' calls, and sees when a caller goes away.

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
/// Least buffer for a head that the library accepts, in bytes.
const MIN_BUFFER: usize = 8_192;
/// Answer to a head that did not come in time; the library knows no status for that.
const HEAD_LATE: &[u8] =
    b"HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
/// Pause after an accept that failed, in milliseconds: descriptors have run
/// out, and others are freed meanwhile.
const ACCEPT_MS: u64 = 20;

/// Answers every request on a socket with the page of counts and latencies.
pub(crate) async fn serve_metrics(listener: TcpListener, metrics: Metrics) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_MS)).await;
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

/// What all connections share.
#[derive(Debug, Clone)]
pub(crate) struct ServerContext {
    /// The engine.
    pub(crate) inbox: Inbox,
    /// Limits in force.
    pub(crate) limits: Arc<RwLock<Limits>>,
    /// Number of the next call.
    pub(crate) serial: Arc<AtomicU64>,
    /// Set when open connections are to be closed.
    pub(crate) closing: watch::Receiver<bool>,
}

/// Opens a socket for callers; returns it with the address that was bound.
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
pub(crate) async fn accept(listener: TcpListener, desk: ServerContext) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, desk.clone()));
            }
            Err(e) => {
                log::warn!("event=accept_failed step=accept error={:?}", e.to_string());
                tokio::time::sleep(Duration::from_millis(ACCEPT_MS)).await;
            }
        }
    }
}

/// Serves one connection. The library drops the call that is being served when
/// the caller closes the connection, and [`Open`] tells the engine.
async fn connection(stream: TcpStream, desk: ServerContext) {
    let _ = stream.set_nodelay(true);
    let limits = desk.limits();
    let mut closing = desk.closing.clone();
    let (stage, stages) = watch::channel(ConnectionStage::Idle);
    let stream = HeadTimeoutStream::new(stream, stage.clone(), limits.head_timeout_ms);
    let service = service_fn(move |request| serve_one(request, desk.clone(), stage.clone()));
    let mut served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER))
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

/// Tells a caller that its head came too slowly, and closes its connection.
async fn refuse_head(mut stream: HeadTimeoutStream) {
    log::info!("event=call_refused step=read-head status=408");
    let told = stream.write_all(HEAD_LATE).await;
    if let Err(e) = told.and(stream.shutdown().await) {
        log::debug!("event=connection_ended step=refuse-head error={:?}", e.to_string());
    }
}

async fn serve_one(
    request: hyper::Request<Incoming>,
    desk: ServerContext,
    stage: watch::Sender<ConnectionStage>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    stage.send_replace(ConnectionStage::Serving);
    let response = serve(request, desk).await;
    stage.send_replace(ConnectionStage::Idle);
    response
}

async fn serve(
    request: hyper::Request<Incoming>,
    desk: ServerContext,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let limits = desk.limits();
    let body = match timeout(
        Duration::from_millis(limits.head_timeout_ms),
        Limited::new(body, limits.body_bytes).collect(),
    )
    .await
    {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) if e.is::<LengthLimitError>() => {
            return Ok(bare(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(Err(_)) => return Ok(bare(StatusCode::BAD_REQUEST)),
        Err(_) => return Ok(bare(StatusCode::REQUEST_TIMEOUT)),
    };
    let call = CallId(desk.serial.fetch_add(1, Ordering::Relaxed));
    let (reply, answer) = oneshot::channel();
    let mut open = Open { call, inbox: desk.inbox.clone(), answered: false };
    desk.inbox.post(Input::Call(Box::new(HttpCall { call, head, body, reply })));
    let answer = answer.await;
    open.answered = true;
    Ok(answer.map_or_else(|_| bare(StatusCode::SERVICE_UNAVAILABLE), |say| say.map(Full::new)))
}

fn bare(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl ServerContext {
    fn limits(&self) -> Limits {
        *self.limits.read().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that is being served; tells the engine when its caller leaves.
struct Open {
    call: CallId,
    inbox: Inbox,
    answered: bool,
}

impl Drop for Open {
    fn drop(&mut self) {
        if !self.answered {
            self.inbox.post_event(FleetEvent::Cancel(self.call));
        }
    }
}
