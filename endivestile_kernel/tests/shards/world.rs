//! Simulates the shards of several hosts, a store and links in virtual time.

mod links;
mod store;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use bytes::Bytes;
use endivestile_config::model::{Name, Rules};
use endivestile_kernel::{
    Admission, Class, HostState, HostView, Peer, ShardEffect, ShardRecord, ShardSetup, Shards,
    SubmissionId, Time, View,
};

use crate::world::links::Envelope;
use crate::world::store::{StoreCall, WatchEvent};

/// Wall clock at the start of a simulation, in seconds since 1970.
pub(crate) const WALL_S: u64 = 1_800_000_000;
/// Time without contact after which a host is suspected, in milliseconds.
const SUSPECT_AFTER_MS: u64 = 30;
/// Duration of a store call, in milliseconds.
const STORE_CALL_MS: u64 = 3;

/// State of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ProcessState {
    Running,
    Paused,
    Crashed,
}

/// How a ticket was answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum TicketResult {
    Started,
    NotRun,
    Known,
    Unknown,
}

struct Node {
    peer: Peer,
    started_ms: u64,
    shards: Shards,
    process: ProcessState,
    draining: bool,
    view: View,
    /// Incarnation and state of each host in the view.
    states: Vec<(u64, HostState)>,
    /// Last time at which each host was reachable, in milliseconds.
    last_reachable: Vec<u64>,
}

/// The start of a submission.
#[derive(Debug)]
#[allow(dead_code, reason = "the host is printed on failure")]
pub(crate) struct Start {
    pub(crate) id: SubmissionId,
    pub(crate) node: usize,
    pub(crate) at_ms: u64,
    pub(crate) waited_ms: u64,
}

struct Request {
    id: SubmissionId,
    digest: Option<u64>,
    since_ms: u64,
}

pub(crate) struct World {
    pub(crate) now_ms: u64,
    pub(crate) rules: Rules,
    nodes: Vec<Node>,
    zones: Vec<usize>,
    links: BTreeMap<(usize, usize), VecDeque<Envelope>>,
    pub(crate) delay_ms: BTreeMap<(usize, usize), u64>,
    pub(crate) partitions: BTreeSet<(usize, usize)>,
    pub(crate) store_up: bool,
    /// Delay of watch events, in milliseconds.
    pub(crate) watch_delay_ms: u64,
    /// Number of next store calls that take effect but lose their reply.
    pub(crate) lost_replies: u32,
    records: BTreeMap<Name, (u64, Bytes)>,
    revision: u64,
    open_calls: Vec<StoreCall>,
    watch_events: Vec<WatchEvent>,
    requests: BTreeMap<u64, Request>,
    last_ticket: u64,
    pub(crate) results: BTreeMap<u64, TicketResult>,
    pub(crate) starts: Vec<Start>,
    pub(crate) store_calls: usize,
    pub(crate) sent_messages: usize,
    /// Peers that the platform has declared gone.
    gone: BTreeSet<Peer>,
}

impl World {
    /// Starts one host for each zone number.
    pub(crate) fn new(zones: &[usize], shards: u32) -> Self {
        Self::with_window(zones, shards, 600)
    }

    pub(crate) fn with_window(zones: &[usize], shards: u32, window_s: u64) -> Self {
        let mut world = Self {
            now_ms: 0,
            rules: Rules { shards, window_s, ..Rules::default() },
            nodes: Vec::new(),
            zones: zones.to_vec(),
            links: BTreeMap::new(),
            delay_ms: BTreeMap::new(),
            partitions: BTreeSet::new(),
            store_up: true,
            watch_delay_ms: 5,
            lost_replies: 0,
            records: BTreeMap::new(),
            revision: 0,
            open_calls: Vec::new(),
            watch_events: Vec::new(),
            requests: BTreeMap::new(),
            last_ticket: 0,
            results: BTreeMap::new(),
            starts: Vec::new(),
            store_calls: 0,
            sent_messages: 0,
            gone: BTreeSet::new(),
        };
        world.nodes = (0..zones.len()).map(|index| world.start_host(index, 1)).collect();
        world
    }

    fn start_host(&self, index: usize, birth: u64) -> Node {
        let peer = Peer::new(format!("host{index}"), birth);
        let zone = Name::from(format!("zone{}", self.zones[index]));
        let mut shards = Shards::new(ShardSetup {
            me: peer.clone(),
            zone: zone.clone(),
            wall_s: WALL_S + self.now_ms / 1_000,
            seed: index as u64 * 1_000 + birth,
        });
        shards.configure(&self.rules);
        let view = View {
            me: peer.clone(),
            zone,
            hosts: BTreeMap::new(),
            ended: BTreeSet::new(),
            store_available: false,
            has_inventory: false,
        };
        let last_reachable = vec![self.now_ms; self.zones.len()];
        let (started_ms, process, draining, states) =
            (self.now_ms, ProcessState::Running, false, Vec::new());
        Node { peer, started_ms, shards, process, draining, view, states, last_reachable }
    }

    pub(crate) fn crash(&mut self, node: usize) {
        self.nodes[node].process = ProcessState::Crashed;
        self.links.retain(|&(_, to), _| to != node);
    }

