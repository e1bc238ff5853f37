//! The other hosts: where they are, whether they answer, what they own.

use std::collections::BTreeMap;
use std::sync::Arc;

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::msg::HostReport;
use crate::fleet::ownership::partition::host_capacity;
use crate::{Peer, Time};

/// Time between two frames to a peer while nothing else is said, in
/// milliseconds: four fit into the lease that they renew.
pub(crate) const HEARTBEAT_MS: u64 = 110;
/// The same within a zone while neither has jobs of the other.
pub(crate) const IDLE_HEARTBEAT_MS: u64 = 200;
/// The same between an owner and a host of another zone while neither has jobs of the
/// other: each has to know that the other lives, and nothing hangs on it.
pub(crate) const CROSS_ZONE_HEARTBEAT_MS: u64 = 300;

/// Age up to which a host's word counts that it owns workers, in milliseconds: one that
/// owns none any more sends nothing.
const OWNS_MS: u64 = 3_000;
/// Silence after which a frame shows that the path to a peer is back, in milliseconds.
const SILENT_MS: u64 = 1_000;
/// Time for a new link to show a sign of life, in milliseconds ..
const REDIAL_MS: u64 = 400;
/// .. and how often it doubles while it shows none: a peer that is late rather than gone
/// pays for every new link.
const REDIAL_DOUBLINGS: u32 = 3;

/// A host as it registered itself in the store.
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
    /// Processor time that it may use, in thousandths of a core; 0 when it does
    /// not tell.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Bandwidth of its link, in kilobits a second; 0 when it does not tell.
    #[serde(default)]
    pub link_kbps: u32,
}

/// One other host.
#[derive(Debug)]
pub(crate) struct Member {
    /// Latest incarnation known.
    pub(crate) peer: Peer,
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
    /// When its last frame came.
    pub(crate) last_frame: Option<Time>,
    /// When the latest frame of ours left that it has had, as it echoed.
    pub(crate) last_echo: Time,
    /// When the first frame left to which it has echoed nothing since.
    pub(crate) unechoed_since: Option<Time>,
    /// Its own clock at its latest frame, which we echo.
    pub(crate) peer_clock: Time,
    /// What it told last.
    pub(crate) report: Arc<HostReport>,
    /// Since when it is known.
    pub(crate) known_since: Time,
    /// From when on its link may be made anew.
    pub(crate) reconnect_due: Time,
    /// Times that its link was made anew without a sign of life since.
    pub(crate) reconnects: u32,
    /// Whether frames are exchanged with it while neither has jobs of the other, although
    /// only one of the two owns workers and they are of different zones.
    pub(crate) standby: bool,
}

/// All other hosts.
#[derive(Debug)]
pub(crate) struct Membership {
    me: Peer,
    by_name: BTreeMap<Name, Member>,
}

impl Membership {
    /// Starts with nobody known.
    pub(crate) fn new(me: Peer) -> Self {
        Self { me, by_name: BTreeMap::new() }
    }

    /// Takes in a registration, or the end of one; returns an incarnation that ended.
    pub(crate) fn apply_registration(
        &mut self,
        now: Time,
        name: &Name,
        entry: Option<&HostEntry>,
    ) -> Option<Peer> {
        if *name == self.me.host {
            return None;
        }
        let Some(entry) = entry else {
            return self.by_name.remove(name).map(|member| member.peer);
        };
        let known = self.by_name.get_mut(name);
        if let Some(member) = known {
            if member.peer.birth == entry.peer.birth {
                member.address = entry.address.clone();
                member.leaving |= entry.leaving;
                return None;
            }
            if member.peer.birth > entry.peer.birth {
                return None;
            }
        }
        let member = Member::new(now, entry);
        self.by_name.insert(name.clone(), member).map(|member| member.peer)
    }

