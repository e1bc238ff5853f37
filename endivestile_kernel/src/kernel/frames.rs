//! Frames and messages between hosts.

use std::sync::Arc;

use endivestile_config::model::Name;

use crate::channel::{Channel, address_of};
use crate::membership::HEARTBEAT_MS;
use crate::{Effect, Frame, HostState, Kernel, Level, Metric, Msg, Note, Peer, TargetLoad, Time};

/// Interval at which the load of this host is recomputed, in milliseconds.
const LOAD_INTERVAL_MS: u64 = 50;
/// Minimum interval between two requests for a configuration, in milliseconds.
const CONFIG_REQUEST_INTERVAL_MS: u64 = 500;
/// Maximum number of frames to one peer per flush.
const MAX_FRAMES_PER_FLUSH: usize = 16;

impl Kernel {
    pub(super) fn handle_frame(&mut self, now: Time, mut frame: Frame) {
        let greeting = frame.to.birth == 0 && frame.msgs.is_empty();
        if frame.to != self.setup.me && !(greeting && frame.to.host == self.setup.me.host) {
            return;
        }
        let from = frame.from.clone();
        let Some(changed) = self.membership.apply_frame(now, &from, frame.leaving) else { return };
        if let Some(loads) = frame.load.take() {
            self.routes.update(now, &from, loads);
        }
        self.request_config(now, &from, frame.revision);
        let channel = self.channel(&from);
        if greeting {
            channel.ack_now(now);
        }
        let msgs = channel.receive(now, frame);
        for msg in msgs {
            self.handle_msg(now, &from, msg);
        }
        self.apply_view_change(now, changed);
    }

    pub(super) fn handle_link_down(&mut self, now: Time, peer: &Peer) {
        if let Some(channel) = self.channels.get_mut(peer) {
            channel.resend_unacked(now);
        }
        let changed = self.membership.mark_link_down(now, peer);
        self.apply_view_change(now, changed);
    }

    pub(super) fn send(&mut self, to: &Peer, msg: Msg) {
        self.channel(to).push(msg);
    }

    fn channel(&mut self, peer: &Peer) -> &mut Channel {
        self.channels.entry(peer.clone()).or_insert_with(|| Channel::new(peer.clone()))
    }

    fn handle_msg(&mut self, now: Time, from: &Peer, msg: Msg) {
        match msg {
            Msg::Submit { call, submission, hops, recorded } => {
                let waiter = crate::run::Waiter::Front(from.clone(), call);
                self.handle_forwarded_submit(now, waiter, submission, hops, recorded);
            }
            Msg::Ask { call, id, ask, hops } => {
                let waiter = crate::run::Waiter::Front(from.clone(), call);
                self.answer_query(now, waiter, id, ask, hops);
            }
            Msg::Reply { call, answer } => self.handle_reply(call, answer),
            Msg::Place(request) => {
                self.placer.handle_order(now, from, request, &mut self.place_effects)
            }
            Msg::Drop(key) => self.placer.handle_drop(now, from, key, &mut self.place_effects),
            Msg::Placed { key, outcome } => self.handle_placed(now, from, key, outcome),
            Msg::WantConfig(revision) => self.send_config(from, revision),
            Msg::Config { text, .. } => self.out.push(Effect::OfferConfig(text)),
            // Messages between hosts that serve jobs are handled by `Fleet`.
            Msg::Job(_) | Msg::DirectTransfer(_) => {}
            Msg::Record { .. }
            | Msg::Recorded { .. }
            | Msg::Fenced { .. }
            | Msg::Sync { .. }
            | Msg::Synced { .. }
            | Msg::Yield { .. } => {
                let view = self.membership.view();
                self.shards.handle_message(now, view, from, msg, &mut self.shard_effects);
            }
        }
        self.settle(now);
    }

