//! Frames to and from the other hosts.

use std::collections::BTreeSet;
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::channel::Channel;
use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::evacuation::Source;
use crate::fleet::hosts::membership::{
    CROSS_ZONE_HEARTBEAT_MS, FrameHeader, HEARTBEAT_MS, IDLE_HEARTBEAT_MS, Member, host_rank,
};
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::lag::overloaded;
use crate::fleet::metrics::Count;
use crate::fleet::msg::{HostReport, JobMsg, ServiceCapacity};
use crate::{Frame, Level, Msg, Peer, Time};

/// Age at which the report of this host is worked out anew, in milliseconds.
const REPORT_MS: u64 = 15;
/// Age of a frame without an echo from which on a link within a zone seems to carry
/// nothing, in milliseconds: it is back before the lease of the tasks it carries is over.
const QUIET_MS: u64 = 400;
/// The same between zones, where frames may be farther apart.
const FAR_QUIET_MS: u64 = 700;
/// Time between two choices of the hosts of other zones that are kept in touch, in
/// milliseconds.
const STANDBY_MS: u64 = 500;
/// Frames to one peer at a time.
const MAX_FRAMES: usize = 4;

impl Fleet {
    pub(crate) fn receive_frame(&mut self, now: Time, mut frame: Frame) {
        if frame.to != self.setup.me {
            return;
        }
        let from = frame.from.clone();
        let report = frame.report.take();
        let heard = FrameHeader {
            from: &from,
            leaving: frame.leaving,
            sent: frame.sent,
            echo: frame.echo,
            report: report.as_ref(),
        };
        let Ok(ended) = self.members.apply_frame(now, &heard) else { return };
        if let Some(ended) = ended {
            self.peer_ended(now, &ended);
        }
        if let Some(report) = report {
            for state in &report.evacuations {
                self.set_evacuation(now, state, Source::Peer);
            }
            self.take_room(now, &from, &report);
        }
        let lease = self.setup.host_lease_ms;
        let channel = self.channel(&from);
        for msg in channel.receive(now, frame) {
            match msg {
                Msg::Job(JobMsg::Submit { serial, echo, .. }) if echo.after_ms(lease) <= now => {
                    self.refuse_stale(now, &from, serial);
                }
                Msg::Job(msg) => self.handle_job_msg(now, &from, msg),
                Msg::DirectTransfer(msg) => self.receive_grant(now, &from, &msg),
                _ => {}
            }
        }
        self.apply_output(now);
    }

    /// Refuses a job that was held up for a lease on its way, in a cut or in a
    /// broken link: by now its host may have placed it elsewhere, and it would
    /// run twice.
    fn refuse_stale(&mut self, now: Time, from: &Peer, serial: u64) {
        let pairs = vec![("front", from.to_string()), ("serial", serial.to_string())];
        self.log(Level::Info, "job_stale", pairs);
        self.out.push(FleetEffect::Count(Count::JobsStale));
        let end = JobEnd::NotRun { reason: Reason::NoPlacer, retry: now };
        self.deliver_job_msg(now, from, JobMsg::Ended { serial, end });
    }

    /// Remembers what room another placer has. It counts only if this host's frames
    /// reach it: after a cut, tasks would wait on a link that is not back yet.
    fn take_room(&mut self, now: Time, from: &Peer, report: &HostReport) {
        let reachable =
            self.members.get(from).is_some_and(|it| it.is_reachable(now, UNREACHABLE_MS));
        if report.pools == 0 || !reachable || overloaded(report.lag_ms) {
            self.scheduler.peer_capacity.remove(from);
            return;
        }
        let spare =
            |room: &ServiceCapacity| (room.service.clone(), room.free.saturating_sub(room.waiting));
        let room = report.capacity.iter().map(spare).collect();
        self.scheduler.peer_capacity.insert(from.clone(), room);
        self.scheduler.dirty = true;
    }

    pub(crate) fn send_job_msg(&mut self, to: &Peer, mut msg: JobMsg) {
        if let JobMsg::Submit { echo, .. } = &mut msg {
            *echo = self.members.get(to).map_or(Time::ZERO, |member| member.peer_clock);
        }
        self.send(to, Msg::Job(msg));
    }

    /// Sends a message to another host with the next frame.
    pub(crate) fn send(&mut self, to: &Peer, msg: Msg) {
        self.channel(to).push(msg);
    }

