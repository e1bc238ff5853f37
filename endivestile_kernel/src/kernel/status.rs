//! Status of an entry host for operators.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::{Kernel, ServerStatus, ShardStatus, Time};

/// Status of a host in this host's view.
#[derive(Debug, Clone, Serialize)]
pub struct HostStatus {
    /// Incarnation.
    pub peer: String,
    /// Availability zone.
    pub zone: String,
    /// `live`, `leaving`, `suspect` or `gone`.
    pub state: String,
    /// Number of unacknowledged messages.
    pub backlog: usize,
}

/// State of one entry host.
#[derive(Debug, Clone, Serialize)]
pub struct Status {
    /// This incarnation.
    pub peer: String,
    /// Availability zone.
    pub zone: String,
    /// Revision of the configuration in force, 0 for none.
    pub revision: u64,
    /// Whether the load balancer may send calls to this host.
    pub ready: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Whether the platform's store is available.
    pub store: bool,
    /// Number of submissions that have not ended.
    pub active: usize,
    /// Number of submissions whose answer callers of this host wait for.
    pub waiting: usize,
    /// Number of submissions on record, including ended ones.
    pub remembered: usize,
    /// Number of forwarded calls and parked submissions.
    pub passed: usize,
    /// Counters since the start, by name of the metric.
    pub totals: BTreeMap<String, u64>,
    /// Hosts.
    pub hosts: BTreeMap<String, HostStatus>,
    /// Shards in which the host has a role.
    pub shards: Vec<ShardStatus>,
    /// Backends of the host's share.
    pub servers: Vec<ServerStatus>,
}

impl Kernel {
    /// Returns the state of this host.
    pub fn status(&self, now: Time) -> Status {
        let totals = self.totals.iter().map(|(metric, count)| (metric.to_string(), *count));
        Status {
            peer: self.setup.me.to_string(),
            zone: self.setup.zone.to_string(),
            revision: self.revision(),
            ready: self.ready(),
            leaving: self.leaving,
            store: self.membership.view().store_available,
            active: self.runs.active(),
            waiting: self.waiting_calls(),
            remembered: self.runs.len(),
            passed: self.forwards.len(),
            totals: totals.collect(),
            hosts: self.host_status(),
            shards: self.shards.status(),
            servers: self.placer.status(now),
        }
    }

    fn host_status(&self) -> BTreeMap<String, HostStatus> {
        let hosts = self.membership.view().hosts.iter();
        let status = hosts.map(|(name, host)| {
            let backlog = self.channels.get(&host.peer).map_or(0, |channel| channel.backlog());
            let status = HostStatus {
                peer: host.peer.to_string(),
                zone: host.zone.to_string(),
                state: format!("{:?}", host.state).to_lowercase(),
                backlog,
            };
            (name.to_string(), status)
        });
        status.collect()
    }
}
