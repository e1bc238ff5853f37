//! A few hosts' shards over a fake store and fake links, in virtual time.

mod links;
mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use endivestile_config::model::{Name, Rules};
use endivestile_kernel::{
    Admission, Class, HostState, HostView, Peer, ShardEffect, ShardRecord, ShardSetup, Shards,
    SubmissionId, Time, View,
};

use crate::world::links::Letter;
use crate::world::store::{Call, Watched};

/// Seconds since 1970 at the start of a world.
pub(crate) const WALL_S: u64 = 1_800_000_000;
/// Silence after which a host is suspected.
const SUSPECT_MS: u64 = 30;
/// Time of a store call.
const STORE_MS: u64 = 3;

/// Whether a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Run {
    Up,
    Paused,
    Dead,
}

/// What became of a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Fate {
    Started,
    NotRun,
    Known,
    Unknown,
}

struct Node {
    peer: Peer,
    born: u64,
    shards: Shards,
    run: Run,
    leaving: bool,
    view: View,
    /// Incarnations and states of all hosts in the view.
    states: Vec<(u64, HostState)>,
    /// Last instant at which each other host was in reach.
    heard: Vec<u64>,
}

/// A start of an id.
#[derive(Debug)]
#[allow(dead_code, reason = "the host is printed on failure")]
pub(crate) struct Start {
    pub(crate) id: SubmissionId,
    pub(crate) node: usize,
    pub(crate) at: u64,
    pub(crate) waited: u64,
}

struct Ask {
    id: SubmissionId,
    digest: Option<u64>,
    since: u64,
}

pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) rules: Rules,
    nodes: Vec<Node>,
    zones: Vec<usize>,
    links: BTreeMap<(usize, usize), VecDeque<Letter>>,
    pub(crate) delay_ms: BTreeMap<(usize, usize), u64>,
    pub(crate) cut: BTreeSet<(usize, usize)>,
    pub(crate) store_up: bool,
    /// Delay of the watch on the records.
    pub(crate) watch_ms: u64,
    /// Store answers to lose after the effect.
    pub(crate) lose: u32,
    values: BTreeMap<Name, (u64, Bytes)>,
    revision: u64,
    calls: Vec<Call>,
    watch: Vec<Watched>,
    asks: BTreeMap<u64, Ask>,
    tickets: u64,
    pub(crate) fates: BTreeMap<u64, Fate>,
    pub(crate) starts: Vec<Start>,
    pub(crate) store_calls: usize,
    pub(crate) messages: usize,
    /// Peers of which the platform says that they are gone.
    gone: BTreeSet<Peer>,
}

impl World {
    /// Makes hosts, one for each zone number given.
    pub(crate) fn new(zones: &[usize], shards: u32) -> Self {
        Self::with_window(zones, shards, 600)
    }

    pub(crate) fn with_window(zones: &[usize], shards: u32, window_s: u64) -> Self {
        let mut world = Self {
            now: 0,
            rules: Rules { shards, window_s, ..Rules::default() },
            nodes: Vec::new(),
            zones: zones.to_vec(),
            links: BTreeMap::new(),
            delay_ms: BTreeMap::new(),
            cut: BTreeSet::new(),
            store_up: true,
            watch_ms: 5,
            lose: 0,
            values: BTreeMap::new(),
            revision: 0,
            calls: Vec::new(),
            watch: Vec::new(),
            asks: BTreeMap::new(),
            tickets: 0,
            fates: BTreeMap::new(),
            starts: Vec::new(),
            store_calls: 0,
            messages: 0,
            gone: BTreeSet::new(),
        };
        world.nodes = (0..zones.len()).map(|index| world.boot(index, 1)).collect();
        world
    }

    fn boot(&self, index: usize, birth: u64) -> Node {
        let peer = Peer::new(format!("host{index}"), birth);
        let zone = Name::from(format!("zone{}", self.zones[index]));
        let mut shards = Shards::new(ShardSetup {
            me: peer.clone(),
            zone: zone.clone(),
            wall_s: WALL_S + self.now / 1_000,
            seed: index as u64 * 1_000 + birth,
        });
        shards.configure(&self.rules);
        let view = View {
            me: peer.clone(),
            zone,
            hosts: BTreeMap::new(),
            store_available: false,
            has_inventory: false,
        };
        let heard = vec![self.now; self.zones.len()];
        let (born, run, leaving, states) = (self.now, Run::Up, false, Vec::new());
        Node { peer, born, shards, run, leaving, view, states, heard }
    }

    pub(crate) fn crash(&mut self, node: usize) {
        self.nodes[node].run = Run::Dead;
        self.links.retain(|&(_, to), _| to != node);
    }

    /// Starts a new incarnation of a host, whose registration all others see at once.
    pub(crate) fn restart(&mut self, node: usize) {
        self.crash(node);
        self.links.retain(|&(from, _), _| from != node);
        self.nodes[node] = self.boot(node, self.nodes[node].peer.birth + 1);
        for shard in 0..self.rules.shards {
            if let Some((revision, value)) = self.values.get(&ShardRecord::key(shard)).cloned() {
                self.watch.push(Watched { at: self.now + 5, node, shard, revision, value });
            }
        }
    }

