//! Sockets of the stand-in: one port for the store, one for each worker.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;

use super::{Shared, spawn, store, workers};

/// A request, read whole.
pub(crate) struct Call {
    /// Path.
    pub(crate) path: String,
    /// Pairs of the query.
    pub(crate) query: Vec<(String, String)>,
    /// Body; null when there is none.
    pub(crate) body: Value,
    /// Life of a worker that is meant.
    pub(crate) life: Option<String>,
}

impl Call {
    /// Returns a value of the query.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(name, _)| name == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns a number of the query, 0 when it is missing.
    pub(crate) fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// What is answered; none keeps silent.
pub(crate) type Answer = Option<(u16, Value)>;

/// Opens a port for the store, or for a worker.
pub(crate) fn listen(shared: &Arc<Shared>, worker: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port on loopback");
    let address = listener.local_addr().expect("a bound socket has an address");
    listener.set_nonblocking(true).expect("a socket that does not block");
    spawn(accept(listener, Arc::clone(shared), worker));
    address
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, worker: Option<String>) {
    let listener = tokio::net::TcpListener::from_std(listener).expect("a listener");
    while let Ok((stream, _)) = listener.accept().await {
        let (shared, worker) = (Arc::clone(&shared), worker.clone());
        let service =
            service_fn(move |request| serve(request, Arc::clone(&shared), worker.clone()));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn serve(
    request: Request<Incoming>,
    shared: Arc<Shared>,
    worker: Option<String>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let query = head.uri.query().unwrap_or_default();
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let life = head.headers.get("x-expect-instance").and_then(|life| life.to_str().ok());
    let call = Call {
        path: head.uri.path().to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        life: life.map(str::to_owned),
    };
    let answer = match worker {
        Some(worker) => workers::answer(&shared, &worker, &call).await,
        None => store::answer(&shared, &call).await,
    };
    let Some((status, body)) = answer else { return std::future::pending().await };
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    Ok(response)
}