    /// Sends a greeting, an empty frame to incarnation 0, to hosts that need one.
    ///
    /// A host that restarts while the store is unavailable receives neither the configuration nor
    /// the incarnations of its peers, and they do not receive its new one: it would refuse
    /// everything until the store is back. A greeting to an address from the settings identifies
    /// both to each other.
    ///
    /// A registered host that is suspect because it is unresponsive is greeted too: once no shard
    /// is shared with it, no other frame would show that it is back.
    pub(super) fn send_greetings(&mut self, now: Time) {
        let unconfigured = self.config.is_none();
        let targets = self.membership.view().hosts.values().filter(|host| {
            (unconfigured && host.peer.birth == 0)
                || self.membership.suspected_as_unresponsive(&host.peer)
        });
        let targets: Vec<(Name, Name)> =
            targets.map(|host| (host.peer.host.clone(), host.address.clone())).collect();
        for (host, address) in targets {
            let mut channel = Channel::new(Peer::new(host, 0));
            channel.schedule_heartbeat(now);
            let Some(frame) = channel.next_frame(now, &self.setup.me) else { continue };
            self.out.push(Effect::Send { address, frame });
            self.count(Metric::Frames, 1);
        }
    }

    fn request_config(&mut self, now: Time, from: &Peer, revision: u64) {
        let own = self.revision();
        if revision <= own || self.config_request_due.is_some_and(|due| due > now) {
            return;
        }
        self.config_request_due = Some(now.after_ms(CONFIG_REQUEST_INTERVAL_MS));
        self.send(from, Msg::WantConfig(own));
    }

    fn send_config(&mut self, to: &Peer, revision: u64) {
        let Some(config) = &self.config else { return };
        if config.revision > revision {
            let msg = Msg::Config { revision: config.revision, text: self.config_text.clone() };
            self.send(to, msg);
        }
    }

    /// Sends all frames that are due.
    pub(super) fn send_frames(&mut self, now: Time) {
        self.update_load(now);
        // There may be hundreds of peers, and one event concerns few of them.
        let ready = self.channels.iter().filter(|(_, channel)| channel.has_frame_due(now));
        let peers: Vec<Peer> = ready.map(|(peer, _)| peer.clone()).collect();
        for peer in peers {
            if self.membership.view().state(&peer) == HostState::Gone {
                continue;
            }
            for _ in 0..MAX_FRAMES_PER_FLUSH {
                if !self.send_frame(now, &peer) {
                    break;
                }
            }
        }
    }

    fn send_frame(&mut self, now: Time, peer: &Peer) -> bool {
        let Some(address) = address_of(self.membership.view(), peer) else { return false };
        let is_monitored = self.monitored.contains_key(peer);
        let Some(channel) = self.channels.get_mut(peer) else { return false };
        let Some(mut frame) = channel.next_frame(now, &self.setup.me) else { return false };
        if is_monitored {
            channel.schedule_heartbeat(now.after_ms(HEARTBEAT_MS));
        }
        frame.revision = self.config.as_ref().map_or(0, |config| config.revision);
        frame.leaving = self.leaving;
        frame.load = channel.next_load(now, &self.own_load.1);
        let idle = frame.msgs.is_empty();
        self.out.push(Effect::Send { address, frame });
        self.count(Metric::Frames, 1);
        if idle {
            self.count(Metric::IdleFrames, 1);
        }
        !idle
    }

    fn update_load(&mut self, now: Time) {
        if self.own_load.0 > now {
            return;
        }
        let loads: Arc<[TargetLoad]> = self.placer.figures(now).into();
        self.own_load = (now.after_ms(LOAD_INTERVAL_MS), loads);
    }

    pub(super) fn log_info(&mut self, event: &'static str, pairs: Vec<(&'static str, String)>) {
        self.out.push(Effect::Log(Note { level: Level::Info, event, id: None, pairs }));
    }

    pub(super) fn log_end(&mut self, now: Time, number: u64, answer: &crate::Answer) {
        let Some(run) = self.runs.get(number) else { return };
        let pairs = vec![
            ("step", String::from("answer")),
            ("answer", answer.label().to_owned()),
            ("ms", (now.since(run.arrived).as_millis()).to_string()),
        ];
        let id = run.log_id();
        self.out.push(Effect::Log(Note { level: Level::Debug, event: "ended", id, pairs }));
    }
}
