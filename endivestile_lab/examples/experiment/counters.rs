//! Counters of the entry hosts and of the stand-ins.

use std::collections::BTreeMap;

use endivestile_testkit::{Caller, Deployment};
use serde_json::Value;

/// Counts by name.
pub(crate) type Counts = BTreeMap<String, u64>;

/// Sums the counters of all hosts that answer, and adds those of the stand-ins.
pub(crate) fn read_counters(deployment: &Deployment, base_caller: &Caller) -> Counts {
    let mut sums = Counts::new();
    for host in &deployment.hosts {
        let Ok(status) = base_caller.with_address(host.address()).status() else { continue };
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

/// Returns the increase of each counter, 0 for one that decreased because a host restarted.
pub(crate) fn difference(before: &Counts, after: &Counts) -> Counts {
    let increase = |(name, count): (&String, &u64)| {
        let earlier = before.get(name).copied().unwrap_or(0);
        (name.clone(), count.saturating_sub(earlier))
    };
    after.iter().map(increase).collect()
}

/// Returns the revision of the configuration that a host has adopted, 0 when it does not answer.
pub(crate) fn adopted_revision(base_caller: &Caller, address: std::net::SocketAddr) -> u64 {
    let status = base_caller.with_address(address).status().unwrap_or_default();
    status["revision"].as_u64().unwrap_or(0)
}
