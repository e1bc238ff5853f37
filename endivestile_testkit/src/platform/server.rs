//! HTTP server of the stand-in, with one port for the store and one for each worker.

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

/// A request with its complete body.
pub(crate) struct Call {
    /// Path.
    pub(crate) path: String,
    /// Query parameters.
    pub(crate) query: Vec<(String, String)>,
    /// JSON body; null when there is none or it is invalid.
    pub(crate) body: Value,
    /// Worker instance that the caller expects to reach.
    pub(crate) expected_instance: Option<String>,
}

impl Call {
    /// Returns a query parameter.
    pub(crate) fn get(&self, key: &str) -> Option<&str> {
        let pair = self.query.iter().find(|(name, _)| name == key);
        pair.map(|(_, value)| value.as_str())
    }

    /// Returns a numeric query parameter, or 0 when it is missing or not a number.
    pub(crate) fn number(&self, key: &str) -> u64 {
        self.get(key).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Status and body of the answer; `None` sends no answer.
pub(crate) type Answer = Option<(u16, Value)>;

/// Opens a port for a worker, or for the store when `worker` is `None`.
pub(crate) fn listen(shared: &Arc<Shared>, worker: Option<String>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind an ephemeral loopback port");
    let address = listener.local_addr().expect("address of a bound socket");
    listener.set_nonblocking(true).expect("make the listener nonblocking");
    spawn(accept(listener, Arc::clone(shared), worker));
    address
}

async fn accept(listener: TcpListener, shared: Arc<Shared>, worker: Option<String>) {
    let listener = tokio::net::TcpListener::from_std(listener)
        .expect("register the listener with the runtime");
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
    let instance = head.headers.get("x-expect-instance").and_then(|header| header.to_str().ok());
    let call = Call {
        path: head.uri.path().to_owned(),
        query: pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect(),
        body: serde_json::from_slice(&body).unwrap_or(Value::Null),
        expected_instance: instance.map(str::to_owned),
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
