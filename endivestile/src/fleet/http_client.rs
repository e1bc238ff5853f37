//! The one HTTP client: for workers and for the store.

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

/// Idle connections kept for one address.
const MAX_IDLE: usize = 6;
/// Longest body of an answer, in bytes: some pages of the store.
const MAX_ANSWER: usize = 8 << 20;

/// Why a call brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HttpError {
    /// No connection was made: nothing was sent.
    Unreachable,
    /// Something was sent, and no whole answer came in time.
    Lost,
}

type Sender = SendRequest<Full<Bytes>>;

/// Connections by address. A connection carries one call at a time; one on
/// which an answer is missing is not used again.
#[derive(Debug, Clone, Default)]
pub(crate) struct HttpClient {
    idle: Arc<Mutex<HashMap<Name, Vec<Sender>>>>,
}

impl HttpClient {
    /// Makes a call that has to be answered by `due`.
    pub(crate) async fn call(
        &self,
        address: &Name,
        mut request: Request<Bytes>,
        due: Instant,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        if let Ok(host) = HeaderValue::from_str(address) {
            request.headers_mut().insert(HOST, host);
        }
        let mut request = request.map(Full::new);
        while let Some(mut sender) = self.take(address) {
            match timeout_at(due, sender.try_send_request(request)).await {
                Ok(Ok(response)) => return self.read(address, sender, response, due).await,
                // The peer had closed the idle connection and nothing was sent.
                Ok(Err(mut e)) => match e.take_message() {
                    Some(unsent) => request = unsent,
                    None => return Err(HttpError::Lost),
                },
                Err(_) => return Err(HttpError::Lost),
            }
        }
        let mut sender = match timeout_at(due, dial(address)).await {
            Ok(Some(sender)) => sender,
            _ => return Err(HttpError::Unreachable),
        };
        match timeout_at(due, sender.send_request(request)).await {
            Ok(Ok(response)) => self.read(address, sender, response, due).await,
            _ => Err(HttpError::Lost),
        }
    }

    async fn read(
        &self,
        address: &Name,
        sender: Sender,
        response: hyper::Response<hyper::body::Incoming>,
        due: Instant,
    ) -> Result<(StatusCode, Bytes), HttpError> {
        let (head, body) = response.into_parts();
        match timeout_at(due, Limited::new(body, MAX_ANSWER).collect()).await {
            Ok(Ok(body)) => {
                self.keep(address, sender);
                Ok((head.status, body.to_bytes()))
            }
            _ => Err(HttpError::Lost),
        }
    }

    fn take(&self, address: &Name) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(address)?;
        loop {
            let sender = senders.pop()?;
            if !sender.is_closed() {
                return Some(sender);
            }
        }
    }

    fn keep(&self, address: &Name, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address.clone()).or_default();
        senders.retain(|sender| !sender.is_closed());
        if senders.len() < MAX_IDLE {
            senders.push(sender);
        }
    }
}

async fn dial(address: &str) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    // Its end shows at the next call; nothing else has to be told.
    tokio::spawn(connection);
    Some(sender)
}
