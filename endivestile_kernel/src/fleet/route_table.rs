//! The operator's routes and limits in force.

use std::collections::BTreeMap;

use endivestile_config::model::Name;

/// One route: which calls it takes and how their jobs are run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Value of the header `Host`, without a port.
    pub host: Name,
    /// What the path begins with.
    pub prefix: Name,
    /// Service whose workers run its jobs.
    pub service: Name,
    /// How long a caller waits that names no deadline, in milliseconds.
    pub timeout_ms: u32,
    /// 0 comes first.
    pub priority: u32,
    /// Runs of one task that may fail before its job does.
    pub max_attempts: u32,
    /// Objective: thousandths of the work's own duration.
    pub stretch_milli: u32,
    /// Objective: milliseconds more.
    pub allowance_ms: u32,
}

/// What a service's workers do by themselves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Connections that one worker takes.
    pub max_connections: u32,
}

/// Limits on callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest head, in bytes.
    pub head_bytes: usize,
    /// Longest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest time between two requests of a connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Limits until a configuration is known: those of the users' examples.
    fn default() -> Self {
        Self {
            head_bytes: 16_384,
            body_bytes: 262_144,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    /// Grows with every accepted configuration.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<Name, ServiceLimits>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl RouteTable {
    /// Returns the route of a call: the longest prefix among those of the host.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split_once(':').map_or(host, |(name, _)| name);
        let fits = |route: &&Route| route.host.as_ref() == host && path.starts_with(&*route.prefix);
        self.routes.iter().filter(fits).max_by_key(|route| route.prefix.len())
    }
}
