//! Connections to the store's addresses.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use endivestile_config::StoreSettings;
use endivestile_wire::store::kv_client::KvClient;
use endivestile_wire::store::lease_client::LeaseClient;
use endivestile_wire::store::watch_client::WatchClient;
use tokio::sync::Notify;
use tokio::time::timeout;
use tonic::Status;
use tonic::transport::{Channel, Endpoint};

use super::error::StoreError;
use crate::counters::{Counters, IoMetric};
use crate::error::RunError;

/// Longest message, in bytes; it carries many values of up to one megabyte.
const MAX_MESSAGE_BYTES: usize = 64 << 20;
/// Interval between two keep-alive pings on a connection, in milliseconds.
const KEEPALIVE_INTERVAL_MS: u64 = 10_000;
/// Timeout for the answer to a keep-alive ping, in milliseconds.
const KEEPALIVE_TIMEOUT_MS: u64 = 5_000;

/// Connection to one address of the store.
#[derive(Debug, Clone)]
struct Connection {
    /// The address, for log lines.
    address: String,
    /// The channel, which connects when it is first used.
    channel: Channel,
}

/// Connections to the store's addresses. One is used at a time; a failed call
/// switches to the next.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    /// Connections to all addresses.
    connections: Arc<[Connection]>,
    /// Index of the connection in use.
    current_index: Arc<AtomicUsize>,
    /// Notified when the store seems to be unresponsive.
    pub(crate) unresponsive: Arc<Notify>,
    /// Timeout for one call, in milliseconds.
    timeout_ms: u64,
    /// Counters of the process.
    counters: Counters,
}

impl Connections {
    /// Prepares the connections. Must be called on the runtime.
    pub(crate) fn new(settings: &StoreSettings, counters: Counters) -> Result<Self, RunError> {
        let connections: Result<Vec<Connection>, RunError> = settings
            .addresses
            .iter()
            .map(|address| prepare(address.to_string(), settings))
            .collect();
        Ok(Self {
            connections: connections?.into(),
            current_index: Arc::new(AtomicUsize::new(0)),
            unresponsive: Arc::new(Notify::new()),
            timeout_ms: settings.timeout_ms,
            counters,
        })
    }

    /// Returns a client for keys.
    pub(crate) fn kv_client(&self) -> KvClient<Channel> {
        KvClient::new(self.channel()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Returns a client for leases.
    pub(crate) fn lease_client(&self) -> LeaseClient<Channel> {
        LeaseClient::new(self.channel())
    }

    /// Returns a client for watches.
    pub(crate) fn watch_client(&self) -> WatchClient<Channel> {
        WatchClient::new(self.channel()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }

    /// Makes one call, which fails after the timeout.
    pub(crate) async fn call<T>(
        &self,
        step: &'static str,
        metric: Option<IoMetric>,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, StoreError> {
        if let Some(metric) = metric {
            self.counters.count_io(metric, 1);
        }
        let connection = self.current();
        let error = match timeout(Duration::from_millis(self.timeout_ms), call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(status)) => {
                let reason = format!("{:?}: {}", status.code(), status.message());
                StoreError::Status { step, peer: connection.address.clone(), reason }
            }
            Err(_) => StoreError::Timeout { step, peer: connection.address.clone() },
        };
        self.counters.count_io(IoMetric::StoreErrors, 1);
        self.fail_over(connection);
        Err(error)
    }

    /// Switches to the next connection, unless another call has already switched.
    fn fail_over(&self, failed: &Connection) {
        let index = self.current_index.load(Ordering::Relaxed);
        if self.connections[index].address == failed.address {
            self.current_index.store((index + 1) % self.connections.len(), Ordering::Relaxed);
        }
    }

    fn current(&self) -> &Connection {
        &self.connections[self.current_index.load(Ordering::Relaxed)]
    }

    fn channel(&self) -> Channel {
        self.current().channel.clone()
    }
}

fn prepare(address: String, settings: &StoreSettings) -> Result<Connection, RunError> {
    let failed = |e: tonic::transport::Error| RunError::Bind {
        step: "prepare-store",
        address: address.clone(),
        reason: e.to_string(),
    };
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(failed)?
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(settings.timeout_ms))
        .http2_keep_alive_interval(Duration::from_millis(KEEPALIVE_INTERVAL_MS))
        .keep_alive_timeout(Duration::from_millis(KEEPALIVE_TIMEOUT_MS))
        .keep_alive_while_idle(true);
    let channel = endpoint.connect_lazy();
    Ok(Connection { address, channel })
}
