//! Choice of the host whose share runs a task.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use endivestile_config::model::{Config, Name, Rules};

use crate::{HostState, Need, Peer, Target, TargetLoad, Time, View};

/// Assumed time until a task ends in a share that has reported no load, in microseconds.
const UNREPORTED_TASK_US: u64 = 200_000;
/// Age after which a load report only shows that the share exists, in milliseconds.
const STALE_REPORT_MS: u64 = 3_000;

/// Load of a host's share as last reported.
#[derive(Debug, Default)]
struct Share {
    reported_at: Time,
    loads: Arc<[TargetLoad]>,
    // Tasks sent since the report.
    tasks_sent: HashMap<Target, u32>,
}

impl Share {
    /// Returns when a task of a class would end in this share, without the distance to its zone.
    fn expected_end(&self, now: Time, rules: &Rules, class: &Target) -> Option<Time> {
        let load = find_load(&self.loads, class)?;
        if load.slots == 0 {
            return None;
        }
        let sent = self.tasks_sent.get(class).copied().unwrap_or(0);
        let stale = self.reported_at.after_ms(STALE_REPORT_MS) < now;
        let wait = if stale { u64::from(load.service_us) } else { wait_us(load, sent) };
        // A request and its outcome are two messages.
        let messages_us = 2 * rules.price_us;
        Some(now.after_us(wait + u64::from(load.service_us) + messages_us))
    }
}

/// Reported load of the other hosts' shares.
///
/// Reports are piggybacked on frames that are sent anyway, so they are old when they are used.
/// Tasks sent since the report are added: otherwise every host would send all its tasks to the
/// share that looked best in the last report.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    shares: BTreeMap<Peer, Share>,
}

/// A share and the expected end of a task there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Route {
    /// Host of the share.
    pub(crate) peer: Peer,
    /// Expected end, including the cost of the messages.
    pub(crate) end: Time,
}

impl Routes {
    /// Replaces the reported load of a share.
    pub(crate) fn update(&mut self, now: Time, peer: &Peer, loads: Arc<[TargetLoad]>) {
        let share = Share { reported_at: now, loads, tasks_sent: HashMap::new() };
        self.shares.insert(peer.clone(), share);
    }

    /// Removes the share of an incarnation that is gone.
    pub(crate) fn forget(&mut self, peer: &Peer) {
        self.shares.remove(peer);
    }

    /// Records that a task was sent to a share.
    pub(crate) fn record_handoff(&mut self, peer: &Peer, target: &Target) {
        if let Some(share) = self.shares.get_mut(peer) {
            *share.tasks_sent.entry(class(target)).or_default() += 1;
        }
    }

    /// Returns the share of another host, except `avoid`, with the earliest expected end.
    pub(crate) fn best(
        &self,
        now: Time,
        view: &View,
        rules: &Rules,
        target: &Target,
        avoid: &[Peer],
    ) -> Option<Route> {
        let class = class(target);
        let mut best: Option<(Time, &Peer)> = None;
        for (peer, share) in &self.shares {
            if avoid.contains(peer) {
                continue;
            }
            let Some(local_end) = share.expected_end(now, rules, &class) else { continue };
            // Looking up the host is the expensive step, and few shares can still be the best.
            if best.is_some_and(|(end, _)| end <= local_end) {
                continue;
            }
            let Some(host) = view.hosts.get(&peer.host) else { continue };
            if host.peer.birth != peer.birth || host.state != HostState::Live {
                continue;
            }
            let distance = if host.zone == view.zone { 0 } else { 2 * rules.distance_us };
            let end = local_end.after_us(distance);
            if best.is_none_or(|(earliest, _)| end < earliest) {
                best = Some((end, peer));
            }
        }
        best.map(|(end, peer)| Route { peer: peer.clone(), end })
    }

    /// Returns the expected time between the ends of two tasks of a job that is spread over this
    /// host's share and the reported shares of live hosts, in microseconds.
    pub(crate) fn task_interval_us(&self, view: &View, own: &[TargetLoad], target: &Target) -> u64 {
        let class = class(target);
        let live = self.shares.iter().filter(|(peer, _)| view.state(peer) == HostState::Live);
        let others: f64 = live.map(|(_, share)| rate(&share.loads, &class)).sum();
        let rate = others + rate(own, &class);
        if rate > 0.0 { (1.0 / rate) as u64 } else { 0 }
    }

    /// Returns a host whose share has a backend for the target, used if no share has reported one.
    pub(crate) fn fallback(
        now: Time,
        view: &View,
        config: &Config,
        target: &Target,
    ) -> Option<Route> {
        let share_host = |zone: &Name, name: &Name| {
            let host = view.placer_of(zone, name)?;
            (host.peer != view.me).then(|| host.peer.clone())
        };
        let peer = match target {
            Target::Service(name) => config.services.get(name)?.servers.iter().find_map(|name| {
                let server = config.servers.get(name)?;
                share_host(&server.zone, name)
            }),
            Target::Need(need) => config
                .workers
                .iter()
                .filter(|(_, worker)| fits(need, worker))
                .find_map(|(name, worker)| share_host(&worker.zone, name)),
        };
        Some(Route {
            peer: peer?,
            end: now.after_us(UNREPORTED_TASK_US + 2 * config.rules.distance_us),
        })
    }
}

/// Returns the load for a class of tasks.
fn find_load<'a>(loads: &'a [TargetLoad], class: &Target) -> Option<&'a TargetLoad> {
    loads.iter().find(|load| self::class(&load.target) == *class)
}

/// Returns the throughput of a share, in tasks per microsecond.
fn rate(loads: &[TargetLoad], class: &Target) -> f64 {
    let rate = |load: &TargetLoad| f64::from(load.slots) / f64::from(load.service_us.max(1));
    find_load(loads, class).map_or(0.0, rate)
}

/// Returns the expected wait in a share after `sent` more tasks, in microseconds.
fn wait_us(load: &TargetLoad, sent: u32) -> u64 {
    if sent < load.free {
        return u64::from(load.wait_us);
    }
    let excess = u64::from(sent - load.free + 1);
    let interval_us = u64::from(load.service_us) / u64::from(load.slots);
    u64::from(load.wait_us) + excess * interval_us.max(1)
}

/// Returns the class under which load is reported: there are two classes of needs, with and without
/// accelerators.
fn class(target: &Target) -> Target {
    match target {
        Target::Service(_) => target.clone(),
        Target::Need(need) => {
            let accelerators = need.accelerators.min(1);
            Target::Need(Need { cpu_milli: 0, memory_mb: 0, accelerators })
        }
    }
}

fn fits(need: &Need, worker: &endivestile_config::model::Worker) -> bool {
    need.cpu_milli <= worker.cpu_milli
        && need.memory_mb <= worker.memory_mb
        && need.accelerators <= worker.accelerators
}
