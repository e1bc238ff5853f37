//! Which host's share a task goes to.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use endivestile_config::model::{Config, Name, Rules};

use crate::{HostState, Need, Peer, Target, TargetLoad, Time, View};

/// Expected time of a task when nothing is known, in microseconds.
const GUESS_US: u64 = 200_000;
/// Age after which figures are only a hint that the share exists, in milliseconds.
const STALE_MS: u64 = 3_000;

/// A share as its owner last described it.
#[derive(Debug, Default)]
struct Share {
    told: Time,
    figures: Arc<[TargetLoad]>,
    // Handed over since the figures were told.
    assumed: HashMap<Target, u32>,
}

impl Share {
    /// Returns when a task of a class would end here if the share were in the own zone.
    fn end(&self, now: Time, rules: &Rules, class: &Target) -> Option<Time> {
        let figure = find(&self.figures, class)?;
        if figure.slots == 0 {
            return None;
        }
        let assumed = self.assumed.get(class).copied().unwrap_or(0);
        let stale = self.told.after_ms(STALE_MS) < now;
        let wait = if stale { u64::from(figure.service_us) } else { wait_us(figure, assumed) };
        // An order and its outcome are two messages.
        let price = 2 * rules.price_us;
        Some(now.after_us(wait + u64::from(figure.service_us) + price))
    }
}

/// What is known of the other hosts' shares.
///
/// Figures ride on frames that are sent anyway, so they are old when they are
/// used. What was handed over since counts on top: otherwise every host would
/// pour its tasks onto the share that looked best at the last frame.
#[derive(Debug, Default)]
pub(crate) struct Routes {
    shares: BTreeMap<Peer, Share>,
}

/// A share and when a task would end there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Route {
    /// Owner of the share.
    pub(crate) peer: Peer,
    /// Expected end, the messages' price included.
    pub(crate) end: Time,
}

impl Routes {
    /// Takes in the figures of a share.
    pub(crate) fn update(&mut self, now: Time, peer: &Peer, figures: Arc<[TargetLoad]>) {
        let share = Share { told: now, figures, assumed: HashMap::new() };
        self.shares.insert(peer.clone(), share);
    }

    /// Forgets the share of an incarnation that is gone.
    pub(crate) fn forget(&mut self, peer: &Peer) {
        self.shares.remove(peer);
    }

    /// Notes that a task was handed to a share.
    pub(crate) fn record_handoff(&mut self, peer: &Peer, target: &Target) {
        if let Some(share) = self.shares.get_mut(peer) {
            *share.assumed.entry(class(target)).or_default() += 1;
        }
    }

    /// Returns the best share of another host, none of `avoid`.
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
            let Some(near) = share.end(now, rules, &class) else { continue };
            // Looking a host up costs more than the rest, and few shares come into question.
            if best.is_some_and(|(end, _)| end <= near) {
                continue;
            }
            let Some(host) = view.hosts.get(&peer.host) else { continue };
            if host.peer.birth != peer.birth || host.state != HostState::Live {
                continue;
            }
            let distance = if host.zone == view.zone { 0 } else { 2 * rules.distance_us };
            let end = near.after_us(distance);
            if best.is_none_or(|(first, _)| end < first) {
                best = Some((end, peer));
            }
        }
        best.map(|(end, peer)| Route { peer: peer.clone(), end })
    }

    /// Returns the microseconds between the ends of two tasks of a job that is
    /// spread over this host's share and those of the live hosts known.
    pub(crate) fn task_interval_us(&self, view: &View, own: &[TargetLoad], target: &Target) -> u64 {
        let class = class(target);
        let live = self.shares.iter().filter(|(peer, _)| view.state(peer) == HostState::Live);
        let others: f64 = live.map(|(_, share)| rate(&share.figures, &class)).sum();
        let rate = others + rate(own, &class);
        if rate > 0.0 { (1.0 / rate) as u64 } else { 0 }
    }

    /// Returns some live host that counts the slots of a back end for the
    /// target, for when no share has told of one.
    pub(crate) fn fallback(
        now: Time,
        view: &View,
        config: &Config,
        target: &Target,
    ) -> Option<Route> {
        let home = |zone: &Name, name: &Name| {
            let host = view.placer_of(zone, name)?;
            (host.peer != view.me).then(|| host.peer.clone())
        };
        let peer = match target {
            Target::Service(name) => config.services.get(name)?.servers.iter().find_map(|name| {
                let server = config.servers.get(name)?;
                home(&server.zone, name)
            }),
            Target::Need(need) => config
                .workers
                .iter()
                .filter(|(_, worker)| fits(need, worker))
                .find_map(|(name, worker)| home(&worker.zone, name)),
        };
        Some(Route { peer: peer?, end: now.after_us(GUESS_US + 2 * config.rules.distance_us) })
    }
}

/// Returns the figure of a class of tasks.
fn find<'a>(figures: &'a [TargetLoad], class: &Target) -> Option<&'a TargetLoad> {
    figures.iter().find(|figure| self::class(&figure.target) == *class)
}

/// Returns the tasks that a share ends in a microsecond.
fn rate(figures: &[TargetLoad], class: &Target) -> f64 {
    let rate = |figure: &TargetLoad| f64::from(figure.slots) / f64::from(figure.service_us.max(1));
    find(figures, class).map_or(0.0, rate)
}

/// Returns the wait expected at a share after `assumed` more tasks.
fn wait_us(figure: &TargetLoad, assumed: u32) -> u64 {
    if assumed < figure.free {
        return u64::from(figure.wait_us);
    }
    let over = u64::from(assumed - figure.free + 1);
    let turn = u64::from(figure.service_us) / u64::from(figure.slots);
    u64::from(figure.wait_us) + over * turn.max(1)
}

/// Returns the class under which figures are told: needs fall into two.
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
