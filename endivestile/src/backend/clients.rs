//! The HTTP client with which back ends are called.

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

/// Longest time for a connection, in milliseconds; a back end in a zone that
/// is cut off answers nothing at all.
const CONNECT_MS: u64 = 1_000;

/// Most clients; a configuration that named more back ends over time starts anew.
const MAX_AGENTS: usize = 4_096;

/// One client for each back end.
///
/// The library searches all idle connections of a client one by one under a
/// lock, so that one client for all back ends costs each call a search through
/// the connections of the others: a third of the processor time at 64 callers.
#[derive(Debug)]
pub(crate) struct Clients {
    /// Limits.
    settings: BackendSettings,
    /// Clients by address.
    agents: RwLock<HashMap<Name, Agent>>,
}

impl Clients {
    /// Starts without clients.
    pub(crate) fn new(settings: &BackendSettings) -> Self {
        Self { settings: settings.clone(), agents: RwLock::default() }
    }

    /// Returns the client for an address.
    pub(crate) fn get(&self, address: &Name) -> Agent {
        let held = self.agents.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(agent) = held.get(address) {
            return agent.clone();
        }
        drop(held);
        let mut held = self.agents.write().unwrap_or_else(PoisonError::into_inner);
        if held.len() >= MAX_AGENTS {
            held.clear();
        }
        held.entry(Name::clone(address)).or_insert_with(|| agent(&self.settings)).clone()
    }
}

/// Makes a client. It sends nothing twice, follows no redirect and takes
/// every status as an answer.
fn agent(settings: &BackendSettings) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(settings.threads)
        .max_idle_connections_per_host(settings.threads)
        .max_idle_age(Duration::from_millis(settings.idle_timeout_ms))
        .user_agent("endivestile")
        .proxy(None)
        .timeout_connect(Some(Duration::from_millis(CONNECT_MS)))
        .build();
    Agent::with_parts(config, Dial(TcpConnector::default()), Numbers)
}

/// Marks errors that arose before a connection stood.
///
/// The errors of the system alone do not tell: a refused connection and an
/// established one that the network broke can carry the same number. Taken for
/// refused, a task that runs would be started again. Here only a connector
/// that returned no connection gives `ConnectionFailed`, and nothing was sent.
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

/// Reads addresses as numbers: inventory and settings hold no names, and the
/// library's own resolver would start a thread for each call.
#[derive(Debug)]
struct Numbers;

impl Resolver for Numbers {
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