    fn channel(&mut self, peer: &Peer) -> &mut Channel {
        self.channels.entry(peer.clone()).or_insert_with(|| Channel::new(peer.clone()))
    }

    /// An incarnation is known to have ended: what it was forwarded is taken back
    /// when its workers' leases have run out, and its own jobs are stopped.
    pub(crate) fn peer_ended(&mut self, now: Time, peer: &Peer) {
        self.log(Level::Info, "peer_ended", vec![("peer", peer.to_string())]);
        // Workers that it drove may run on for their leases' time.
        self.ended.insert(peer.clone(), now);
        self.channels.remove(peer);
        self.scheduler.cancel_front(now, peer);
        self.scheduler.peer_capacity.remove(peer);
    }

    /// Looks at every peer: asks for beats, makes dumb links anew, gives up
    /// what depends on peers that cannot be heard.
    pub(crate) fn check_members(&mut self, now: Time) {
        self.choose_standby(now);
        let busy = self.busy_peers();
        let own = self.scheduler.owns_workers();
        let mut dumb = Vec::new();
        for member in self.members.all_mut() {
            let touch = if busy.contains(&member.peer) {
                Touch::Busy
            } else if member.zone == self.setup.zone {
                Touch::Near
            } else {
                Touch::Far { standby: member.standby }
            };
            let Some(beat) = beat_ms(own, member.owned_recently(now), touch) else { continue };
            let channel = self.channels.entry(member.peer.clone());
            let channel = channel.or_insert_with(|| Channel::new(member.peer.clone()));
            channel.schedule_heartbeat_by(now.after_ms(beat));
            let limit = if member.zone == self.setup.zone { QUIET_MS } else { FAR_QUIET_MS };
            let quiet = member.unechoed_since.is_some_and(|at| at.after_ms(limit) <= now);
            if quiet && member.reconnect_due <= now {
                member.note_reconnect(now);
                dumb.push(member.address.clone());
            }
        }
        self.out.extend(dumb.into_iter().map(FleetEffect::Reconnect));
        self.lose_silent(now);
    }

    /// Chooses the hosts of other zones that are kept in touch while nothing is exchanged.
    ///
    /// A host without workers knows one owner of each other zone, where its jobs go
    /// when no owner of its own zone answers; with all of them its frames would grow with
    /// the fleet.
    fn choose_standby(&mut self, now: Time) {
        if self.standby_due > now {
            return;
        }
        self.standby_due = now.after_ms(STANDBY_MS);
        let (me, zone) = (&self.setup.me.host, &self.setup.zone);
        let owners = self.pools.owners_by_zone();
        let own: Vec<_> = owners.iter().filter(|(_, here)| here.contains(me)).collect();
        let turns = |host: &Name, zone: &Name, pools: &str, owners: &BTreeSet<&Name>| {
            // The workers of an evacuated zone take nothing: one owner of another zone
            // could not serve its hosts alone.
            let all = self.evacuations.contains(zone) || *pools == **zone;
            turns_to(host, all, owners)
        };
        let asks = |member: &&Member| {
            let (host, zone) = (&member.peer.host, &member.zone);
            own.iter().any(|(pools, here)| turns(host, zone, pools, here).contains(me))
        };
        let mut kept: BTreeSet<Name> =
            self.members.all().filter(asks).map(|member| member.peer.host.clone()).collect();
        if own.is_empty() {
            let all = owners.iter().flat_map(|(pools, there)| turns(me, zone, pools, there));
            kept.extend(all);
        }
        for member in self.members.all_mut() {
            member.standby = kept.contains(&member.peer.host);
        }
    }

    /// Returns the peers that have jobs of this host, or this host theirs.
    fn busy_peers(&self) -> BTreeSet<Peer> {
        let mut busy: BTreeSet<Peer> = self.scheduler.fronts().into_iter().collect();
        busy.extend(self.scheduler.forward_targets());
        busy.extend(self.front.open.values().filter_map(|open| open.assigned_to.clone()));
        busy
    }

