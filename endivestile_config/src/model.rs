//! The configuration: inventory and rules.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Name of an object, as a shared immutable string.
pub type Name = Arc<str>;

/// A configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Increases by one with each accepted change; 0 before the first one.
    pub revision: u64,
    /// Availability zones by name.
    pub zones: BTreeMap<Name, Zone>,
    /// Entry hosts by name.
    pub hosts: BTreeMap<Name, Host>,
    /// Backend servers by name.
    pub servers: BTreeMap<Name, Server>,
    /// Workers by name.
    pub workers: BTreeMap<Name, Worker>,
    /// Services by name.
    pub services: BTreeMap<Name, Service>,
    /// Teams by name.
    pub teams: BTreeMap<Name, Team>,
    /// Rules of the whole deployment.
    pub rules: Rules,
}

/// One availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Zone {
    /// Region of the zone.
    pub region: Name,
}

/// One entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Availability zone.
    pub zone: Name,
    /// Address for links from its peers, `IP:port`.
    pub address: Name,
    /// Relative size: a host of weight 2 gets twice the share of one of weight 1.
    pub weight: u32,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Availability zone.
    pub zone: Name,
    /// Rack; empty if unknown.
    pub rack: Name,
    /// Address of its HTTP interface, `IP:port`.
    pub address: Name,
    /// Maximum number of concurrent tasks.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
}

/// One worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Worker {
    /// Availability zone.
    pub zone: Name,
    /// Rack; empty if unknown.
    pub rack: Name,
    /// Address of its HTTP interface, `IP:port`.
    pub address: Name,
    /// Processor time in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u16,
}

/// One service and its backend servers.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Names of the backend servers.
    pub servers: Vec<Name>,
    /// Path of the calls to a backend server.
    pub path: Name,
}

/// One team, with its limit and weight.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Maximum number of the team's waiting and running tasks in the whole deployment.
    pub limit: u32,
    /// Relative share under contention with other teams.
    pub weight: u32,
}

/// Availability zone of a shard's witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum WitnessZone {
    /// Another availability zone than the home's: the shard survives the loss of a zone.
    #[default]
    Other,
    /// The home's availability zone: lower latency, but lost with the zone.
    Same,
}

/// Rules of the whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Number of shards of the callers' own ids; cannot change once accepted.
    pub shards: u32,
    /// Time in which a submission may be resubmitted, in seconds; cannot change once accepted.
    pub window_s: u64,
    /// Placement cost of a message between hosts, in microseconds.
    pub price_us: u64,
    /// One-way latency between availability zones, in microseconds.
    pub distance_us: u64,
    /// Name of the placement policy.
    pub policy: Name,
    /// Availability zone of the witnesses.
    pub witness: WitnessZone,
    /// Retry budget of idempotent requests, in percent of first attempts.
    pub retry_percent: u32,
    /// Maximum number of waiting tasks on one entry host.
    pub queue_limit: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            shards: 64,
            window_s: 600,
            price_us: 200,
            distance_us: 500,
            policy: Name::from("earliest"),
            witness: WitnessZone::Other,
            retry_percent: 10,
            queue_limit: 20_000,
        }
    }
}

impl Default for Host {
    fn default() -> Self {
        Self { zone: Name::from(""), address: Name::from(""), weight: 1 }
    }
}

impl Default for Server {
    fn default() -> Self {
        let empty = Name::from("");
        Self { zone: empty.clone(), rack: empty.clone(), address: empty, slots: 1, connections: 64 }
    }
}

impl Default for Team {
    fn default() -> Self {
        Self { limit: 10_000, weight: 1 }
    }
}
