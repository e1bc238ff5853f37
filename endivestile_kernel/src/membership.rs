//! Membership: which hosts are live, leaving, suspect or gone.

use std::collections::{BTreeMap, BTreeSet};

use endivestile_config::model::{Config, Name};

use crate::{HostState, HostView, Peer, PlatformState, Registration, Time, View};

/// Interval between heartbeats to monitored peers, in milliseconds.
pub(crate) const HEARTBEAT_MS: u64 = 500;
/// Time without a frame after which a monitored host is suspect, in milliseconds.
pub(crate) const SUSPECT_MS: u64 = 1_500;
/// Time for which a broken link makes an unmonitored host suspect, in milliseconds.
const LINK_DOWN_MS: u64 = 5_000;

/// A host from which a starting process may request the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedHost {
    /// Name of the host.
    pub host: Name,
    /// Address of its links, `IP:port`.
    pub address: Name,
}

impl SeedHost {
    /// Returns a view of the host, of which only the name and address are known.
    fn view(&self) -> HostView {
        HostView {
            peer: Peer::new(self.host.clone(), 0),
            zone: Name::from(""),
            address: self.address.clone(),
            weight: 1,
            state: HostState::Suspect,
        }
    }
}

/// Observations of one host from all sources.
#[derive(Debug, Default)]
struct Observations {
    birth: u64,
    registered: bool,
    /// Whether a registration of this incarnation was read, even if it has ended since.
    was_registered: bool,
    leaving: bool,
    stop_planned: bool,
    platform_state: Option<PlatformState>,
    last_frame: Option<Time>,
    link_down_at: Option<Time>,
    unresponsive_since: Option<Time>,
    address: Option<Name>,
}

/// Combines registrations in the store, the platform's list, planned stops and observations of the
/// links.
///
/// The platform's list lags, and a registration outlives its host by the lease: neither shows which
/// hosts respond now. Observations of the links take precedence; the other sources cover hosts
/// without traffic.
#[derive(Debug)]
pub(crate) struct Membership {
    view: View,
    observed: BTreeMap<Name, Observations>,
    in_inventory: bool,
}

impl Membership {
    /// Creates a membership of this host and the seed hosts.
    pub(crate) fn new(me: Peer, zone: Name, address: Name, seed_hosts: &[SeedHost]) -> Self {
        let own = Observations { birth: me.birth, registered: true, ..Observations::default() };
        let host = HostView {
            peer: me.clone(),
            zone: zone.clone(),
            address,
            weight: 1,
            state: HostState::Live,
        };
        let mut observed = BTreeMap::from([(me.host.clone(), own)]);
        let mut hosts = BTreeMap::from([(me.host.clone(), host)]);
        for seed in seed_hosts.iter().filter(|seed| seed.host != me.host) {
            observed.insert(seed.host.clone(), Observations::default());
            hosts.insert(seed.host.clone(), seed.view());
        }
        Self {
            view: View {
                me,
                zone,
                hosts,
                ended: BTreeSet::new(),
                store_available: false,
                has_inventory: false,
            },
            observed,
            in_inventory: false,
        }
    }

    /// Returns this host's view of all hosts.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Applies the inventory; hosts that are no longer in it are removed.
    pub(crate) fn configure(&mut self, now: Time, config: &Config) {
        let me = self.view.me.host.clone();
        self.view.hosts.retain(|name, _| *name == me || config.hosts.contains_key(name));
        for (name, host) in &config.hosts {
            let observed = self.observed.entry(name.clone()).or_default();
            let own = self.view.hosts.get(name).filter(|_| *name == me);
            let reported = own.map(|own| own.address.clone()).or_else(|| observed.address.clone());
            let address = reported.unwrap_or_else(|| host.address.clone());
            let peer = Peer::new(name.clone(), observed.birth);
            let zone = host.zone.clone();
            let state = HostState::Suspect;
            let entry = HostView { peer, zone, address, weight: host.weight, state };
            self.view.hosts.insert(name.clone(), entry);
        }
        self.view.has_inventory = true;
        self.in_inventory = config.hosts.contains_key(&me);
        self.refresh(now);
    }