    pub(crate) fn record(&self, shard: u32) -> Option<ShardRecord> {
        self.values.get(&ShardRecord::key(shard)).and_then(|(_, value)| ShardRecord::decode(value))
    }

    /// Returns the index of a record's home.
    pub(crate) fn home(&self, shard: u32) -> usize {
        let home = self.record(shard).expect("owned").home;
        self.nodes.iter().position(|node| node.peer.host == home.host).expect("a host")
    }

    /// Returns the index of a record's witness.
    pub(crate) fn witness(&self, shard: u32) -> usize {
        let peer = self.record(shard).and_then(|record| record.witness).expect("witnessed");
        self.nodes.iter().position(|node| node.peer.host == peer.host).expect("a host")
    }

    pub(crate) fn run(&self, node: usize) -> Run {
        self.nodes[node].run
    }

    pub(crate) fn is_leaving(&self, node: usize) -> bool {
        self.nodes[node].leaving
    }

    pub(crate) fn set_run(&mut self, node: usize, run: Run) {
        self.nodes[node].run = run;
    }

    pub(crate) fn shards(&self, node: usize) -> &Shards {
        &self.nodes[node].shards
    }

    /// Lets the platform say that a dead host's machine is gone.
    pub(crate) fn declare_gone(&mut self, node: usize) {
        self.gone.insert(self.nodes[node].peer.clone());
    }

    /// Cuts a pair of hosts both ways, or heals it.
    pub(crate) fn set_cut(&mut self, a: usize, b: usize, cut: bool) {
        for pair in [(a, b), (b, a)] {
            if cut {
                self.cut.insert(pair)
            } else {
                self.cut.remove(&pair)
            };
        }
    }

    pub(crate) fn leave(&mut self, node: usize) {
        self.nodes[node].leaving = true;
        self.event(node, |shards, now, view, out| shards.start_drain(now, view, out));
    }

    /// Submits at a host; follows forwards. Returns the ticket.
    pub(crate) fn submit(&mut self, node: usize, id: &SubmissionId) -> u64 {
        self.ask(node, id, Some(7))
    }

    /// Asks a host to confirm that an id did not run.
    pub(crate) fn confirm(&mut self, node: usize, id: &SubmissionId) -> u64 {
        self.ask(node, id, None)
    }

    pub(crate) fn withdraw(&mut self, node: usize, ticket: u64) {
        self.nodes[node].shards.cancel(ticket);
    }

    fn ask(&mut self, node: usize, id: &SubmissionId, digest: Option<u64>) -> u64 {
        self.tickets += 1;
        let since = self.now;
        self.asks.insert(self.tickets, Ask { id: id.clone(), digest, since });
        self.admit(node, self.tickets, 3);
        self.tickets
    }

    fn admit(&mut self, node: usize, ticket: u64, hops: u32) {
        if self.nodes[node].run != Run::Up {
            return;
        }
        let (id, digest) = (self.asks[&ticket].id.clone(), self.asks[&ticket].digest);
        let mut admit = Admission::Wait;
        self.event(node, |shards, now, view, out| {
            admit = match digest {
                Some(digest) => shards.admit(now, view, &id, digest, ticket, out),
                None => shards.confirm_not_run(now, view, &id, ticket, out),
            };
        });
        match admit {
            Admission::Wait => {}
            Admission::Known(_) => self.end(ticket, Fate::Known),
            Admission::Refused(class, _) => self.end(ticket, fate(class)),
            Admission::Forward(peer) => self.forward(node, &peer, ticket, hops),
        }
    }

    fn forward(&mut self, node: usize, peer: &Peer, ticket: u64, hops: u32) {
        let to = self.nodes.iter().position(|other| other.peer == *peer);
        match to.filter(|&to| hops > 0 && self.reaches(node, to)) {
            Some(to) => self.admit(to, ticket, hops - 1),
            None => self.end(ticket, Fate::Unknown),
        }
    }

    fn end(&mut self, ticket: u64, fate: Fate) {
        assert!(self.fates.insert(ticket, fate).is_none(), "ticket {ticket} answered twice");
    }

    fn granted(&mut self, node: usize, ticket: u64) {
        let ask = &self.asks[&ticket];
        if ask.digest.is_some() {
            let id = ask.id.clone();
            let twice = self.starts.iter().any(|start| start.id == id);
            let waited = self.now - ask.since;
            self.starts.push(Start { id, node, at: self.now, waited });
            assert!(!twice, "started twice: {:?}", self.starts);
            return self.end(ticket, Fate::Started);
        }
        let ran = self.starts.iter().any(|start| start.id == ask.id && start.at < ask.since);
        assert!(!ran, "not run was said of {}, which ran", ask.id);
        self.end(ticket, Fate::NotRun);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[to].run == Run::Up && !self.cut.contains(&(from, to))
    }

