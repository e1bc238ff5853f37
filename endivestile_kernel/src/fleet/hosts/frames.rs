//! Exchange of frames with the other hosts: heartbeats, reports, reconnects and lost peers.

use std::collections::BTreeSet;
use std::sync::Arc;

use endivestile_config::model::Name;

use crate::channel::Channel;
use crate::fleet::assignment::UNREACHABLE_MS;
use crate::fleet::core::{Fleet, FleetEffect};
use crate::fleet::evacuation::Source;
use crate::fleet::front::Front;
use crate::fleet::hosts::membership::{
    CROSS_ZONE_HEARTBEAT_MS, FrameFault, FrameHeader, HEARTBEAT_MS, IDLE_HEARTBEAT_MS, Member,
    host_rank,
};
use crate::fleet::job::{JobEnd, Reason};
use crate::fleet::lag::overloaded;
use crate::fleet::metrics::{Count, Span};
use crate::fleet::msg::{HostReport, JobMsg, NOTICE_VERSION, ServiceCapacity};
use crate::fleet::scheduler::{HoldEnds, Scheduler};
use crate::{Frame, FrameExtension, Level, Msg, Peer, Time};

/// Age after which the report of this host is computed again, in milliseconds.
const REPORT_MAX_AGE_MS: u64 = 15;
/// Age of a frame without an echo after which a link within a zone is reconnected, in
/// milliseconds: the link is back before the lease of the tasks that depend on it expires.
const ECHO_TIMEOUT_MS: u64 = 400;
/// The same between zones, where frames may be further apart.
const CROSS_ZONE_ECHO_TIMEOUT_MS: u64 = 700;
/// Interval between two choices of the standbys in other zones, in milliseconds.
const STANDBY_INTERVAL_MS: u64 = 500;
/// Most frames sent to one peer at a time.
const MAX_FRAMES: usize = 4;

impl Fleet {
    /// Handles a frame: updates its sender's membership and report, then handles its messages.
    pub(crate) fn handle_frame(&mut self, now: Time, mut frame: Frame) {
        if frame.to != self.setup.me {
            return;
        }
        let from = frame.from.clone();
        let report = frame.report.take();
        let header = FrameHeader {
            from: &from,
            leaving: frame.leaving,
            sent: frame.sent,
            echo: frame.echo,
            report: report.as_ref(),
            extension: frame.extension,
        };
        let contact = match self.members.apply_frame(now, &header) {
            Ok(contact) => contact,
            Err(FrameFault::Unproven) => return self.probe_peer(now, &header),
            Err(FrameFault::UnknownSender) => return,
        };
        if let Some(ended) = contact.ended {
            self.peer_ended(now, &ended);
        }
        if contact.is_first && header.echo > Time::ZERO {
            // The frame answers one of ours, which the peer may have dropped since it did not know
            // this incarnation. An echo proves to it that this is the later one.
            let channel = self.channel(&from);
            channel.resend_unacked(now);
            channel.ack_now(now);
        }
        self.record_contact(&from);
        self.compare_config(now, &from, frame.revision);
        if let Some(report) = report {
            for state in &report.evacuations {
                self.set_evacuation(now, state, Source::Peer);
            }
            self.update_free_capacity(now, &from, &report);
            self.record_zone_report(now, &from, &report, Some((frame.sent, frame.echo)));
        }
        let lease = self.setup.host_lease_ms;
        let channel = self.channel(&from);
        let msgs = channel.receive(now, frame);
        if let Some(delay_us) = channel.take_ack_delay() {
            self.record_ack_delay(&from, delay_us);
        }
        for msg in msgs {
            match msg {
                Msg::Job(JobMsg::Submit { serial, echo, .. }) if echo.after_ms(lease) <= now => {
                    self.refuse_stale(now, &from, serial);
                }
                Msg::Job(msg) => self.handle_job_msg(now, &from, msg),
                Msg::DirectTransfer(msg) => self.handle_grant(now, &from, &msg),
                _ => {}
            }
        }
        self.apply_output(now);
    }

    /// Records by when the runs of a host's jobs have to end unless it is heard from again.
    fn record_contact(&mut self, from: &Peer) {
        let Some(member) = self.members.get(from) else { return };
        let leases = self.setup.leases();
        let ends = HoldEnds {
            own: leases.hold_end(member.last_echo),
            forwarded: leases.hold_end(member.front_contact),
        };
        self.scheduler.hold_ends.insert(from.clone(), ends);
    }

    /// Returns whether a host can decode frames of this version.
    pub(crate) fn reads_version(&self, peer: &Peer, version: u32) -> bool {
        let known = self.members.get(peer).map_or(0, |member| member.known_version);
        *peer == self.setup.me || known >= version
    }

