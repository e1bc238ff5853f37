//! Watching the peers that this host depends on.

use std::collections::BTreeSet;

use crate::hosts::{BEAT_MS, SUSPECT_MS};
use crate::kernel::task::LOST_MS;
use crate::{HostState, Kernel, Peer, Time};

/// Surveys that a process may miss before it takes itself to have been paused.
const PAUSED_SURVEYS: u64 = 3;

impl Kernel {
    /// Looks at every peer once per [`BEAT_MS`].
    pub(super) fn survey(&mut self, now: Time) {
        if self.survey_due > now {
            return;
        }
        if self.survey_due.after_ms(PAUSED_SURVEYS * BEAT_MS) < now {
            self.forgive(now);
        }
        self.survey_due = now.after_ms(BEAT_MS);
        self.greet(now);
        self.choose_watched(now);
        for (peer, channel) in &self.channels {
            let watched = self.watched.get(peer).copied();
            let silent = watched
                .map(|since| channel.heard().map_or(since, |heard| heard.max(since)))
                .or_else(|| channel.silent_since());
            self.hosts.silent(peer, silent);
        }
        let changed = self.hosts.refresh(now);
        self.viewed(now, changed);
        self.lose_silent(now);
    }

    /// After a pause of this process every peer looks silent, though it was
    /// this host that did not listen: without this, a paused host would wake
    /// up and try to take over every shard it is witness of.
    fn forgive(&mut self, now: Time) {
        for since in self.watched.values_mut() {
            *since = now;
        }
    }

    /// Watches the hosts of the own zone and the partners of shared shards: a
    /// number that does not grow with the deployment.
    fn choose_watched(&mut self, now: Time) {
        let view = self.hosts.view();
        let known = |peer: &Peer| peer.birth != 0 && view.state(peer) != HostState::Gone;
        let mates = view.hosts.values().filter(|host| host.zone == view.zone);
        let mut peers: BTreeSet<Peer> = mates.map(|host| host.peer.clone()).collect();
        peers.extend(self.shards.replica_peers().cloned());
        peers.remove(&self.setup.me);
        peers.retain(known);
        self.watched.retain(|peer, _| peers.contains(peer));
        for (peer, channel) in &mut self.channels {
            if !peers.contains(peer) {
                channel.rest();
            }
        }
        for peer in peers {
            if !self.watched.contains_key(&peer) {
                self.watched.insert(peer.clone(), now);
                self.channels
                    .entry(peer.clone())
                    .or_insert_with(|| crate::channel::Channel::new(peer))
                    .beat(now);
            }
        }
    }

    /// Acts on a change of the view.
    pub(super) fn viewed(&mut self, now: Time, changed: bool) {
        if !changed {
            return;
        }
        let leaving = self.hosts.told_to_stop() || self.stopping.is_some();
        self.set_leaving(now, leaving);
        self.bury_gone(now);
        let view = self.hosts.view();
        self.shards.handle_view_change(now, view, &mut self.shard_effects);
        self.placer.handle_view(now, view, &mut self.place_effects);
        self.settle(now);
        self.reroute(now);
        self.repeat_silent(now);
    }

    fn bury_gone(&mut self, now: Time) {
        let view = self.hosts.view();
        let gone = |peer: &&Peer| view.state(peer) == HostState::Gone;
        let gone: Vec<Peer> = self.channels.keys().filter(gone).cloned().collect();
        for peer in gone {
            self.channels.remove(&peer);
            self.watched.remove(&peer);
            self.routes.forget(&peer);
            self.placer.handle_home_gone(now, &peer, &mut self.place_effects);
            self.lose_tasks(now, &peer);
        }
    }

    fn repeat_silent(&mut self, now: Time) {
        let view = self.hosts.view();
        let silent = |peer: &&Peer| view.state(peer) == HostState::Suspect;
        let silent: Vec<Peer> = self.channels.keys().filter(silent).cloned().collect();
        for peer in silent {
            self.repeat_tasks(now, &peer);
        }
    }

    fn lose_silent(&mut self, now: Time) {
        let limit = SUSPECT_MS + LOST_MS;
        let silent = |peer: &&Peer| {
            let since = self.hosts.silence(peer);
            since.is_some_and(|since| since.after_ms(limit) <= now)
        };
        let lost: Vec<Peer> = self.channels.keys().filter(silent).cloned().collect();
        for peer in lost {
            self.lose_tasks(now, &peer);
        }
    }
}
