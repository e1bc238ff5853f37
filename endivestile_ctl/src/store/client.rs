//! Calls to the store, with retries.

use std::io;
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use endivestile_wire::store::kv_client::KvClient;
use endivestile_wire::store::{KeyValue, RangeRequest, RangeResponse, TxnRequest, TxnResponse};
use tokio::runtime::{Builder, Runtime};
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use super::key_range;
use crate::error::CtlError;

/// Size limit of a response, in bytes; the largest is a page of audit entries.
const MAX_ANSWER_BYTES: usize = 16 << 20;
/// First wait between two attempts, in milliseconds; doubled after each attempt.
const MIN_BACKOFF_MS: u64 = 50;
/// Longest wait between two attempts, in milliseconds.
const MAX_BACKOFF_MS: u64 = 1_000;
/// Longest timeout of one call, in milliseconds.
const MAX_CALL_MS: u64 = 2_000;

/// Error of a call to the store.
#[derive(Debug)]
pub(crate) struct StoreError {
    /// Address that was called.
    pub(crate) peer: String,
    /// Description of the error.
    pub(crate) reason: String,
    /// Whether the call may have taken effect.
    pub(crate) sent: bool,
    /// Whether the store rejected the call itself, so that a retry can't succeed.
    pub(crate) permanent: bool,
}

impl StoreError {
    /// Converts the error of a read, or of a write that was never sent.
    pub(crate) fn into_unreachable(self, step: &'static str) -> CtlError {
        CtlError::Unreachable { step, peer: self.peer, reason: self.reason }
    }
}

/// Blocking client for the store.
#[derive(Debug)]
pub(crate) struct Store {
    /// Runtime for the client library.
    runtime: Runtime,
    /// Addresses, tried in turn after errors.
    addresses: Vec<SocketAddr>,
    /// Index of the address in use.
    current: usize,
    /// Open connection, if any.
    channel: Option<Channel>,
    /// Time after which no call is retried.
    deadline: Instant,
}

impl Store {
    /// Creates a client that gives up `timeout_ms` milliseconds from now.
    pub(crate) fn new(addresses: Vec<SocketAddr>, timeout_ms: u64) -> Result<Self, CtlError> {
        if addresses.is_empty() {
            let reason = "the store's address is missing: --store or ENDIVESTILE_STORE";
            return Err(CtlError::Usage(reason.to_owned()));
        }
        let build = Builder::new_current_thread().enable_all().build();
        let fail =
            |cause: io::Error| CtlError::File { step: "start", file: "runtime".to_owned(), cause };
        let deadline = Instant::now() + Duration::from_millis(timeout_ms);
        Ok(Self { runtime: build.map_err(fail)?, addresses, current: 0, channel: None, deadline })
    }

    /// Reads one key; the default value if it is absent.
    pub(crate) fn get(&mut self, step: &'static str, key: &str) -> Result<KeyValue, CtlError> {
        let response = self.read(step, &key_range(key))?;
        Ok(response.kvs.into_iter().next().unwrap_or_default())
    }

    /// Reads a range and retries until the deadline, which is safe because reads change nothing.
    pub(crate) fn read(
        &mut self,
        step: &'static str,
        request: &RangeRequest,
    ) -> Result<RangeResponse, CtlError> {
        let mut backoff_ms = MIN_BACKOFF_MS;
        loop {
            match self.range(request) {
                Ok(response) => return Ok(response),
                Err(store_error) if store_error.permanent || !self.back_off(&mut backoff_ms) => {
                    return Err(store_error.into_unreachable(step));
                }
                Err(_) => {}
            }
        }
    }

    /// Runs a transaction and retries until it has a response.
    ///
    /// A response can be lost after the write took effect. A retry of the same
    /// transaction can't take effect again, because its comparisons then fail; from
    /// what the failed transaction reads back the caller recognises its own write.
    pub(crate) fn run_txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        let mut backoff_ms = MIN_BACKOFF_MS;
        let mut sent = false;
        loop {
            let store_error = match self.txn(request) {
                Ok(response) => return Ok(response),
                Err(store_error) => store_error,
            };
            sent |= store_error.sent;
            if store_error.permanent || !self.back_off(&mut backoff_ms) {
                return Err(StoreError { sent, ..store_error });
            }
        }
    }

    fn range(&mut self, request: &RangeRequest) -> Result<RangeResponse, StoreError> {
        let mut client = self.client()?;
        let call = self.runtime.block_on(client.range(request.clone()));
        call.map(tonic::Response::into_inner).map_err(|status| self.call_failed(&status))
    }

    fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, StoreError> {
        let mut client = self.client()?;
        let call = self.runtime.block_on(client.txn(request.clone()));
        call.map(tonic::Response::into_inner).map_err(|status| self.call_failed(&status))
    }

    fn client(&mut self) -> Result<KvClient<Channel>, StoreError> {
        let channel = match self.channel.clone() {
            Some(channel) => channel,
            None => self.connect()?,
        };
        Ok(KvClient::new(channel).max_decoding_message_size(MAX_ANSWER_BYTES))
    }

    fn connect(&mut self) -> Result<Channel, StoreError> {
        let peer = self.peer();
        let endpoint = Endpoint::from_shared(format!("http://{peer}")).map(|endpoint| {
            endpoint.connect_timeout(self.call_timeout()).timeout(self.call_timeout())
        });
        let connect = endpoint.and_then(|endpoint| self.runtime.block_on(endpoint.connect()));
        match connect {
            Ok(channel) => {
                self.channel = Some(channel.clone());
                Ok(channel)
            }
            Err(error) => {
                self.use_next_address();
                Err(StoreError { peer, reason: root_cause(&error), sent: false, permanent: false })
            }
        }
    }

    /// Converts the status of a failed call and selects the next address.
    fn call_failed(&mut self, status: &Status) -> StoreError {
        let peer = self.peer();
        self.use_next_address();
        let permanent = matches!(
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
        StoreError { peer, reason, sent: !permanent, permanent }
    }

    /// Drops the connection and selects the next address.
    fn use_next_address(&mut self) {
        self.channel = None;
        self.current = (self.current + 1) % self.addresses.len();
    }

    fn peer(&self) -> String {
        self.addresses[self.current].to_string()
    }

    /// Waits before the next attempt; returns false if the deadline leaves no time for it.
    fn back_off(&self, backoff_ms: &mut u64) -> bool {
        let pause = Duration::from_millis(*backoff_ms);
        if Instant::now() + pause >= self.deadline {
            return false;
        }
        thread::sleep(pause);
        *backoff_ms = (*backoff_ms * 2).min(MAX_BACKOFF_MS);
        true
    }

    /// Returns the timeout of one call: the time until the deadline, at most [`MAX_CALL_MS`].
    fn call_timeout(&self) -> Duration {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        remaining.clamp(Duration::from_millis(1), Duration::from_millis(MAX_CALL_MS))
    }
}

/// Returns the innermost cause; the error's own text is just "transport error".
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}
