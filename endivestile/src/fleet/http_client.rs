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
        while let Some(sender) = self.take_idle(address) {
            match timeout_at(deadline, self.exchange(address, sender, request)).await {
                Ok(Ok(answer)) => return Ok(answer),
                // The peer had closed the idle connection, and nothing was sent.
                Ok(Err(Some(unsent))) => request = unsent,
                _ => return Err(HttpError::Lost),
            }
        }
        let sender = match timeout_at(deadline, open_connection(address)).await {
            Ok(Some(sender)) => sender,
            _ => return Err(HttpError::Unreachable),
        };
        match timeout_at(deadline, self.exchange(address, sender, request)).await {
            Ok(Ok(answer)) => Ok(answer),
            _ => Err(HttpError::Lost),
        }
    }

    /// Sends a request, reads the whole response, and keeps the connection for further calls.
    /// Fails with the request if nothing of it was sent.
    async fn exchange(
        &self,
        address: &Name,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
    ) -> Result<(StatusCode, Bytes), Option<Request<Full<Bytes>>>> {
        let response = sender.try_send_request(request).await.map_err(|mut e| e.take_message())?;
        let (head, body) = response.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|_| None)?;
        self.keep_idle(address, sender);
        Ok((head.status, body.to_bytes()))
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