    /// Sends a frame to an incarnation whose echo shows whether it is later than the known one.
    fn probe_peer(&mut self, now: Time, header: &FrameHeader<'_>) {
        let Some(theirs) = header.report else { return };
        let known = self.members.by_host(&header.from.host).map(|member| member.peer.to_string());
        let pairs = vec![("peer", header.from.to_string()), ("known", known.unwrap_or_default())];
        self.log(Level::Info, "peer_probed", pairs);
        let mut channel = Channel::new(header.from.clone());
        channel.ack_now(now);
        let Some(mut frame) = channel.next_frame(now, &self.setup.me) else { return };
        frame.leaving = self.leaving;
        frame.echo = header.sent;
        frame.extension.known_version = Frame::LATEST_VERSION;
        frame.report = Some(self.current_report(now));
        frame.revision = self.config_version();
        self.out.push(FleetEffect::Send { address: theirs.address.clone(), frame });
    }

    /// Returns the version of this host's configuration, 0 for none.
    fn config_version(&self) -> u64 {
        self.route_table.as_ref().map_or(0, |table| table.version)
    }

    /// Handles a link that broke: what the peer has not acknowledged is sent again.
    pub(crate) fn handle_link_down(&mut self, now: Time, peer: &Peer) {
        let Some(channel) = self.channels.get_mut(peer) else { return };
        channel.resend_unacked(now);
        let count = channel.backlog();
        if count > 0 && !channel.broke_repeatedly() {
            let pairs = vec![("peer", peer.to_string()), ("messages", count.to_string())];
            self.log(Level::Info, "messages_unacked", pairs);
        }
    }

    /// Records how long the oldest message to a peer waited for its acknowledgement.
    fn record_ack_delay(&mut self, peer: &Peer, delay_us: u64) {
        self.out.push(FleetEffect::Time(Span::MessageAck, delay_us));
        let delay_ms = delay_us / 1_000;
        if delay_ms > self.setup.host_lease_ms {
            let pairs = vec![("peer", peer.to_string()), ("waited_ms", delay_ms.to_string())];
            self.log(Level::Warn, "messages_late", pairs);
        }
    }

    /// Requests a read of the operators' keys if a peer has had a later configuration for too long.
    fn compare_config(&mut self, now: Time, peer: &Peer, theirs: u64) {
        let own = self.config_version();
        if self.config_lag.observe(now, own, theirs) {
            let pairs = vec![
                ("own", own.to_string()),
                ("peer", peer.to_string()),
                ("theirs", theirs.to_string()),
            ];
            self.log(Level::Warn, "config_behind", pairs);
            self.out.push(FleetEffect::ReadOperatorKeys);
        }
    }

    /// Refuses a job that was in transit for longer than the host lease, because of a network cut
    /// or a broken link: by now its front may have sent it elsewhere, and it would run twice.
    fn refuse_stale(&mut self, now: Time, from: &Peer, serial: u64) {
        let pairs = vec![("front", from.to_string()), ("serial", serial.to_string())];
        self.log(Level::Info, "job_stale", pairs);
        self.out.push(FleetEffect::Count(Count::JobsStale));
        let end = JobEnd::NotRun { reason: Reason::NoPlacer, retry: now };
        self.deliver_job_msg(now, from, JobMsg::Ended { serial, end });
    }

    /// Stores the free capacity that another owner reports. It counts only if this host's frames
    /// reach that owner: after a network cut, tasks would wait on a link that is not back yet.
    fn update_free_capacity(&mut self, now: Time, from: &Peer, report: &HostReport) {
        let reachable =
            self.members.get(from).is_some_and(|it| it.is_reachable(now, UNREACHABLE_MS));
        if report.pools == 0 || !reachable || overloaded(report.lag_ms) {
            self.scheduler.peer_capacity.remove(from);
            return;
        }
        let spare =
            |load: &ServiceCapacity| (load.service.clone(), load.free.saturating_sub(load.waiting));
        let by_service = report.capacity.iter().map(spare).collect();
        if self.scheduler.peer_capacity.insert(from.clone(), by_service).is_none() {
            self.scheduler.send_all_evidence(now, from);
        }
        self.scheduler.dirty = true;
    }