    /// Records whether the store is available.
    pub(crate) fn set_store_available(&mut self, up: bool) {
        self.view.store_available = up;
    }

    /// Applies a registration or its end, and returns whether the view changed.
    ///
    /// Hosts that are not in the inventory yet are recorded too, since registrations are read
    /// before the configuration.
    pub(crate) fn apply_registration(
        &mut self,
        now: Time,
        name: &Name,
        registration: Option<&Registration>,
    ) -> bool {
        if *name == self.view.me.host {
            return false;
        }
        let observed = self.observed.entry(name.clone()).or_default();
        match registration {
            Some(registration) if !self.view.ended.contains(&registration.peer) => {
                let birth = registration.peer.birth;
                // The store replaces a registration only by that of a process that has read it. An
                // incarnation that only frames have shown may be the later one.
                if birth < observed.birth && !observed.was_registered {
                    return false;
                }
                if let Some(ended) = observed.replace(birth) {
                    self.view.ended.insert(Peer::new(name.clone(), ended));
                }
                observed.registered = true;
                observed.was_registered = true;
                observed.leaving = registration.leaving;
                observed.address = Some(registration.address.clone());
                if let Some(host) = self.view.hosts.get_mut(name) {
                    host.address = registration.address.clone();
                }
            }
            Some(_) => return false,
            None => observed.registered = false,
        }
        self.refresh(now)
    }

    /// Applies the platform's state of a host, and returns whether the view changed.
    pub(crate) fn apply_platform_state(
        &mut self,
        now: Time,
        name: &str,
        state: Option<PlatformState>,
    ) -> bool {
        self.observed.entry(Name::from(name)).or_default().platform_state = state;
        self.refresh(now)
    }

    /// Applies a planned stop or its cancellation, and returns whether the view changed.
    pub(crate) fn apply_planned_stop(&mut self, now: Time, name: &str, stop: bool) -> bool {
        self.observed.entry(Name::from(name)).or_default().stop_planned = stop;
        self.refresh(now)
    }

    /// Marks this host as leaving or not, and returns whether the view changed.
    pub(crate) fn mark_leaving(&mut self, now: Time, leaving: bool) -> bool {
        let me = self.view.me.host.clone();
        self.observed.entry(me).or_default().leaving = leaving;
        self.refresh(now)
    }

    /// Returns whether operators or the platform require this host to stop, or it is no longer in
    /// the inventory.
    pub(crate) fn stop_requested(&self) -> bool {
        let Some(own) = self.observed.get(&self.view.me.host) else { return false };
        let platform_stop =
            matches!(own.platform_state, Some(PlatformState::Leaving | PlatformState::Gone));
        own.stop_planned || platform_stop || (self.view.has_inventory && !self.in_inventory)
    }

    /// Records a frame from `peer`, and returns whether the view changed; none if the sender is an
    /// earlier incarnation, this host itself or not in the inventory.
    pub(crate) fn apply_frame(&mut self, now: Time, peer: &Peer, leaving: bool) -> Option<bool> {
        self.view.hosts.get(&peer.host)?;
        let observed = self.observed.entry(peer.host.clone()).or_default();
        if peer.birth < observed.birth
            || peer.host == self.view.me.host
            || self.view.ended.contains(peer)
        {
            return None;
        }
        if let Some(ended) = observed.replace(peer.birth) {
            self.view.ended.insert(Peer::new(peer.host.clone(), ended));
        }
        observed.last_frame = Some(now);
        observed.link_down_at = None;
        observed.unresponsive_since = None;
        observed.leaving = leaving;
        Some(self.refresh(now))
    }

