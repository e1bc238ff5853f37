//! Monitoring of the peers that this host depends on.

use std::collections::BTreeSet;

use crate::kernel::task::TASKS_LOST_MS;
use crate::membership::{HEARTBEAT_MS, SUSPECT_MS};
use crate::{HostState, Kernel, Peer, Time};

/// Number of missed checks that shows that this process was paused.
const PAUSED_CHECKS: u64 = 3;

impl Kernel {
    /// Checks every peer once per [`HEARTBEAT_MS`].
    pub(super) fn check_peers(&mut self, now: Time) {
        if self.peer_check_due > now {
            return;
        }
        if self.peer_check_due.after_ms(PAUSED_CHECKS * HEARTBEAT_MS) < now {
            self.reset_monitoring(now);
        }
        self.peer_check_due = now.after_ms(HEARTBEAT_MS);
        self.send_greetings(now);
        self.select_monitored(now);
        for (peer, channel) in &self.channels {
            let monitored_since = self.monitored.get(peer).copied();
            let no_frame_since = monitored_since
                .map(|since| channel.last_frame().map_or(since, |frame| frame.max(since)))
                .or_else(|| channel.unanswered_since());
            self.membership.set_unresponsive_since(peer, no_frame_since);
        }
        let changed = self.membership.refresh(now);
        self.apply_view_change(now, changed);
        self.lose_tasks_of_unreachable(now);
    }

    /// Restarts the monitoring of all monitored peers after a pause of this process.
    /// They seem unresponsive only because this host has not read their frames: without the reset it
    /// would try to take over every shard of which it is the witness.
    fn reset_monitoring(&mut self, now: Time) {
        for since in self.monitored.values_mut() {
            *since = now;
        }
    }

    /// Monitors the hosts of this host's zone and the partners in its shards: a number that does
    /// not grow with the deployment.
    fn select_monitored(&mut self, now: Time) {
        let view = self.membership.view();
        let known = |peer: &Peer| peer.birth != 0 && view.state(peer) != HostState::Gone;
        let zone_hosts = view.hosts.values().filter(|host| host.zone == view.zone);
        let mut peers: BTreeSet<Peer> = zone_hosts.map(|host| host.peer.clone()).collect();
        peers.extend(self.shards.replica_peers().cloned());
        peers.remove(&self.setup.me);
        peers.retain(known);
        self.monitored.retain(|peer, _| peers.contains(peer));
        for (peer, channel) in &mut self.channels {
            if !peers.contains(peer) {
                channel.stop_heartbeats();
            }
        }
        for peer in peers {
            if !self.monitored.contains_key(&peer) {
                self.monitored.insert(peer.clone(), now);
                self.channels
                    .entry(peer.clone())
                    .or_insert_with(|| crate::channel::Channel::new(peer))
                    .schedule_heartbeat(now);
            }
        }
    }

    /// Handles a change of the view.
    pub(super) fn apply_view_change(&mut self, now: Time, changed: bool) {
        if !changed {
            return;
        }
        let leaving = self.membership.stop_requested() || self.stopping.is_some();
        self.update_leaving(now, leaving);
        self.remove_gone_peers(now);
        let view = self.membership.view();
        self.shards.handle_view_change(now, view, &mut self.shard_effects);
        self.placer.handle_view(now, view, &mut self.place_effects);
        self.settle(now);
        self.reroute_forwards(now);
        self.retry_tasks_of_suspects(now);
    }

    fn remove_gone_peers(&mut self, now: Time) {
        let view = self.membership.view();
        let gone = |peer: &&Peer| view.state(peer) == HostState::Gone;
        let gone: Vec<Peer> = self.channels.keys().filter(gone).cloned().collect();
        for peer in gone {
            self.channels.remove(&peer);
            self.monitored.remove(&peer);
            self.routes.forget(&peer);
            self.placer.handle_home_gone(now, &peer, &mut self.place_effects);
            self.lose_tasks(now, &peer);
        }
    }

    fn retry_tasks_of_suspects(&mut self, now: Time) {
        let view = self.membership.view();
        let suspect = |peer: &&Peer| view.state(peer) == HostState::Suspect;
        let suspects: Vec<Peer> = self.channels.keys().filter(suspect).cloned().collect();
        for peer in suspects {
            self.retry_tasks(now, &peer);
        }
    }

    fn lose_tasks_of_unreachable(&mut self, now: Time) {
        let limit_ms = SUSPECT_MS + TASKS_LOST_MS;
        let unreachable = |peer: &&Peer| {
            let since = self.membership.unresponsive_since(peer);
            since.is_some_and(|since| since.after_ms(limit_ms) <= now)
        };
        let lost: Vec<Peer> = self.channels.keys().filter(unreachable).cloned().collect();
        for peer in lost {
            self.lose_tasks(now, &peer);
        }
    }
}