    /// Sends a message about a job to a peer; a submission carries the echo of the peer's clock.
    pub(crate) fn send_job_msg(&mut self, to: &Peer, mut msg: JobMsg) {
        // A front of an earlier release never acknowledges the notice, so that no task of its job
        // is forwarded.
        if msg.version() >= NOTICE_VERSION && !self.reads_version(to, msg.version()) {
            return;
        }
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

    /// Handles the end of an incarnation: tasks forwarded to it are taken back once its workers'
    /// leases have expired, and its own jobs are stopped.
    pub(crate) fn peer_ended(&mut self, now: Time, peer: &Peer) {
        self.log(Level::Info, "peer_ended", vec![("peer", peer.to_string())]);
        // Runs that it started may continue until the leases of their workers expire.
        self.ended.insert(peer.clone(), now);
        self.channels.remove(peer);
        self.scheduler.cancel_front(now, peer);
        self.scheduler.peer_capacity.remove(peer);
    }

    /// Checks every peer: requests heartbeats, reconnects unresponsive links, and gives up what
    /// depends on unreachable peers.
    pub(crate) fn check_members(&mut self, now: Time) {
        self.members.replace_silent(now);
        self.choose_standby(now);
        let busy = busy_peers(&self.scheduler, &self.front);
        let own = self.scheduler.owns_workers();
        let mut unresponsive = Vec::new();
        for member in self.members.all_mut() {
            let relation = if busy.contains(&member.peer) {
                Relation::Busy
            } else if member.zone == self.setup.zone {
                Relation::SameZone
            } else {
                Relation::OtherZone { standby: member.standby }
            };
            let Some(interval) = heartbeat_ms(own, member.owned_recently(now), relation) else {
                continue;
            };
            let heartbeat = now.after_ms(interval);
            match self.channels.get_mut(&member.peer) {
                Some(channel) => channel.ensure_heartbeat(heartbeat),
                None => {
                    let mut channel = Channel::new(member.peer.clone());
                    channel.ensure_heartbeat(heartbeat);
                    self.channels.insert(member.peer.clone(), channel);
                }
            }
            let limit = if member.zone == self.setup.zone {
                ECHO_TIMEOUT_MS
            } else {
                CROSS_ZONE_ECHO_TIMEOUT_MS
            };
            let unechoed = member.unechoed_since.is_some_and(|at| at.after_ms(limit) <= now);
            if unechoed && member.reconnect_due <= now {
                member.note_reconnect(now);
                // What the former link still holds may never arrive, and its end may show late.
                if let Some(channel) = self.channels.get_mut(&member.peer) {
                    channel.resend_unacked(now);
                }
                unresponsive.push(member.address.clone());
            }
        }
        self.out.extend(unresponsive.into_iter().map(FleetEffect::Reconnect));
        self.drop_unreachable(now);
    }

    /// Chooses the standbys: hosts of other zones with which heartbeats are exchanged although
    /// neither side has jobs of the other.
    ///
    /// A host without workers has one owner of each other zone as standby, to which its jobs go
    /// when no owner of its own zone answers. With all owners as standbys, the number of its
    /// frames would grow with the fleet.
    fn choose_standby(&mut self, now: Time) {
        if self.standby_due > now {
            return;
        }
        self.standby_due = now.after_ms(STANDBY_INTERVAL_MS);
        self.update_zone_layouts(now);
        let (me, zone) = (&self.setup.me.host, &self.setup.zone);
        let owners = self.pools.owners_by_zone();
        let own: Vec<_> = owners.iter().filter(|(_, here)| here.contains(me)).collect();
        let standbys = |host: &Name, zone: &Name, pools: &str, owners: &BTreeSet<&Name>| {
            // Nothing starts on the workers of an evacuated zone: a single owner of another zone
            // could not serve all of its hosts.
            let all = self.evacuations.contains(zone) || *pools == **zone;
            standby_owners(host, all, owners)
        };
        let is_standby = |member: &&Member| {
            let (host, zone) = (&member.peer.host, &member.zone);
            own.iter().any(|(pools, here)| standbys(host, zone, pools, here).contains(me))
        };
        let mut chosen: BTreeSet<Name> =
            self.members.all().filter(is_standby).map(|member| member.peer.host.clone()).collect();
        if own.is_empty() {
            let all = owners.iter().flat_map(|(pools, there)| standbys(me, zone, pools, there));
            chosen.extend(all);
        }
        for member in self.members.all_mut() {
            member.standby = chosen.contains(&member.peer.host);
        }
    }

    /// Stops the jobs of fronts that have received no frame of ours for a host lease, and takes
    /// back tasks forwarded to hosts that must have stopped them by now.
    fn drop_unreachable(&mut self, now: Time) {
        let leases = self.setup.leases();
        let members = &self.members;
        self.scheduler.hold_ends.retain(|peer, _| members.get(peer).is_some());
        let fronts: Vec<Peer> = self.scheduler.fronts();
        for peer in fronts {
            let last_echo = self.members.get(&peer).map(|member| member.last_echo);
            let lost = last_echo.is_none_or(|at| at.after_ms(leases.host_ms()) <= now);
            if lost && self.lost_fronts.insert(peer.clone()) {
                self.log(Level::Info, "front_lost", vec![("peer", peer.to_string())]);
            }
            if lost {
                self.scheduler.cancel_front(now, &peer);
            } else {
                self.lost_fronts.remove(&peer);
            }
        }
        let members = &self.members;
        self.scheduler.peer_capacity.retain(|peer, _| {
            members.get(peer).is_some_and(|member| member.is_reachable(now, UNREACHABLE_MS))
        });
        let restart_ms = leases.restart_ms();
        self.ended.retain(|_, at| at.after_ms(restart_ms) > now);
        for peer in self.scheduler.forward_targets() {
            if !self.members.is_alive(now, &peer, restart_ms) && !self.ended.contains_key(&peer) {
                self.scheduler.reclaim_forwards(now, &peer);
            }
        }
        self.apply_output(now);
    }

    /// Sends the frames that are due to every peer.
    pub(crate) fn send_frames(&mut self, now: Time) {
        let due = self.channels.iter().filter(|(_, channel)| channel.has_frame_due(now));
        let peers: Vec<Peer> = due.map(|(peer, _)| peer.clone()).collect();
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
        let address = member.address.clone();
        let more = !frame.msgs.is_empty();
        let unsent = channel.has_unsent();
        frame.extension = FrameExtension {
            known_version: Frame::LATEST_VERSION,
            front_contact: Some(self.front_contact(now, peer, unsent)),
        };
        self.out.push(FleetEffect::Send { address, frame });
        more
    }

    /// Returns the last contact with all fronts of the tasks that are forwarded to a peer. Jobs
    /// that are being ended do not count once their cancels were sent.
    fn front_contact(&self, now: Time, peer: &Peer, unsent: bool) -> Time {
        let there = self.scheduler.forwards.values().filter(|(target, _)| target == peer);
        let jobs = there.filter_map(|(_, task)| self.scheduler.jobs.get(&task.job));
        let held = jobs.filter(|state| unsent || state.ending.is_none());
        let contacts = held.filter(|state| state.sender != self.setup.me).map(|state| {
            self.members.get(&state.sender).map_or(Time::ZERO, |member| member.last_echo)
        });
        contacts.min().map_or(now, |contact| contact.min(now))
    }

    /// Returns this host's report, computed again if it is too old.
    fn current_report(&mut self, now: Time) -> Arc<HostReport> {
        if self.report.0 > now {
            return self.report.1.clone();
        }
        let me = &self.setup.me;
        let pools = self.pools.owned(me).count() as u32;
        let loads = self.scheduler.load_by_service(now).into_iter();
        let report = HostReport {
            zone: self.setup.zone.clone(),
            address: self.setup.address.clone(),
            cpu_milli: self.setup.cpu_milli,
            link_kbps: self.setup.link_kbps,
            lag_ms: self.scheduler.lag.ms(),
            pools,
            capacity: loads
                .map(|(service, (free, waiting))| ServiceCapacity { service, free, waiting })
                .collect(),
            pending: self.scheduler.pending().into_iter().collect(),
            evacuations: self.evacuations.states(),
        };
        let report = Arc::new(report);
        self.report = (now.after_ms(REPORT_MAX_AGE_MS), report.clone());
        self.record_zone_report(now, &self.setup.me.clone(), &report, None);
        report
    }
}

/// Returns the peers that have jobs of this host, or of which this host has jobs.
fn busy_peers<'a>(scheduler: &'a Scheduler, front: &'a Front) -> BTreeSet<&'a Peer> {
    let open = front.open.values().filter_map(|open| open.assigned_to.as_ref());
    scheduler.front_peers().chain(scheduler.forward_peers()).chain(open).collect()
}

/// Relation between two hosts, which decides their heartbeat interval.
#[derive(Debug, Clone, Copy)]
enum Relation {
    /// One has jobs of the other.
    Busy,
    /// They are in the same zone.
    SameZone,
    /// They are in different zones.
    OtherZone {
        /// Whether one is the other's standby.
        standby: bool,
    },
}

/// Returns the heartbeat interval of two hosts, in milliseconds; none when neither needs to
/// monitor the other.
fn heartbeat_ms(own: bool, theirs: bool, relation: Relation) -> Option<u64> {
    match relation {
        _ if !own && !theirs => None,
        Relation::Busy => Some(HEARTBEAT_MS),
        Relation::SameZone => Some(IDLE_HEARTBEAT_MS),
        Relation::OtherZone { standby } => {
            (standby || own && theirs).then_some(CROSS_ZONE_HEARTBEAT_MS)
        }
    }
}

/// Returns which of a zone's owners are the standbys of a host without workers: all or one of
/// them. Both sides compute the same result.
fn standby_owners(host: &str, all: bool, owners: &BTreeSet<&Name>) -> Vec<Name> {
    let owners = owners.iter().copied();
    if all {
        return owners.cloned().collect();
    }
    owners.min_by_key(|owner| host_rank(host, owner)).cloned().into_iter().collect()
}
