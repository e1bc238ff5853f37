//! HTTP client for calls to workers and to the store.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use endivestile_config::model::Name;
use http::header::HOST;
use http::{HeaderValue, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Largest number of idle connections kept per address.
const MAX_IDLE_CONNECTIONS: usize = 6;
/// Longest body of a response, in bytes: room for several pages of the store.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Why a call has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HttpError {
    /// No connection could be established: nothing was sent.
    Unreachable,
    /// Something may have been sent, and no complete response arrived in time.
    Lost,
}

type Sender = SendRequest<Full<Bytes>>;

/// Pool of connections by address. A connection carries one call at a time and
/// is not reused if its response is missing.
#[derive(Debug, Clone, Default)]
pub(crate) struct HttpClient {
    idle: Arc<Mutex<HashMap<Name, Vec<Sender>>>>,
}

impl HttpClient {
    /// Makes a call that has to be answered by `deadline`.
    pub(crate) async fn call(
        &self,
        address: &Name,
        mut request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(HOST, host);
        }
        let mut request = request.map(Full::new);
        while let Some(mut sender) = self.take_idle(address) {
            match timeout_at(deadline, sender.try_send_request(request)).await {
                Ok(Ok(response)) => return self.read(address, sender, response, deadline).await,
                // The peer had closed the idle connection, and nothing was sent.
                Ok(Err(mut e)) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(HttpError::Lost),
                },
                Err(_) => return Err(HttpError::Lost),
            }
        }
        let mut sender = match timeout_at(deadline, open_connection(address)).await {
            Ok(Some(sender)) => sender,
            _ => return Err(HttpError::Unreachable),
        };
        match timeout_at(deadline, sender.send_request(request)).await {
            Ok(Ok(response)) => self.read(address, sender, response, deadline).await,
            _ => Err(HttpError::Lost),
        }
    }

    /// Reads the body of a response, and keeps the connection for further calls.
    async fn read(
        &self,
        address: &Name,
        sender: Sender,
        response: hyper::Response<hyper::body::Incoming>,
        deadline: Instant,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let (head, body) = response.into_parts();
        match timeout_at(deadline, Limited::new(body, MAX_BODY_BYTES).collect()).await {
            Ok(Ok(body)) => {
                self.keep_idle(address, sender);
                Ok((head.status, body.to_bytes()))
            }
            _ => Err(HttpError::Lost),
        }
    }

    fn take_idle(&self, address: &Name) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(address)?;
        loop {
            let sender = senders.pop()?;
            if !sender.is_closed() {
                return Some(sender);
            }
        }
    }

    fn keep_idle(&self, address: &Name, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address.clone()).or_default();
        senders.retain(|sender| !sender.is_closed());
        if senders.len() < MAX_IDLE_CONNECTIONS {
            senders.push(sender);
        }
    }
}

async fn open_connection(address: &str) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // The next call notices when the connection ends; nothing else depends on it.
    tokio::spawn(connection);
    Some(sender)
}
