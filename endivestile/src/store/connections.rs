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

/// Longest message, in bytes: many values of up to a megabyte.
const MAX_MESSAGE: usize = 64 << 20;
/// Pause between two probes of a connection, in milliseconds.
const PROBE_MS: u64 = 10_000;
/// Time for the answer to a probe, in milliseconds.
const PROBE_ANSWER_MS: u64 = 5_000;

/// One address of the store.
#[derive(Debug, Clone)]
struct Site {
    /// The address, for the log.
    address: String,
    /// Its connection, made when it is first used.
    channel: Channel,
}

/// The store's addresses, used one at a time and in turn when calls fail.
#[derive(Debug, Clone)]
pub(crate) struct Connections {
    /// All addresses.
    sites: Arc<[Site]>,
    /// Index of the address in use.
    at: Arc<AtomicUsize>,
    /// Told when the store seems to answer nothing any more.
    pub(crate) unresponsive: Arc<Notify>,
    /// Time for one call, in milliseconds.
    timeout_ms: u64,
    /// Counts.
    counters: Counters,
}

impl Connections {
    /// Prepares the connections; must be called on the runtime.
    pub(crate) fn new(settings: &StoreSettings, counters: Counters) -> Result<Self, RunError> {
        let sites: Result<Vec<Site>, RunError> =
            settings.addresses.iter().map(|address| site(address.to_string(), settings)).collect();
        Ok(Self {
            sites: sites?.into(),
            at: Arc::new(AtomicUsize::new(0)),
            unresponsive: Arc::new(Notify::new()),
            timeout_ms: settings.timeout_ms,
            counters,
        })
    }

    /// Returns the client for keys.
    pub(crate) fn kv_client(&self) -> KvClient<Channel> {
        KvClient::new(self.channel()).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Returns the client for leases.
    pub(crate) fn lease_client(&self) -> LeaseClient<Channel> {
        LeaseClient::new(self.channel())
    }

    /// Returns the client for watches.
    pub(crate) fn watch_client(&self) -> WatchClient<Channel> {
        WatchClient::new(self.channel()).max_decoding_message_size(MAX_MESSAGE)
    }

    /// Makes one call, within the time for one.
    pub(crate) async fn call<T>(
        &self,
        step: &'static str,
        tally: Option<IoMetric>,
        call: impl Future<Output = Result<T, Status>>,
    ) -> Result<T, StoreError> {
        if let Some(tally) = tally {
            self.counters.count_io(tally, 1);
        }
        let site = self.site();
        let error = match timeout(Duration::from_millis(self.timeout_ms), call).await {
            Ok(Ok(answer)) => return Ok(answer),
            Ok(Err(status)) => {
                let reason = format!("{:?}: {}", status.code(), status.message());
                StoreError::Status { step, peer: site.address.clone(), reason }
            }
            Err(_) => StoreError::Timeout { step, peer: site.address.clone() },
        };
        self.counters.count_io(IoMetric::StoreErrors, 1);
        self.turn(site);
        Err(error)
    }

    /// Turns to the next address, unless another call has turned already.
    fn turn(&self, failed: &Site) {
        let at = self.at.load(Ordering::Relaxed);
        if self.sites[at].address == failed.address {
            self.at.store((at + 1) % self.sites.len(), Ordering::Relaxed);
        }
    }

    fn site(&self) -> &Site {
        &self.sites[self.at.load(Ordering::Relaxed)]
    }

    fn channel(&self) -> Channel {
        self.site().channel.clone()
    }
}

fn site(address: String, settings: &StoreSettings) -> Result<Site, RunError> {
    let failed = |e: tonic::transport::Error| RunError::Bind {
        step: "prepare-store",
        address: address.clone(),
        reason: e.to_string(),
    };
    let endpoint = Endpoint::from_shared(format!("http://{address}"))
        .map_err(failed)?
        .tcp_nodelay(true)
        .connect_timeout(Duration::from_millis(settings.timeout_ms))
        .http2_keep_alive_interval(Duration::from_millis(PROBE_MS))
        .keep_alive_timeout(Duration::from_millis(PROBE_ANSWER_MS))
        .keep_alive_while_idle(true);
    let channel = endpoint.connect_lazy();
    Ok(Site { address, channel })
}
