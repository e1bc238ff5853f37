//! Membership: which hosts live, leave, are silent or gone.

use std::collections::BTreeMap;

use endivestile_config::model::{Config, Name};

use crate::{HostState, HostView, Peer, PlatformState, Registration, Time, View};

/// Time between frames to the peers that are watched, in milliseconds.
pub(crate) const HEARTBEAT_MS: u64 = 500;
/// Silence after which a watched host is suspected, in milliseconds.
pub(crate) const SUSPECT_MS: u64 = 1_500;
/// Time for which a broken link counts against a host that is not watched, in milliseconds.
const BROKEN_MS: u64 = 5_000;

/// A host that a starting process may ask for the configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeedHost {
    /// Name of the host.
    pub host: Name,
    /// Address of its links, `IP:port`.
    pub address: Name,
}

impl SeedHost {
    /// Shows the host as one of which nothing but the address is known.
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

/// What is known of one host, from every source.
#[derive(Debug, Default)]
struct Facts {
    birth: u64,
    registered: bool,
    leaving: bool,
    stopped: bool,
    platform: Option<PlatformState>,
    heard: Option<Time>,
    broken: Option<Time>,
    silent: Option<Time>,
    address: Option<Name>,
}

/// Puts the sources together: registrations in the store, the platform's
/// list, planned stops, and what is seen on the links.
///
/// The platform's list lags, and a registration outlives its host by the
/// lease: neither alone says who answers now. What is seen on the links goes
/// first; the others fill in for hosts that there is no traffic with.
#[derive(Debug)]
pub(crate) struct Membership {
    view: View,
    facts: BTreeMap<Name, Facts>,
    listed: bool,
}

impl Membership {
    /// Starts with this host alone.
    pub(crate) fn new(me: Peer, zone: Name, address: Name, seed_hosts: &[SeedHost]) -> Self {
        let own = Facts { birth: me.birth, registered: true, ..Facts::default() };
        let host = HostView {
            peer: me.clone(),
            zone: zone.clone(),
            address,
            weight: 1,
            state: HostState::Live,
        };
        let mut facts = BTreeMap::from([(me.host.clone(), own)]);
        let mut hosts = BTreeMap::from([(me.host.clone(), host)]);
        for seed in seed_hosts.iter().filter(|seed| seed.host != me.host) {
            facts.insert(seed.host.clone(), Facts::default());
            hosts.insert(seed.host.clone(), seed.view());
        }
        Self {
            view: View { me, zone, hosts, store_available: false, has_inventory: false },
            facts,
            listed: false,
        }
    }

    /// Returns the hosts as this one sees them.
    pub(crate) fn view(&self) -> &View {
        &self.view
    }

    /// Takes in the inventory; a host that is not in it any more is forgotten.
    pub(crate) fn configure(&mut self, now: Time, config: &Config) {
        let me = self.view.me.host.clone();
        self.view.hosts.retain(|name, _| *name == me || config.hosts.contains_key(name));
        for (name, host) in &config.hosts {
            let facts = self.facts.entry(name.clone()).or_default();
            let own = self.view.hosts.get(name).filter(|_| *name == me);
            let told = own.map(|own| own.address.clone()).or_else(|| facts.address.clone());
            let address = told.unwrap_or_else(|| host.address.clone());
            let peer = Peer::new(name.clone(), facts.birth);
            let zone = host.zone.clone();
            let state = HostState::Suspect;
            let entry = HostView { peer, zone, address, weight: host.weight, state };
            self.view.hosts.insert(name.clone(), entry);
        }
        self.view.has_inventory = true;
        self.listed = config.hosts.contains_key(&me);
        self.refresh(now);
    }

    /// Notes that the store answers or does not.
    pub(crate) fn set_store_available(&mut self, up: bool) {
        self.view.store_available = up;
    }

    /// Takes in a registration, or the end of one; also of a host that is not in
    /// the inventory yet, since registrations are read before the configuration.
    pub(crate) fn apply_registration(
        &mut self,
        now: Time,
        name: &Name,
        registration: Option<&Registration>,
    ) -> bool {
        if *name == self.view.me.host {
            return false;
        }
        let facts = self.facts.entry(name.clone()).or_default();
        match registration {
            Some(registration) if registration.peer.birth >= facts.birth => {
                facts.reborn(registration.peer.birth);
                facts.registered = true;
                facts.leaving = registration.leaving;
                facts.address = Some(registration.address.clone());
                if let Some(host) = self.view.hosts.get_mut(name) {
                    host.address = registration.address.clone();
                }
            }
            Some(_) => return false,
            None => facts.registered = false,
        }
        self.refresh(now)
    }

    /// Takes in the platform's word on a host.
    pub(crate) fn apply_platform_state(
        &mut self,
        now: Time,
        name: &str,
        state: Option<PlatformState>,
    ) -> bool {
        self.facts.entry(Name::from(name)).or_default().platform = state;
        self.refresh(now)
    }