    /// Records that the link to a peer broke or could not be established, and returns whether the
    /// view changed.
    pub(crate) fn mark_link_down(&mut self, now: Time, peer: &Peer) -> bool {
        let Some(observed) = self.observed.get_mut(&peer.host) else { return false };
        if observed.birth == peer.birth {
            observed.link_down_at = Some(now);
        }
        self.refresh(now)
    }

    /// Records since when a peer owes an answer, or has sent no frame while monitored.
    ///
    /// A peer that is suspect because it is unresponsive stays so until its next frame, even if it owes no
    /// answer and is no longer monitored. In a network partition its shards are taken over at once;
    /// if it counted as live until its registration ends, calls that must not be retried would be
    /// sent there and lost.
    pub(crate) fn set_unresponsive_since(&mut self, peer: &Peer, since: Option<Time>) {
        let suspected = self.suspected_as_unresponsive(peer);
        if let Some(observed) = self.observed.get_mut(&peer.host) {
            observed.unresponsive_since =
                since.or(observed.unresponsive_since.filter(|_| suspected));
        }
    }

    /// Returns whether a registered peer is suspect because it is unresponsive.
    pub(crate) fn suspected_as_unresponsive(&self, peer: &Peer) -> bool {
        let Some(observed) = self.observed.get(&peer.host) else { return false };
        let registered =
            observed.registered && observed.platform_state != Some(PlatformState::Gone);
        let unresponsive = observed.unresponsive_since.is_some() && observed.birth == peer.birth;
        registered && unresponsive && self.view.state(peer) == HostState::Suspect
    }

    /// Returns since when a peer has been unresponsive.
    pub(crate) fn unresponsive_since(&self, peer: &Peer) -> Option<Time> {
        let observed = self.observed.get(&peer.host)?;
        observed.unresponsive_since.filter(|_| observed.birth == peer.birth)
    }

    /// Recomputes all states, and returns whether the view changed.
    pub(crate) fn refresh(&mut self, now: Time) -> bool {
        let mut changed = false;
        for (name, host) in &mut self.view.hosts {
            let Some(observed) = self.observed.get(name) else { continue };
            let own = host.peer == self.view.me;
            let state = if own { observed.own_state() } else { observed.state(now) };
            let new_incarnation = host.peer.birth != observed.birth;
            changed |= new_incarnation || host.state != state;
            host.state = state;
            host.peer.birth = observed.birth;
        }
        changed
    }
}

impl Observations {
    /// Replaces the incarnation by another; returns the birth of one that has ended by that.
    fn replace(&mut self, birth: u64) -> Option<u64> {
        if birth == self.birth {
            return None;
        }
        let platform_state = self.platform_state.filter(|state| *state != PlatformState::Gone);
        let stop_planned = self.stop_planned;
        let ended = self.birth;
        *self = Self { birth, platform_state, stop_planned, ..Self::default() };
        (ended != 0).then_some(ended)
    }

    fn own_state(&self) -> HostState {
        if self.leaving { HostState::Leaving } else { HostState::Live }
    }

    fn state(&self, now: Time) -> HostState {
        let recent = |at: Option<Time>, ms: u64| at.is_some_and(|at| at.after_ms(ms) > now);
        let responsive = recent(self.last_frame, SUSPECT_MS);
        // The platform's list lags, and may show a host as gone that is cut off from the platform
        // but still serves. The list makes a host suspect; only a later incarnation or its removal
        // from the inventory proves that it has ended.
        if self.platform_state == Some(PlatformState::Gone) && !responsive {
            return HostState::Suspect;
        }
        let overdue =
            self.unresponsive_since.is_some_and(|since| since.after_ms(SUSPECT_MS) <= now);
        let link_down = recent(self.link_down_at, LINK_DOWN_MS);
        if self.birth == 0
            || overdue
            || (link_down && !responsive)
            || !(responsive || self.registered)
        {
            return HostState::Suspect;
        }
        let platform_leaving = self.platform_state == Some(PlatformState::Leaving);
        if self.leaving || self.stop_planned || platform_leaving {
            HostState::Leaving
        } else {
            HostState::Live
        }
    }
}