    /// Starts a new incarnation of a host, which all other hosts observe at once.
    pub(crate) fn restart(&mut self, node: usize) {
        self.crash(node);
        self.links.retain(|&(from, _), _| from != node);
        self.nodes[node] = self.start_host(node, self.nodes[node].peer.birth + 1);
        for shard in 0..self.rules.shards {
            if let Some((revision, value)) = self.records.get(&ShardRecord::key(shard)).cloned() {
                self.watch_events.push(WatchEvent {
                    at_ms: self.now_ms + 5,
                    node,
                    shard,
                    revision,
                    value,
                });
            }
        }
    }

    pub(crate) fn record(&self, shard: u32) -> Option<ShardRecord> {
        self.records.get(&ShardRecord::key(shard)).and_then(|(_, value)| ShardRecord::decode(value))
    }

    /// Returns the index of a shard's home.
    pub(crate) fn home(&self, shard: u32) -> usize {
        let home = self.record(shard).expect("owned").home;
        self.nodes.iter().position(|node| node.peer.host == home.host).expect("a host")
    }

    /// Returns the index of a shard's witness.
    pub(crate) fn witness(&self, shard: u32) -> usize {
        let peer = self.record(shard).and_then(|record| record.witness).expect("witnessed");
        self.nodes.iter().position(|node| node.peer.host == peer.host).expect("a host")
    }

    pub(crate) fn process(&self, node: usize) -> ProcessState {
        self.nodes[node].process
    }

    pub(crate) fn is_draining(&self, node: usize) -> bool {
        self.nodes[node].draining
    }

    pub(crate) fn set_process(&mut self, node: usize, process: ProcessState) {
        self.nodes[node].process = process;
    }

    pub(crate) fn shards(&self, node: usize) -> &Shards {
        &self.nodes[node].shards
    }

    /// Makes the platform declare the machine of a crashed host gone.
    pub(crate) fn declare_gone(&mut self, node: usize) {
        self.gone.insert(self.nodes[node].peer.clone());
    }

    /// Partitions a pair of hosts in both directions, or heals the partition.
    pub(crate) fn set_partition(&mut self, a: usize, b: usize, partitioned: bool) {
        for pair in [(a, b), (b, a)] {
            if partitioned {
                self.partitions.insert(pair)
            } else {
                self.partitions.remove(&pair)
            };
        }
    }

    pub(crate) fn drain(&mut self, node: usize) {
        self.nodes[node].draining = true;
        self.handle(node, |shards, now, view, out| shards.start_drain(now, view, out));
    }

    /// Submits an id at a host, follows forwards and returns the ticket.
    pub(crate) fn submit(&mut self, node: usize, id: &SubmissionId) -> u64 {
        self.request(node, id, Some(7))
    }

    /// Requests confirmation from a host that an id did not run.
    pub(crate) fn confirm_not_run(&mut self, node: usize, id: &SubmissionId) -> u64 {
        self.request(node, id, None)
    }

    pub(crate) fn cancel(&mut self, node: usize, ticket: u64) {
        self.nodes[node].shards.cancel(ticket);
    }

    fn request(&mut self, node: usize, id: &SubmissionId, digest: Option<u64>) -> u64 {
        self.last_ticket += 1;
        let since_ms = self.now_ms;
        self.requests.insert(self.last_ticket, Request { id: id.clone(), digest, since_ms });
        self.admit(node, self.last_ticket, 3);
        self.last_ticket
    }

    fn admit(&mut self, node: usize, ticket: u64, hops: u32) {
        if self.nodes[node].process != ProcessState::Running {
            return;
        }
        let (id, digest) = (self.requests[&ticket].id.clone(), self.requests[&ticket].digest);
        let mut admission = Admission::Wait;
        self.handle(node, |shards, now, view, out| {
            admission = match digest {
                Some(digest) => shards.admit(now, view, &id, digest, ticket, out),
                None => shards.confirm_not_run(now, view, &id, ticket, out),
            };
        });
        match admission {
            Admission::Wait => {}
            Admission::Known(_) => self.resolve(ticket, TicketResult::Known),
            Admission::Refused(class, _) => self.resolve(ticket, result(class)),
            Admission::Forward(peer) => self.forward(node, &peer, ticket, hops),
        }
    }

    fn forward(&mut self, node: usize, peer: &Peer, ticket: u64, hops: u32) {
        let to = self.nodes.iter().position(|other| other.peer == *peer);
        match to.filter(|&to| hops > 0 && self.reaches(node, to)) {
            Some(to) => self.admit(to, ticket, hops - 1),
            None => self.resolve(ticket, TicketResult::Unknown),
        }
    }

    fn resolve(&mut self, ticket: u64, result: TicketResult) {
        assert!(self.results.insert(ticket, result).is_none(), "ticket {ticket} answered twice");
    }

