//! HTTP clients for calls to backends.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use endivestile_config::BackendSettings;
use endivestile_config::model::Name;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{ConnectionDetails, Connector, NextTimeout, TcpConnector};
use ureq::{Agent, Error};

/// Timeout for opening a connection, in milliseconds. A backend in an
/// unreachable zone does not answer at all.
const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Most clients; at this number all are dropped, since many belong to backends
/// of earlier configurations.
const MAX_CLIENTS: usize = 4_096;

/// One client for each backend.
///
/// The library searches all idle connections of a client one by one under a
/// lock. With a single client, each call would search the connections to all
/// backends, which takes a third of the processor time at 64 callers.
#[derive(Debug)]
pub(crate) struct Clients {
    /// Limits and timeouts.
    settings: BackendSettings,
    /// Clients by address of the backend.
    by_address: RwLock<HashMap<Name, Agent>>,
}

impl Clients {
    /// Starts without any client.
    pub(crate) fn new(settings: &BackendSettings) -> Self {
        Self { settings: settings.clone(), by_address: RwLock::default() }
    }

    /// Returns the client for an address, which is created on first use.
    pub(crate) fn get(&self, address: &Name) -> Agent {
        let clients = self.by_address.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(agent) = clients.get(address) {
            return agent.clone();
        }
        drop(clients);
        let mut clients = self.by_address.write().unwrap_or_else(PoisonError::into_inner);
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.entry(Name::clone(address)).or_insert_with(|| new_agent(&self.settings)).clone()
    }
}

/// Creates a client. It sends no request twice, follows no redirects and
/// returns a response of any status.
fn new_agent(settings: &BackendSettings) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(settings.threads)
        .max_idle_connections_per_host(settings.threads)
        .max_idle_age(Duration::from_millis(settings.idle_timeout_ms))
        .user_agent("endivestile")
        .proxy(None)
        .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
        .build();
    Agent::with_parts(config, Dial(TcpConnector::default()), NumericResolver)
}

/// Connector that reports every failure to connect as `ConnectionFailed`.
///
/// The error codes of the operating system are ambiguous: a refused connection
/// and an established one that the network broke can have the same code. If the
/// latter were considered refused, a running task would be started again. Since
/// only this connector returns `ConnectionFailed`, nothing was sent in that case.
struct Dial(TcpConnector);

impl fmt::Debug for Dial {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Dial")
    }
}

impl Connector for Dial {
    type Out = <TcpConnector as Connector>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails<'_>,
        chained: Option<()>,
    ) -> Result<Option<Self::Out>, Error> {
        self.0.connect(details, chained).map_err(|e| {
            log::debug!(
                "event=dial_failed step=connect peer={} error={:?}",
                details.uri,
                e.to_string()
            );
            Error::ConnectionFailed
        })
    }
}

/// Resolver for numeric addresses only. Inventory and settings contain no host
/// names, and the library's own resolver would start a thread for each call.
#[derive(Debug)]
struct NumericResolver;

impl Resolver for NumericResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(|a| a.as_str()).unwrap_or_default();
        let address: SocketAddr = authority.parse().map_err(|_| Error::ConnectionFailed)?;
        let mut addresses = self.empty();
        addresses.push(address);
        Ok(addresses)
    }
}
