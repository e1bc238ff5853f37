//! Membership: addresses, liveness and latest reports of the other hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::msg::HostReport;
use crate::fleet::ownership::partition::host_capacity;
use crate::{FrameExtension, Peer, Time};

/// Heartbeat interval while one host has jobs of the other, in milliseconds: four fit into the
/// lease that they renew.
pub(crate) const HEARTBEAT_MS: u64 = 110;
/// Heartbeat interval within a zone while neither host has jobs of the other, in milliseconds.
pub(crate) const IDLE_HEARTBEAT_MS: u64 = 200;
/// Heartbeat interval between an owner and a host of another zone while neither has jobs of the
/// other, in milliseconds: both need the other's liveness, but no lease depends on it.
pub(crate) const CROSS_ZONE_HEARTBEAT_MS: u64 = 300;

/// Age up to which a host's report of owning workers counts, in milliseconds: a host that has
/// lost its workers may send no further frame.
const OWNER_REPORT_MS: u64 = 3_000;
/// Most ended incarnations of a host that are remembered.
const MAX_FORMER: usize = 8;
/// Time without a frame after which a host gives way to another incarnation that is registered, in
/// milliseconds: longer than anything that depends on its frames lasts.
const SILENT_MS: u64 = 3_000;
/// Time without a frame after which the next one shows that the path to a peer is back, in
/// milliseconds.
const PATH_LOST_MS: u64 = 1_000;
/// Time for a new link to carry an echo before it is reconnected, in milliseconds.
const RECONNECT_MS: u64 = 400;
/// Limit on the doublings of that time while no echo arrives: a peer that is slow rather than
/// gone pays for every new link.
const RECONNECT_DOUBLINGS: u32 = 3;

/// Registration of a host in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The incarnation.
    pub peer: Peer,
    /// Availability zone.
    pub zone: Name,
    /// Address of its links, `IP:port`.
    pub address: Name,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Processor time that it may use, in thousandths of a core; 0 if unspecified.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Bandwidth of its link, in kilobits a second; 0 if unspecified.
    #[serde(default)]
    pub link_kbps: u32,
}

/// State of one other host.
#[derive(Debug)]
pub(crate) struct Member {
    /// Latest known incarnation.
    pub(crate) peer: Peer,
    /// Whether its registration was read from the store; otherwise only its frames are known.
    registered: bool,
    /// Revision of the latest registration under this host's name, of whatever incarnation.
    revision: u64,
    /// Registration of an incarnation that may be earlier or later than `peer`.
    unordered: Option<HostEntry>,
    /// Births of incarnations that have ended, the latest last.
    former: Vec<u64>,
    /// Availability zone.
    pub(crate) zone: Name,
    /// Address of its links.
    pub(crate) address: Name,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Processor time that it may use, in thousandths of a core.
    pub(crate) cpu_milli: u32,
    /// Bandwidth of its link, in kilobits a second.
    pub(crate) link_kbps: u32,
    /// Tasks of jobs sent there since its last report.
    pub(crate) sent_tasks: u32,
    /// When its last frame arrived.
    pub(crate) last_frame: Option<Time>,
    /// When the latest of our frames that it has echoed was sent.
    pub(crate) last_echo: Time,
    /// When our first frame since its latest echo was sent; none if there is no such frame.
    pub(crate) unechoed_since: Option<Time>,
    /// Its clock at its latest frame, which we echo.
    pub(crate) peer_clock: Time,
    /// Our clock at the latest contact with it at which it was in contact with all fronts of the
    /// tasks that it forwards here now; earlier than before if those of another front are added.
    pub(crate) front_contact: Time,
    /// Latest version of the frame encoding that it can decode; 0 if it does not say.
    pub(crate) known_version: u32,
    /// Its latest report.
    pub(crate) report: Arc<HostReport>,
    /// Since when this incarnation is known.
    pub(crate) known_since: Time,
    /// When its link may be reconnected next.
    pub(crate) reconnect_due: Time,
    /// Reconnects of its link since the latest echo.
    pub(crate) reconnects: u32,
    /// Whether heartbeats are exchanged with it although neither has jobs of the other, only one
    /// of the two owns workers, and they are in different zones.
    pub(crate) standby: bool,
}

/// All other hosts, by name.
///
/// A host has one process at a time. Which of two incarnations is the later one is never decided by
/// their births, which come from a clock that may jump, but by one of two proofs. The store
/// replaces a registration only by that of a process that has read it. And a frame that echoes one
/// of ours, sent when the other incarnation was already known, was sent after that one had started.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Peer,
    by_name: BTreeMap<Name, Member>,
}

/// Why a frame is not handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FrameFault {
    /// Its sender is this host, has ended, or is unknown and sent no report.
    UnknownSender,
    /// Its sender may have ended: it has not echoed a frame sent since another incarnation is
    /// known.
    Unproven,
}

