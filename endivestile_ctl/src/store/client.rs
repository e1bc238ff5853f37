//! Client of the store.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_wire::store::kv_client::KvClient;
use endivestile_wire::store::{KeyValue, RangeRequest, RangeResponse, TxnRequest, TxnResponse};
use tokio::runtime::{Builder, Runtime};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use super::range;
use crate::error::CtlError;

/// Largest answer of the store, in bytes: a page of audit entries.
const MAX_ANSWER: usize = 16 << 20;
/// First wait between two attempts, in milliseconds; doubled each time.
const BACKOFF_MS: u64 = 50;
/// Longest wait between two attempts, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Longest that one call may take, in milliseconds.
const CALL_MS: u64 = 2_000;

/// Why a call to the store has no answer.
#[derive(Debug)]
pub(crate) struct Fault {
    /// Address that was called.
    pub(crate) peer: String,
    /// What went wrong.
    pub(crate) reason: String,
    /// Whether the call may have taken effect.
    pub(crate) sent: bool,
    /// Whether the store refused the call as such, so that a retry is in vain.
    pub(crate) refused: bool,
}

impl Fault {
    /// Makes the error of a read, or of a write that was never sent.
    pub(crate) fn away(self, step: &'static str) -> CtlError {
        CtlError::Away { step, peer: self.peer, reason: self.reason }
    }
}

/// The store, called from one thread.
#[derive(Debug)]
pub(crate) struct Store {
    /// Runtime of the client library.
    runtime: Runtime,
    /// Addresses, tried in turn.
    addresses: Vec<SocketAddr>,
    /// Index of the address in use.
    at: usize,
    /// Open connection.
    channel: Option<Channel>,
    /// When to give up.
    deadline: Instant,
}

impl Store {
    /// Makes a client that gives up `timeout_ms` milliseconds from now.
    pub(crate) fn new(addresses: Vec<SocketAddr>, timeout_ms: u64) -> Result<Self, CtlError> {
        if addresses.is_empty() {
            let reason = "the store's address is missing: --store or ENDIVESTILE_STORE";
            return Err(CtlError::Usage(reason.to_owned()));
        }
        let build = Builder::new_current_thread().enable_all().build();
        let fail =
            |cause: io::Error| CtlError::File { step: "start", file: "runtime".to_owned(), cause };
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        Ok(Self { runtime: build.map_err(fail)?, addresses, at: 0, channel: None, deadline })
    }

    /// Reads one key.
    pub(crate) fn get(&mut self, step: &'static str, key: &str) -> Result<KeyValue, CtlError> {
        let response = self.read(step, &range(key))?;
        Ok(response.kvs.into_iter().next().unwrap_or_default())
    }

    /// Reads a range; tried again until the deadline, since a read changes nothing.
    pub(crate) fn read(
        &mut self,
        step: &'static str,
        request: &RangeRequest,
    ) -> Result<RangeResponse, CtlError> {
        let mut backoff_ms = BACKOFF_MS;
        loop {
            match self.range(request) {
                Ok(response) => return Ok(response),
                Err(fault) if fault.refused || !self.wait(&mut backoff_ms) => {
                    return Err(fault.away(step));
                }
                Err(_) => {}
            }
        }
    }

    /// Runs a transaction until it has an answer.
    ///
    /// An answer can be lost after the write took effect. Sending the same
    /// transaction again can't take effect twice, because its compares fail
    /// from then on; the caller tells from what it reads back whether its own
    /// write was the one that came through.
    pub(crate) fn settle(&mut self, request: &TxnRequest) -> Result<TxnResponse, Fault> {
        let mut backoff_ms = BACKOFF_MS;
        let mut sent = false;
        loop {
            let fault = match self.txn(request) {
                Ok(response) => return Ok(response),
                Err(fault) => fault,
            };
            sent |= fault.sent;
            if fault.refused || !self.wait(&mut backoff_ms) {
                return Err(Fault { sent, ..fault });
            }
        }
    }

    fn range(&mut self, request: &RangeRequest) -> Result<RangeResponse, Fault> {
        let mut client = self.client()?;
        let call = self.runtime.block_on(client.range(request.clone()));
        call.map(tonic::Response::into_inner).map_err(|status| self.failed(&status))
    }

    fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, Fault> {
        let mut client = self.client()?;
        let call = self.runtime.block_on(client.txn(request.clone()));
        call.map(tonic::Response::into_inner).map_err(|status| self.failed(&status))
    }

    fn client(&mut self) -> Result<KvClient<Channel>, Fault> {
        let channel = match self.channel.clone() {
            Some(channel) => channel,
            None => self.connect()?,
        };
        Ok(KvClient::new(channel).max_decoding_message_size(MAX_ANSWER))
    }

    fn connect(&mut self) -> Result<Channel, Fault> {
        let peer = self.peer();
        let endpoint = Endpoint::from_shared(format!("http://{peer}"))
            .map(|endpoint| endpoint.connect_timeout(self.left()).timeout(self.left()));
        let connect = endpoint.and_then(|endpoint| self.runtime.block_on(endpoint.connect()));
        match connect {
            Ok(channel) => {
                self.channel = Some(channel.clone());
                Ok(channel)
            }
            Err(error) => {
                self.turn();
                Err(Fault { peer, reason: root(&error), sent: false, refused: false })
            }
        }
    }

    fn failed(&mut self, status: &Status) -> Fault {
        let peer = self.peer();
        self.turn();
        let refused = matches!(
            status.code(),
            Code::InvalidArgument
                | Code::NotFound
                | Code::OutOfRange
                | Code::FailedPrecondition
                | Code::PermissionDenied
                | Code::Unauthenticated
                | Code::Unimplemented
        );
        let reason = format!("{:?} {}", status.code(), status.message());
        Fault { peer, reason, sent: !refused, refused }
    }

    /// Drops the connection and takes the next address.
    fn turn(&mut self) {
        self.channel = None;
        self.at = (self.at + 1) % self.addresses.len();
    }

    fn peer(&self) -> String {
        self.addresses[self.at].to_string()
    }

    /// Waits before the next attempt; false when the deadline leaves no time for it.
    fn wait(&self, backoff_ms: &mut u64) -> bool {
        let pause = Duration::from_millis(*backoff_ms);
        if Instant::now() + pause >= self.deadline {
            return false;
        }
        thread::sleep(pause);
        *backoff_ms = (*backoff_ms * 2).min(MAX_BACKOFF_MS);
        true
    }

    /// Returns the time that one call may take.
    fn left(&self) -> Duration {
        let left = self.deadline.saturating_duration_since(Instant::now());
        left.clamp(Duration::from_millis(1), Duration::from_millis(CALL_MS))
    }
}

/// Returns the innermost cause; the library's own text says only "transport error".
fn root(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
