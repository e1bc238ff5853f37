//! The configuration that operators accept: inventory and rules.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Shared immutable string that names a thing.
pub type Name = Arc<str>;

/// One accepted configuration.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Config {
    /// Grows by one with every accepted change; 0 when none was accepted yet.
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
    /// Rules that hold for the whole deployment.
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
    /// Address of links from its peers, `IP:port`.
    pub address: Name,
    /// Relative size; a host of weight 2 takes twice the share of weight 1.
    pub weight: u32,
}

/// One backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Server {
    /// Availability zone.
    pub zone: Name,
    /// Rack, empty when not known.
    pub rack: Name,
    /// Address of its HTTP interface, `IP:port`.
    pub address: Name,
    /// Tasks it runs at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
}

/// One worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Worker {
    /// Availability zone.
    pub zone: Name,
    /// Rack, empty when not known.
    pub rack: Name,
    /// Address of its HTTP interface, `IP:port`.
    pub address: Name,
    /// Processors in thousandths of a core.
    pub cpu_milli: u32,
    /// Memory in MiB.
    pub memory_mb: u32,
    /// Accelerators.
    pub accelerators: u16,
}

/// One service and the backend servers it may use.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Service {
    /// Names of the backend servers.
    pub servers: Vec<Name>,
    /// Path that is called on a backend server.
    pub path: Name,
}

/// One team and how much work it may hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Tasks of the team, waiting or running, in the whole deployment.
    pub limit: u32,
    /// Share under contention against the other teams.
    pub weight: u32,
}

/// Where a shard keeps its witness.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum WitnessZone {
    /// Another availability zone than the home's: survives the loss of a zone.
    #[default]
    Other,
    /// The home's own availability zone: fewer milliseconds, lost with the zone.
    Same,
}

/// Rules that hold for the whole deployment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Rules {
    /// Shards of the callers' own ids; fixed once accepted.
    pub shards: u32,
    /// Seconds for which a submission may be resubmitted; fixed once accepted.
    pub window_s: u64,
    /// Price of a message between hosts, in thousandths of a millisecond.
    pub price_us: u64,
    /// One-way distance between availability zones, in microseconds.
    pub distance_us: u64,
    /// Name of the placement policy.
    pub policy: Name,
    /// Where witnesses are kept.
    pub witness: WitnessZone,
    /// Retries of idempotent requests, in percent of first tries.
    pub retry_percent: u32,
    /// Waiting tasks that one entry host holds at most.
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