/// What a frame shows about its sender.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Contact {
    /// Incarnation that has ended, since the sender is a later one.
    pub(crate) ended: Option<Peer>,
    /// Whether this is the sender's first frame.
    pub(crate) is_first: bool,
}

impl Membership {
    /// Creates an empty membership.
    pub(crate) fn new(me: Peer) -> Self {
        Self { me, by_name: BTreeMap::new() }
    }

    /// Applies the registration at `revision` of the store, or the end of one; returns an
    /// incarnation that ended by it.
    pub(crate) fn apply_registration(
        &mut self,
        now: Time,
        name: &Name,
        revision: u64,
        entry: Option<&HostEntry>,
    ) -> Option<Peer> {
        if *name == self.me.host {
            return None;
        }
        let Some(entry) = entry else {
            return self.by_name.remove(name).map(|member| member.peer);
        };
        let Some(member) = self.by_name.get_mut(name) else {
            self.by_name.insert(name.clone(), Member::registered(now, entry, revision));
            return None;
        };
        if member.revision >= revision {
            return None;
        }
        member.revision = revision;
        if member.peer == entry.peer {
            member.registered = true;
            member.unordered = None;
            member.address = entry.address.clone();
            member.leaving |= entry.leaving;
            return None;
        }
        if member.former.contains(&entry.peer.birth) {
            return None;
        }
        if member.registered {
            return Some(member.replace(now, entry, true));
        }
        member.unordered = Some(entry.clone());
        None
    }

    /// Replaces silent hosts of which another incarnation is registered. The former is not known
    /// to have ended; if it proves to be the later one, it replaces the other again.
    pub(crate) fn replace_silent(&mut self, now: Time) {
        for member in self.by_name.values_mut() {
            if member.unordered.is_some()
                && !member.is_alive(now, SILENT_MS)
                && let Some(entry) = member.unordered.take()
            {
                let former = std::mem::take(&mut member.former);
                member.replace(now, &entry, true);
                member.former = former;
            }
        }
    }

    /// Applies the header of a frame.
    pub(crate) fn apply_frame(
        &mut self,
        now: Time,
        header: &FrameHeader<'_>,
    ) -> Result<Contact, FrameFault> {
        let name = &header.from.host;
        let known = self.by_name.get_mut(name);
        if *name == self.me.host
            || known.as_ref().is_some_and(|member| member.former.contains(&header.from.birth))
        {
            return Err(FrameFault::UnknownSender);
        }
        let mut ended = None;
        match known {
            Some(member) if member.peer == *header.from => {}
            Some(member) if header.echo < member.known_since || header.echo == Time::ZERO => {
                return Err(FrameFault::Unproven);
            }
            Some(member) => {
                let entry = header.entry().ok_or(FrameFault::UnknownSender)?;
                ended = Some(member.replace(now, &entry, false));
            }
            None => {
                let entry = header.entry().ok_or(FrameFault::UnknownSender)?;
                self.by_name.insert(name.clone(), Member::new(now, &entry));
            }
        }
        let member = self.by_name.get_mut(name).ok_or(FrameFault::UnknownSender)?;
        let is_first = member.last_frame.is_none();
        member.apply_frame(now, header);
        Ok(Contact { ended, is_first })
    }

    /// Returns whether an incarnation is known to have ended.
    pub(crate) fn has_ended(&self, peer: &Peer) -> bool {
        let member = self.by_name.get(&peer.host);
        member.is_some_and(|member| member.former.contains(&peer.birth))
    }

    /// Returns the member of an incarnation, if that is the latest.
    pub(crate) fn get(&self, peer: &Peer) -> Option<&Member> {
        self.by_name.get(&peer.host).filter(|member| member.peer == *peer)
    }

    /// Returns the member of an incarnation mutably, if that is the latest.
    pub(crate) fn get_mut(&mut self, peer: &Peer) -> Option<&mut Member> {
        self.by_name.get_mut(&peer.host).filter(|member| member.peer == *peer)
    }

    /// Returns the member with this host name.
    pub(crate) fn by_host(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Returns all members.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// Returns all members mutably.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.by_name.values_mut()
    }

    /// Returns whether a frame of a peer arrived within the last `ms` milliseconds; always true
    /// for this host.
    pub(crate) fn is_alive(&self, now: Time, peer: &Peer, ms: u64) -> bool {
        *peer == self.me || self.get(peer).is_some_and(|member| member.is_alive(now, ms))
    }
}

/// Sender of a frame and the fields that describe its state.
pub(crate) struct FrameHeader<'a> {
    /// The incarnation.
    pub(crate) from: &'a Peer,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Its clock when the frame was sent.
    pub(crate) sent: Time,
    /// Our clock when the latest of our frames that it received was sent.
    pub(crate) echo: Time,
    /// Its report, if the frame has one.
    pub(crate) report: Option<&'a Arc<HostReport>>,
    /// What earlier releases leave out.
    pub(crate) extension: FrameExtension,
}