    /// Stops what runs for hosts that have not had our frames for a lease, and
    /// takes back what was forwarded to hosts that must have stopped it.
    fn lose_silent(&mut self, now: Time) {
        let lease = self.setup.host_lease_ms;
        let sure = lease + self.setup.worker_lease_ms + 100;
        let fronts: Vec<Peer> = self.scheduler.fronts();
        for peer in fronts {
            let echoed = self.members.get(&peer).map(|member| member.last_echo);
            let lost = echoed.is_none_or(|at| at.after_ms(lease) <= now);
            if lost && self.lost_fronts.insert(peer.clone()) {
                self.log(Level::Info, "front_lost", vec![("peer", peer.to_string())]);
            }
            if lost {
                self.scheduler.cancel_front(now, &peer);
            } else {
                self.lost_fronts.remove(&peer);
            }
        }
        let others: Vec<Peer> = self.scheduler.peer_capacity.keys().cloned().collect();
        for peer in others {
            let member = self.members.get(&peer);
            if !member.is_some_and(|member| member.is_reachable(now, UNREACHABLE_MS)) {
                self.scheduler.peer_capacity.remove(&peer);
            }
        }
        self.ended.retain(|_, at| at.after_ms(sure) > now);
        for peer in self.scheduler.forward_targets() {
            if !self.members.is_alive(now, &peer, sure) && !self.ended.contains_key(&peer) {
                self.scheduler.reclaim_forwards(now, &peer);
            }
        }
        self.apply_output(now);
    }

    /// Sends what is due to every peer.
    pub(crate) fn send_frames(&mut self, now: Time) {
        let wanting = self.channels.iter().filter(|(_, channel)| channel.has_frame_due(now));
        let peers: Vec<Peer> = wanting.map(|(peer, _)| peer.clone()).collect();
        if peers.is_empty() {
            return;
        }
        let report = self.current_report(now);
        for peer in peers {
            for _ in 0..MAX_FRAMES {
                if !self.send_frame(now, &peer, &report) {
                    break;
                }
            }
        }
    }

    fn send_frame(&mut self, now: Time, peer: &Peer, report: &Arc<HostReport>) -> bool {
        let Some(member) = self.members.get_mut(peer) else { return false };
        let Some(channel) = self.channels.get_mut(peer) else { return false };
        let Some(mut frame) = channel.next_frame(now, &self.setup.me) else { return false };
        member.unechoed_since.get_or_insert(now);
        frame.leaving = self.leaving;
        frame.echo = member.peer_clock;
        frame.report = Some(report.clone());
        frame.revision = self.route_table.as_ref().map_or(0, |table| table.version);
        let more = !frame.msgs.is_empty();
        self.out.push(FleetEffect::Send { address: member.address.clone(), frame });
        more
    }

    /// Returns what this host tells of itself.
    fn current_report(&mut self, now: Time) -> Arc<HostReport> {
        if self.report.0 > now {
            return self.report.1.clone();
        }
        let me = &self.setup.me;
        let pools = self.pools.owned(me).count() as u32;
        let rooms = self.scheduler.load_by_service(now).into_iter();
        let report = HostReport {
            zone: self.setup.zone.clone(),
            address: self.setup.address.clone(),
            cpu_milli: self.setup.cpu_milli,
            link_kbps: self.setup.link_kbps,
            lag_ms: self.scheduler.lag.ms(),
            pools,
            capacity: rooms
                .map(|(service, (free, waiting))| ServiceCapacity { service, free, waiting })
                .collect(),
            pending: self.scheduler.pending().into_iter().collect(),
            evacuations: self.evacuations.states(),
        };
        self.report = (now.after_ms(REPORT_MS), Arc::new(report));
        self.report.1.clone()
    }
}

/// What two hosts have to do with each other.
#[derive(Debug, Clone, Copy)]
enum Touch {
    /// One has jobs of the other.
    Busy,
    /// They are of one zone.
    Near,
    /// They are of different zones.
    Far {
        /// Whether one is the other's owner to turn to.
        standby: bool,
    },
}

/// Returns the time between two frames of a pair of hosts, in milliseconds;
/// none when nothing depends on their knowing each other.
fn beat_ms(own: bool, theirs: bool, touch: Touch) -> Option<u64> {
    match touch {
        _ if !own && !theirs => None,
        Touch::Busy => Some(HEARTBEAT_MS),
        Touch::Near => Some(IDLE_HEARTBEAT_MS),
        Touch::Far { standby } => (standby || own && theirs).then_some(CROSS_ZONE_HEARTBEAT_MS),
    }
}

/// Returns those of the owners of a zone's pools that a host without workers turns to: all
/// or one of them. Both sides work it out.
fn turns_to(host: &str, all: bool, owners: &BTreeSet<&Name>) -> Vec<Name> {
    let owners = owners.iter().copied();
    if all {
        return owners.cloned().collect();
    }
    owners.min_by_key(|owner| host_rank(host, owner)).cloned().into_iter().collect()
}
