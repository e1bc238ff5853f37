//! The operator's configuration of routes and limits.

use std::collections::BTreeMap;

use endivestile_config::model::Name;

/// A route: which requests it matches and how their jobs are run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Required value of the `Host` header, without a port.
    pub host: Name,
    /// Required prefix of the path.
    pub prefix: Name,
    /// Service whose workers run its jobs.
    pub service: Name,
    /// Time limit of a job whose caller gives no deadline, in milliseconds.
    pub timeout_ms: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub max_attempts: u32,
    /// Objective relative to the expected duration of the work, in thousandths of it.
    pub stretch_milli: u32,
    /// Constant part of the objective, added to the relative one, in milliseconds.
    pub allowance_ms: u32,
}

/// Limits of a service's workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Maximum number of connections to one worker.
    pub max_connections: u32,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum idle time between two requests on a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Limits in force until a configuration has been read: those of the users' examples.
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    /// Version; increases with every accepted configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceLimits>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl RouteTable {
    /// Returns the route of a request: the longest matching prefix among the host's routes.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let matches =
            |route: &&Route| route.host.as_ref() == host && path.starts_with(&*route.prefix);
        self.routes.iter().filter(matches).max_by_key(|route| route.prefix.len())
    }
}
