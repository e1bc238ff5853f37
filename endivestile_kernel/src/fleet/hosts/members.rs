//! The other hosts: where they are, whether they answer, what they own.

use std::collections::BTreeMap;
use std::sync::Arc;

use endivestile_config::model::Name;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::msg::Report;
use crate::{Peer, Time};

/// Time between two frames to a peer while nothing else is said, in
/// milliseconds: four fit into the lease that they renew.
pub(crate) const BEAT_MS: u64 = 110;
/// The same to an owner of another zone's workers from a host that owns none
/// and has no job there: it has to be known to live, and nothing hangs on it.
/// With four owners in each of three zones that is 63 frames a second for a host
/// in place of 109 (worked out).
pub(crate) const FAR_BEAT_MS: u64 = 300;

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
    /// Tasks of jobs sent there since its last report.
    pub(crate) sent: u32,
    /// When its last frame came.
    pub(crate) heard: Option<Time>,
    /// When the latest frame of ours left that it has had, as it echoed.
    pub(crate) echoed: Time,
    /// Its own clock at its latest frame, which we echo.
    pub(crate) theirs: Time,
    /// What it told last.
    pub(crate) report: Arc<Report>,
    /// Since when it is known.
    pub(crate) since: Time,
    /// When its link was last made anew.
    pub(crate) redialled: Time,
}

/// All other hosts.
#[derive(Debug)]
pub(crate) struct Members {
    me: Peer,
    by_name: BTreeMap<Name, Member>,
}

impl Members {
    /// Starts with nobody known.
    pub(crate) fn new(me: Peer) -> Self {
        Self { me, by_name: BTreeMap::new() }
    }

    /// Takes in a registration, or the end of one; returns an incarnation that ended.
    pub(crate) fn register(
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
    pub(crate) fn hear(&mut self, now: Time, heard: &Heard<'_>) -> Result<Option<Peer>, ()> {
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
            };
            let old = self.by_name.insert(name.clone(), Member::new(now, &entry));
            ended = old.map(|member| member.peer);
        }
        if let Some(member) = self.by_name.get_mut(name) {
            member.heard = Some(now);
            member.leaving = heard.leaving;
            member.theirs = member.theirs.max(heard.sent);
            member.echoed = member.echoed.max(heard.echo);
            if let Some(report) = heard.report {
                member.sent = 0;
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
    pub(crate) fn named(&self, name: &str) -> Option<&Member> {
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
    pub(crate) fn answers(&self, now: Time, peer: &Peer, ms: u64) -> bool {
        *peer == self.me || self.get(peer).is_some_and(|member| member.answers(now, ms))
    }
}

/// Sender of a frame, and what the frame says of it.
pub(crate) struct Heard<'a> {
    /// The incarnation.
    pub(crate) from: &'a Peer,
    /// Whether it is stopping.
    pub(crate) leaving: bool,
    /// Its clock at sending.
    pub(crate) sent: Time,
    /// Our clock at the sending of the latest frame that it has had.
    pub(crate) echo: Time,
    /// What it tells of itself.
    pub(crate) report: Option<&'a Arc<Report>>,
}

impl Member {
    fn new(now: Time, entry: &HostEntry) -> Self {
        Self {
            peer: entry.peer.clone(),
            zone: entry.zone.clone(),
            address: entry.address.clone(),
            leaving: entry.leaving,
            cpu_milli: entry.cpu_milli,
            sent: 0,
            heard: None,
            echoed: Time::ZERO,
            theirs: Time::ZERO,
            report: Arc::default(),
            since: now,
            redialled: now,
        }
    }

    /// Returns whether it was heard within the last `ms` milliseconds.
    pub(crate) fn answers(&self, now: Time, ms: u64) -> bool {
        self.heard.is_some_and(|at| at.after_ms(ms) > now)
    }

    /// Returns whether it owns workers, by its own word.
    pub(crate) fn owns(&self) -> bool {
        self.report.pools > 0
    }
}

/// Returns the rank of a host for a pool: the lowest goes first. All hosts
/// work out the same order without a message.
pub(crate) fn rank(pool: &str, host: &str) -> u64 {
    xxh3_64(format!("{pool}/{host}").as_bytes())
}