impl FrameHeader<'_> {
    /// Returns our clock at a contact with the sender at which it was in contact with the fronts
    /// of the tasks that it forwards here. An earlier release does not say, and counts as if it
    /// were all the time.
    fn front_contact(&self) -> Time {
        let contact = self.extension.front_contact.unwrap_or(self.sent);
        contact.min(self.sent).rebase(self.sent, self.echo)
    }

    /// Returns what the sender's registration says, if the frame has a report.
    fn entry(&self) -> Option<HostEntry> {
        let report = self.report?;
        Some(HostEntry {
            peer: self.from.clone(),
            zone: report.zone.clone(),
            address: report.address.clone(),
            leaving: self.leaving,
            cpu_milli: report.cpu_milli,
            link_kbps: report.link_kbps,
        })
    }
}

impl Member {
    fn new(now: Time, entry: &HostEntry) -> Self {
        Self {
            peer: entry.peer.clone(),
            registered: false,
            revision: 0,
            unordered: None,
            former: Vec::new(),
            zone: entry.zone.clone(),
            address: entry.address.clone(),
            leaving: entry.leaving,
            cpu_milli: entry.cpu_milli,
            link_kbps: entry.link_kbps,
            sent_tasks: 0,
            last_frame: None,
            last_echo: Time::ZERO,
            unechoed_since: None,
            peer_clock: Time::ZERO,
            front_contact: Time::ZERO,
            known_version: 0,
            report: Arc::default(),
            known_since: now,
            reconnect_due: now.after_ms(RECONNECT_MS),
            reconnects: 0,
            standby: false,
        }
    }

    fn registered(now: Time, entry: &HostEntry, revision: u64) -> Self {
        Self { registered: true, revision, ..Self::new(now, entry) }
    }

    /// Replaces the incarnation by a later one, and returns it.
    fn replace(&mut self, now: Time, entry: &HostEntry, registered: bool) -> Peer {
        let mut former = std::mem::take(&mut self.former);
        if former.len() == MAX_FORMER {
            former.remove(0);
        }
        former.push(self.peer.birth);
        let next = Self { registered, former, ..Self::new(now, entry) };
        let revision = self.revision;
        let ended = std::mem::replace(self, Self { revision, ..next });
        ended.peer
    }

    /// Applies the header of one of its frames.
    fn apply_frame(&mut self, now: Time, header: &FrameHeader<'_>) {
        if !self.is_alive(now, PATH_LOST_MS) {
            // The path is back, but a link opened during the outage may never come up: allow a
            // reconnect at once.
            self.reconnects = 0;
            self.reconnect_due = now;
        }
        self.last_frame = Some(now);
        self.known_version = header.extension.known_version;
        if header.echo > self.last_echo {
            self.last_echo = header.echo;
            self.unechoed_since = None;
            self.reconnects = 0;
        }
        // A former link may deliver frames after later ones.
        if header.sent < self.peer_clock {
            return;
        }
        self.peer_clock = header.sent;
        self.front_contact = header.front_contact();
        self.leaving = header.leaving;
        if let Some(report) = header.report {
            self.sent_tasks = 0;
            self.report = report.clone();
        }
    }

    /// Returns whether a frame of it arrived within the last `ms` milliseconds.
    pub(crate) fn is_alive(&self, now: Time, ms: u64) -> bool {
        self.last_frame.is_some_and(|at| at.after_ms(ms) > now)
    }

    /// Records a reconnect of its link; doubles the wait before the next one, up to a limit.
    pub(crate) fn note_reconnect(&mut self, now: Time) {
        self.reconnects += 1;
        self.reconnect_due = now.after_ms(RECONNECT_MS << self.reconnects.min(RECONNECT_DOUBLINGS));
    }

    /// Returns how many workers it can drive.
    pub(crate) fn capacity(&self) -> u32 {
        host_capacity(self.cpu_milli, self.link_kbps)
    }

    /// Returns whether frames pass in both directions: one arrived within the last `ms`
    /// milliseconds, and none to it has been without an echo for longer.
    pub(crate) fn is_reachable(&self, now: Time, ms: u64) -> bool {
        self.is_alive(now, ms) && self.unechoed_since.is_none_or(|at| at.after_ms(ms) > now)
    }

    /// Returns whether it owns workers according to a recent report.
    pub(crate) fn owned_recently(&self, now: Time) -> bool {
        self.owns_workers() && self.is_alive(now, OWNER_REPORT_MS)
    }

    /// Returns whether it owns workers according to its latest report.
    pub(crate) fn owns_workers(&self) -> bool {
        self.report.pools > 0
    }
}

/// Returns the rank of a host for a pool; the lowest comes first. All hosts compute the same
/// order without exchanging messages.
pub(crate) fn host_rank(pool: &str, host: &str) -> u64 {
    xxh3_64(format!("{pool}/{host}").as_bytes())
}