    /// Takes in a planned stop, or its end.
    pub(crate) fn apply_planned_stop(&mut self, now: Time, name: &str, stop: bool) -> bool {
        self.facts.entry(Name::from(name)).or_default().stopped = stop;
        self.refresh(now)
    }

    /// Marks this host as leaving, or not any more.
    pub(crate) fn mark_leaving(&mut self, now: Time, leaving: bool) -> bool {
        let me = self.view.me.host.clone();
        self.facts.entry(me).or_default().leaving = leaving;
        self.refresh(now)
    }

    /// Returns whether this host was told to stop, by operators or the platform,
    /// or is not in the inventory any more.
    pub(crate) fn stop_requested(&self) -> bool {
        let Some(own) = self.facts.get(&self.view.me.host) else { return false };
        let listed = matches!(own.platform, Some(PlatformState::Leaving | PlatformState::Gone));
        own.stopped || listed || (self.view.has_inventory && !self.listed)
    }

    /// Takes in a frame's sender; says whether the view changed, none for an
    /// incarnation that is gone or a host that is not in the inventory.
    pub(crate) fn apply_frame(&mut self, now: Time, peer: &Peer, leaving: bool) -> Option<bool> {
        self.view.hosts.get(&peer.host)?;
        let facts = self.facts.entry(peer.host.clone()).or_default();
        if peer.birth < facts.birth || peer.host == self.view.me.host {
            return None;
        }
        facts.reborn(peer.birth);
        facts.heard = Some(now);
        facts.broken = None;
        facts.silent = None;
        facts.leaving = leaving;
        Some(self.refresh(now))
    }

    /// Notes that the link to a peer broke or could not be made.
    pub(crate) fn mark_link_down(&mut self, now: Time, peer: &Peer) -> bool {
        let Some(facts) = self.facts.get_mut(&peer.host) else { return false };
        if facts.birth == peer.birth {
            facts.broken = Some(now);
        }
        self.refresh(now)
    }

    /// Notes since when a peer owes an answer, or has been silent though watched.
    ///
    /// One that is suspected for its silence stays so until it is heard, also when it
    /// owes nothing and is not watched any more. In a cut its shards are taken over at
    /// once; if it counted as live until its registration ends, calls that must not be
    /// repeated would go there and be lost.
    pub(crate) fn set_silent_since(&mut self, peer: &Peer, since: Option<Time>) {
        let doubted = self.suspected_for_silence(peer);
        if let Some(facts) = self.facts.get_mut(&peer.host) {
            facts.silent = since.or(facts.silent.filter(|_| doubted));
        }
    }

    /// Returns whether a peer is registered and suspected for its silence alone.
    pub(crate) fn suspected_for_silence(&self, peer: &Peer) -> bool {
        let Some(facts) = self.facts.get(&peer.host) else { return false };
        let registered = facts.registered && facts.platform != Some(PlatformState::Gone);
        let silent = facts.silent.is_some() && facts.birth == peer.birth;
        registered && silent && self.view.state(peer) == HostState::Suspect
    }

    /// Returns since when a peer owes an answer.
    pub(crate) fn silent_since(&self, peer: &Peer) -> Option<Time> {
        let facts = self.facts.get(&peer.host)?;
        facts.silent.filter(|_| facts.birth == peer.birth)
    }

    /// Works the states out anew; says whether one changed.
    pub(crate) fn refresh(&mut self, now: Time) -> bool {
        let mut changed = false;
        for (name, host) in &mut self.view.hosts {
            let Some(facts) = self.facts.get(name) else { continue };
            let own = host.peer == self.view.me;
            let state = if own { facts.own() } else { facts.state(now) };
            let reborn = host.peer.birth != facts.birth;
            changed |= reborn || host.state != state;
            host.state = state;
            host.peer.birth = facts.birth;
        }
        changed
    }
}

impl Facts {
    fn reborn(&mut self, birth: u64) {
        if birth > self.birth {
            let platform = self.platform.filter(|state| *state != PlatformState::Gone);
            let stopped = self.stopped;
            *self = Self { birth, platform, stopped, ..Self::default() };
        }
    }

    fn own(&self) -> HostState {
        if self.leaving { HostState::Leaving } else { HostState::Live }
    }

    fn state(&self, now: Time) -> HostState {
        let recent = |at: Option<Time>, ms: u64| at.is_some_and(|at| at.after_ms(ms) > now);
        let heard = recent(self.heard, SUSPECT_MS);
        // The platform's list lags, and a host that is cut off from the platform
        // may look gone to it while it serves on. Its word makes a host suspect;
        // only a later incarnation or the operators prove that it ended.
        if self.platform == Some(PlatformState::Gone) && !heard {
            return HostState::Suspect;
        }
        let silent = self.silent.is_some_and(|since| since.after_ms(SUSPECT_MS) <= now);
        let broken = recent(self.broken, BROKEN_MS);
        if self.birth == 0 || silent || (broken && !heard) || !(heard || self.registered) {
            return HostState::Suspect;
        }
        let platform = self.platform == Some(PlatformState::Leaving);
        if self.leaving || self.stopped || platform { HostState::Leaving } else { HostState::Live }
    }
}