    fn granted(&mut self, node: usize, ticket: u64) {
        let request = &self.requests[&ticket];
        if request.digest.is_some() {
            let id = request.id.clone();
            let twice = self.starts.iter().any(|start| start.id == id);
            let waited_ms = self.now_ms - request.since_ms;
            self.starts.push(Start { id, node, at_ms: self.now_ms, waited_ms });
            assert!(!twice, "started twice: {:?}", self.starts);
            return self.resolve(ticket, TicketResult::Started);
        }
        let ran = self
            .starts
            .iter()
            .any(|start| start.id == request.id && start.at_ms < request.since_ms);
        assert!(!ran, "{} was answered not run, but ran", request.id);
        self.resolve(ticket, TicketResult::NotRun);
    }

    fn reaches(&self, from: usize, to: usize) -> bool {
        self.nodes[to].process == ProcessState::Running && !self.partitions.contains(&(from, to))
    }

    fn handle(
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
                self.open_calls.push(StoreCall {
                    at_ms: self.now_ms + STORE_CALL_MS,
                    node,
                    birth,
                    token,
                    op,
                });
            }
            ShardEffect::Granted { ticket } => self.granted(node, ticket),
            ShardEffect::Refused { ticket, class, .. } => self.resolve(ticket, result(class)),
            ShardEffect::Readmit { ticket } => self.admit(node, ticket, 3),
            ShardEffect::Log(_) | ShardEffect::Count(..) => {}
        }
    }

    fn clock(&self, node: usize) -> Time {
        Time::ZERO.after_ms(self.now_ms - self.nodes[node].started_ms)
    }

    /// Advances virtual time.
    pub(crate) fn advance(&mut self, millis: u64) {
        let end = self.now_ms + millis;
        // The first step handles changes made by the test since the last call.
        let mut next = self.now_ms + 1;
        while self.now_ms < end {
            self.now_ms = next.min(end);
            self.serve_store();
            self.deliver();
            for node in 0..self.nodes.len() {
                if self.nodes[node].process == ProcessState::Running {
                    self.update_view(node);
                    self.tick(node);
                }
            }
            next = self.next_event();
        }
    }

    /// Returns the next time at which anything can happen, in milliseconds.
    fn next_event(&self) -> u64 {
        let next = self.now_ms + 1;
        let idle = self.open_calls.is_empty() && self.watch_events.is_empty();
        if !idle || self.links.values().any(|link| !link.is_empty()) || self.has_open_suspicion() {
            return next;
        }
        let due = |node: &Node| {
            let due = node.shards.deadline().filter(|_| node.process == ProcessState::Running)?;
            Some(node.started_ms + due.as_micros().div_ceil(1_000))
        };
        self.nodes.iter().filter_map(due).min().unwrap_or(u64::MAX).max(next)
    }

    /// Returns whether any unreachable host is not suspected yet.
    fn has_open_suspicion(&self) -> bool {
        let suspicion_open = |node: usize, other: usize| {
            let unreachable_ms = self.now_ms - self.nodes[node].last_reachable[other];
            !self.reaches(other, node) && unreachable_ms <= SUSPECT_AFTER_MS
        };
        let hosts = 0..self.nodes.len();
        hosts.clone().any(|node| hosts.clone().any(|other| suspicion_open(node, other)))
    }

    fn tick(&mut self, node: usize) {
        let now = self.clock(node);
        if self.nodes[node].shards.deadline().is_some_and(|due| due <= now) {
            self.handle(node, |shards, now, view, out| shards.tick(now, view, out));
        }
    }

    fn update_view(&mut self, node: usize) {
        for other in 0..self.nodes.len() {
            if self.reaches(other, node) && self.nodes[other].process == ProcessState::Running {
                self.nodes[node].last_reachable[other] = self.now_ms;
            }
        }
        let states: Vec<_> =
            (0..self.nodes.len()).map(|other| self.observed_state(node, other)).collect();
        let store_available = self.store_up;
        if states == self.nodes[node].states
            && store_available == self.nodes[node].view.store_available
        {
            return;
        }
        let hosts = (0..self.nodes.len()).map(|other| self.host_view(other, &states)).collect();
        self.nodes[node].view = View { hosts, store_available, ..self.nodes[node].view.clone() };
        self.nodes[node].states = states;
        self.handle(node, |shards, now, view, out| shards.handle_view_change(now, view, out));
    }

    /// Returns the incarnation and state of a host as observed by another host.
    fn observed_state(&self, node: usize, other: usize) -> (u64, HostState) {
        let peer = &self.nodes[other].peer;
        let unreachable = self.now_ms - self.nodes[node].last_reachable[other] > SUSPECT_AFTER_MS;
        let state = match () {
            () if self.gone.contains(peer) => HostState::Gone,
            () if unreachable => HostState::Suspect,
            () if self.nodes[other].draining => HostState::Leaving,
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

fn result(class: Class) -> TicketResult {
    match class {
        Class::NotRun => TicketResult::NotRun,
        Class::Unknown => TicketResult::Unknown,
    }
}

/// Returns the id `number`, dated `date_ms` after the start of the simulation.
pub(crate) fn id(date_ms: u64, number: usize) -> SubmissionId {
    let secs = WALL_S + date_ms / 1_000;
    SubmissionId::parse(&format!("{secs}:order-{number}")).expect("a dated id")
}