    /// Takes in a frame's sender; returns an incarnation that it shows to have
    /// ended, or nothing known for a frame of one that has ended itself.
    pub(crate) fn apply_frame(
        &mut self,
        now: Time,
        heard: &FrameHeader<'_>,
    ) -> Result<Option<Peer>, ()> {
        let name = &heard.from.host;
        let known = self.by_name.get(name).map(|member| member.peer.birth);
        if *name == self.me.host || known.is_some_and(|birth| birth > heard.from.birth) {
            return Err(());
        }
        let mut ended = None;
        if known != Some(heard.from.birth) {
            let Some(report) = heard.report else { return Err(()) };
            let entry = HostEntry {
                peer: heard.from.clone(),
                zone: report.zone.clone(),
                address: report.address.clone(),
                leaving: heard.leaving,
                cpu_milli: report.cpu_milli,
                link_kbps: report.link_kbps,
            };
            let old = self.by_name.insert(name.clone(), Member::new(now, &entry));
            ended = old.map(|member| member.peer);
        }
        if let Some(member) = self.by_name.get_mut(name) {
            if !member.is_alive(now, SILENT_MS) {
                // The path is back: a link that was made during the silence may never be.
                member.reconnects = 0;
                member.reconnect_due = now;
            }
            member.last_frame = Some(now);
            member.leaving = heard.leaving;
            member.peer_clock = member.peer_clock.max(heard.sent);
            if heard.echo > member.last_echo {
                member.last_echo = heard.echo;
                member.unechoed_since = None;
                member.reconnects = 0;
            }
            if let Some(report) = heard.report {
                member.sent_tasks = 0;
                member.report = report.clone();
            }
        }
        Ok(ended)
    }

    /// Returns the member that a peer is, if that incarnation is the latest.
    pub(crate) fn get(&self, peer: &Peer) -> Option<&Member> {
        self.by_name.get(&peer.host).filter(|member| member.peer == *peer)
    }

    /// Returns the member that a peer is, to change it.
    pub(crate) fn get_mut(&mut self, peer: &Peer) -> Option<&mut Member> {
        self.by_name.get_mut(&peer.host).filter(|member| member.peer == *peer)
    }

    /// Returns the member of a name.
    pub(crate) fn by_host(&self, name: &str) -> Option<&Member> {
        self.by_name.get(name)
    }

    /// Returns all members.
    pub(crate) fn all(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// Returns all members, to change them.
    pub(crate) fn all_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        self.by_name.values_mut()
    }

    /// Returns whether a peer was heard within the last `ms` milliseconds.
    pub(crate) fn is_alive(&self, now: Time, peer: &Peer, ms: u64) -> bool {
        *peer == self.me || self.get(peer).is_some_and(|member| member.is_alive(now, ms))
    }
}

/// Sender of a frame, and what the frame says of it.
pub(crate) struct FrameHeader<'a> {
    /// The incarnation.
    pub(crate) from: &'a Peer,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Its clock at sending.
    pub(crate) sent: Time,
    /// Our clock at the sending of the latest frame that it has had.
    pub(crate) echo: Time,
    /// What it tells of itself.
    pub(crate) report: Option<&'a Arc<HostReport>>,
}

impl Member {
    fn new(now: Time, entry: &HostEntry) -> Self {
        Self {
            peer: entry.peer.clone(),
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
            report: Arc::default(),
            known_since: now,
            reconnect_due: now.after_ms(REDIAL_MS),
            reconnects: 0,
            standby: false,
        }
    }

    /// Returns whether it was heard within the last `ms` milliseconds.
    pub(crate) fn is_alive(&self, now: Time, ms: u64) -> bool {
        self.last_frame.is_some_and(|at| at.after_ms(ms) > now)
    }

    /// Notes that its link is made anew; the next time waits twice as long, up to a limit.
    pub(crate) fn note_reconnect(&mut self, now: Time) {
        self.reconnects += 1;
        self.reconnect_due = now.after_ms(REDIAL_MS << self.reconnects.min(REDIAL_DOUBLINGS));
    }

    /// Returns how many workers it can drive.
    pub(crate) fn capacity(&self) -> u32 {
        host_capacity(self.cpu_milli, self.link_kbps)
    }

    /// Returns whether frames pass both ways: it was heard within the last `ms`
    /// milliseconds, and no frame to it has been without an echo for longer.
    pub(crate) fn is_reachable(&self, now: Time, ms: u64) -> bool {
        self.is_alive(now, ms) && self.unechoed_since.is_none_or(|at| at.after_ms(ms) > now)
    }

    /// Returns whether it owns workers, by its own word of late.
    pub(crate) fn owned_recently(&self, now: Time) -> bool {
        self.owns_workers() && self.is_alive(now, OWNS_MS)
    }

    /// Returns whether it owns workers, by its own word.
    pub(crate) fn owns_workers(&self) -> bool {
        self.report.pools > 0
    }
}

/// Returns the rank of a host for a pool: the lowest goes first. All hosts
/// work out the same order without a message.
pub(crate) fn host_rank(pool: &str, host: &str) -> u64 {
    xxh3_64(format!("{pool}/{host}").as_bytes())
}