    fn event(
        &mut self,
        node: usize,
        act: impl FnOnce(&mut Shards, Time, &View, &mut Vec<ShardEffect>),
    ) {
        let mut out = Vec::new();
        let now = self.clock(node);
        let host = &mut self.nodes[node];
        act(&mut host.shards, now, &host.view, &mut out);
        for effect in out {
            self.apply(node, effect);
        }
    }

    fn apply(&mut self, node: usize, effect: ShardEffect) {
        match effect {
            ShardEffect::Send { to, msg } => self.send(node, &to, msg),
            ShardEffect::Store { token, op } => {
                let birth = self.nodes[node].peer.birth;
                self.store_calls += 1;
                self.calls.push(Call { at: self.now + STORE_MS, node, birth, token, op });
            }
            ShardEffect::Granted { ticket } => self.granted(node, ticket),
            ShardEffect::Refused { ticket, class, .. } => self.end(ticket, fate(class)),
            ShardEffect::Readmit { ticket } => self.admit(node, ticket, 3),
            ShardEffect::Log(_) | ShardEffect::Count(..) => {}
        }
    }

    fn clock(&self, node: usize) -> Time {
        Time::ZERO.after_ms(self.now - self.nodes[node].born)
    }

    /// Lets virtual time pass.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now + millis;
        // Whatever a test changed just now is seen in the first step.
        let mut next = self.now + 1;
        while self.now < end {
            self.now = next.min(end);
            self.serve_store();
            self.deliver();
            for node in 0..self.nodes.len() {
                if self.nodes[node].run == Run::Up {
                    self.look(node);
                    self.tick(node);
                }
            }
            next = self.next_event();
        }
    }

    /// Returns the next instant at which anything can happen.
    fn next_event(&self) -> u64 {
        let next = self.now + 1;
        let quiet = self.calls.is_empty() && self.watch.is_empty();
        if !quiet || self.links.values().any(|link| !link.is_empty()) || self.is_doubting() {
            return next;
        }
        let due = |node: &Node| {
            let due = node.shards.deadline().filter(|_| node.run == Run::Up)?;
            Some(node.born + due.as_micros().div_ceil(1_000))
        };
        self.nodes.iter().filter_map(due).min().unwrap_or(u64::MAX).max(next)
    }

    /// Returns whether a host out of reach is not suspected yet.
    fn is_doubting(&self) -> bool {
        let doubts = |node: usize, other: usize| {
            let silence = self.now - self.nodes[node].heard[other];
            !self.reaches(other, node) && silence <= SUSPECT_MS
        };
        let hosts = 0..self.nodes.len();
        hosts.clone().any(|node| hosts.clone().any(|other| doubts(node, other)))
    }

    fn tick(&mut self, node: usize) {
        let now = self.clock(node);
        if self.nodes[node].shards.deadline().is_some_and(|due| due <= now) {
            self.event(node, |shards, now, view, out| shards.tick(now, view, out));
        }
    }

    fn look(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            if self.reaches(other, node) && self.nodes[other].run == Run::Up {
                self.nodes[node].heard[other] = self.now;
            }
        }
        let states: Vec<_> = (0..self.nodes.len()).map(|other| self.sight(node, other)).collect();
        let store_available = self.store_up;
        if states == self.nodes[node].states
            && store_available == self.nodes[node].view.store_available
        {
            return;
        }
        let hosts = (0..self.nodes.len()).map(|other| self.host_view(other, &states)).collect();
        self.nodes[node].view = View { hosts, store_available, ..self.nodes[node].view.clone() };
        self.nodes[node].states = states;
        self.event(node, |shards, now, view, out| shards.handle_view_change(now, view, out));
    }

    /// Returns the incarnation and state of a host as another one sees it.
    fn sight(&self, node: usize, other: usize) -> (u64, HostState) {
        let peer = &self.nodes[other].peer;
        let silent = self.now - self.nodes[node].heard[other] > SUSPECT_MS;
        let state = match () {
            () if self.gone.contains(peer) => HostState::Gone,
            () if silent => HostState::Suspect,
            () if self.nodes[other].leaving => HostState::Leaving,
            () => HostState::Live,
        };
        (peer.birth, state)
    }

    fn host_view(&self, other: usize, states: &[(u64, HostState)]) -> (Name, HostView) {
        let peer = self.nodes[other].peer.clone();
        let zone = Name::from(format!("zone{}", self.zones[other]));
        let (address, state) = (Name::from("127.0.0.1:1"), states[other].1);
        (peer.host.clone(), HostView { peer, zone, address, weight: 1, state })
    }
}

fn fate(class: Class) -> Fate {
    match class {
        Class::NotRun => Fate::NotRun,
        Class::Unknown => Fate::Unknown,
    }
}

/// Makes the id `number`, dated at `now_ms` of a world.
pub(crate) fn id(now_ms: u64, number: usize) -> SubmissionId {
    let secs = WALL_S + now_ms / 1_000;
    SubmissionId::parse(&format!("{secs}:order-{number}")).expect("a dated id")
}
