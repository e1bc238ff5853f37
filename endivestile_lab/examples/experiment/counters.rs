//! Counters of the entry hosts and the stand-ins.

use std::collections::BTreeMap;

use endivestile_testkit::{Caller, Deployment};
use serde_json::Value;

/// Counts by name.
pub(crate) type Counts = BTreeMap<String, u64>;

/// Sums the counters of all hosts that answer, and adds the stand-ins' own.
pub(crate) fn read_counters(deployment: &Deployment, agent: &Caller) -> Counts {
    let mut sums = Counts::new();
    for host in &deployment.hosts {
        let Ok(status) = agent.with_address(host.address()).status() else { continue };
        let Some(Value::Object(counters)) = status.get("counters") else { continue };
        for (name, count) in counters {
            *sums.entry(name.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    sums.insert("task_starts".into(), deployment.servers.total_starts());
    sums.insert("refused_sends".into(), deployment.servers.rejections());
    sums.insert("platform_calls".into(), deployment.store.counts().total());
    sums
}

/// Returns what was counted between two looks; a host that restarted counts anew from 0.
pub(crate) fn difference(before: &Counts, after: &Counts) -> Counts {
    let delta = |(name, count): (&String, &u64)| {
        let was = before.get(name).copied().unwrap_or(0);
        (name.clone(), count.saturating_sub(was))
    };
    after.iter().map(delta).collect()
}

/// Returns the revision in force at a host, 0 when it does not answer.
pub(crate) fn adopted_revision(agent: &Caller, address: std::net::SocketAddr) -> u64 {
    let status = agent.with_address(address).status().unwrap_or_default();
    status["revision"].as_u64().unwrap_or(0)
}
