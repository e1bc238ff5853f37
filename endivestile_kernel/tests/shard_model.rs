//! Model checker of the fencing rules: three hosts, one id and three epochs.
//!
//! A message may arrive at any time, in any order, repeatedly or never. Swaps
//! may take effect late or without a reply. Hosts crash, and a host that takes
//! no step is paused. A host may be suspected wrongly, but not declared gone
//! wrongly.

use endivestile_kernel::{Assignment, BatchDecision, FencingState, Replication, SyncDecision};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const HOSTS: usize = 3;
const LAST_EPOCH: u64 = 3;

/// A record in the store; with a floor, the id belongs to a lost table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Record {
    epoch: u64,
    home: usize,
    witness: Option<usize>,
    floor: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Record { from: usize, to: usize, epoch: u64 },
    Recorded { to: usize, epoch: u64 },
    Fenced { to: usize, epoch: u64 },
    Sync { from: usize, to: usize, epoch: u64, known: bool },
    Synced { to: usize, epoch: u64 },
    Swap { expect: u64, record: Record },
    Swapped { record: Record },
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
struct Host {
    dead: bool,
    fencing: FencingState,
    observed: Option<Record>,
    /// Whether the table holds the id.
    known: bool,
    /// Whether the id waits for the witness's acknowledgement.
    pending: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct State {
    hosts: [Host; HOSTS],
    store: Record,
    /// Messages sent, sorted and without duplicates.
    messages: Vec<Message>,
    starts: u8,
}

/// One step of the search, printed in the trace of a violation.
#[derive(Debug, Clone, Copy)]
enum Step {
    Crash(usize),
    Submit(usize),
    Read(usize),
    TakeOver(usize, Option<usize>),
    Renew(usize, Option<usize>),
    Claim(usize, Option<usize>),
    Deliver(Message),
}

impl State {
    fn initial() -> Self {
        let host = Host::default();
        let store = Record { epoch: 1, home: 0, witness: Some(1), floor: false };
        let mut state = Self { hosts: [host; HOSTS], store, messages: Vec::new(), starts: 0 };
        state.observe(0, store);
        state
    }

    /// Sends a message; returns none if it was sent before.
    fn send(&mut self, message: Message) -> Option<()> {
        let at = self.messages.binary_search(&message).err()?;
        self.messages.insert(at, message);
        Some(())
    }

    fn observe(&mut self, at: usize, record: Record) {
        let host = &mut self.hosts[at];
        if host.observed.is_some_and(|observed| observed.epoch >= record.epoch) {
            return;
        }
        host.fencing.observe_record(record.epoch, assignment(record, at));
        host.observed = Some(record);
        if host.fencing.home_epoch == 0 {
            host.pending = false;
            host.known &= host.fencing.synced_epoch != 0;
        } else if let Some(to) = record.witness {
            let (epoch, known) = (record.epoch, host.known);
            self.send(Message::Sync { from: at, to, epoch, known });
        }
    }

    fn start(&mut self, at: usize) {
        self.hosts[at].known = true;
        self.hosts[at].pending = false;
        self.starts += 1;
    }

    fn submit(&mut self, at: usize) -> Option<()> {
        let host = self.hosts[at];
        let observed = host.observed.filter(|observed| !observed.floor && !host.known)?;
        if host.fencing.home_epoch == 0 {
            return None;
        }
        if host.fencing.may_start(None) {
            self.start(at);
            return Some(());
        }
        self.hosts[at].pending = true;
        let to = observed.witness.filter(|_| host.fencing.may_send_batch())?;
        let epoch = host.fencing.home_epoch;
        self.send(Message::Record { from: at, to, epoch })
    }

    fn swap(&mut self, at: usize, epoch: u64, witness: Option<usize>, floor: bool) -> Option<()> {
        if epoch > LAST_EPOCH {
            return None;
        }
        let expect = self.hosts[at].observed?.epoch;
        let record = Record { epoch, home: at, witness, floor };
        self.send(Message::Swap { expect, record })
    }

    fn take_over(&mut self, at: usize, witness: Option<usize>) -> Option<()> {
        let observed = self.hosts[at].observed.filter(|observed| observed.witness == Some(at))?;
        let epoch = self.hosts[at].fencing.begin_takeover(observed.epoch)?;
        self.swap(at, epoch, witness, observed.floor)
    }

    fn renew(&mut self, at: usize, witness: Option<usize>) -> Option<()> {
        let observed = self.hosts[at].observed?;
        let epoch = self.hosts[at].fencing.renewal_epoch(observed.epoch)?;
        self.swap(at, epoch, witness, observed.floor)
    }

    fn claim(&mut self, at: usize, witness: Option<usize>) -> Option<()> {
        let observed = self.hosts[at].observed?;
        let lost = |peer: usize| peer == at || self.hosts[peer].dead;
        if !self.hosts[observed.home].dead || !observed.witness.is_none_or(lost) {
            return None;
        }
        let epoch = self.hosts[at].fencing.begin_claim(observed.epoch);
        self.swap(at, epoch, witness, true)
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Record { from, to, epoch } => self.record(from, to, epoch),
            Message::Recorded { to, epoch } => {
                let host = self.hosts[to];
                if host.pending && host.fencing.may_start(Some(epoch)) {
                    self.start(to);
                }
            }
            Message::Fenced { to, epoch } => self.hosts[to].fencing.raise_fence(epoch),
            Message::Sync { from, to, epoch, known } => self.sync(from, to, epoch, known),
            Message::Synced { to, epoch } => self.hosts[to].fencing.witness_synced(epoch),
            Message::Swap { expect, record } => {
                if self.store.epoch == expect {
                    self.store = record;
                    self.send(Message::Swapped { record });
                }
            }
            Message::Swapped { record } => self.observe(record.home, record),
        }
    }

    fn record(&mut self, from: usize, to: usize, epoch: u64) {
        match self.hosts[to].fencing.check_batch(epoch) {
            BatchDecision::Accept => {
                self.hosts[to].known = true;
                self.send(Message::Recorded { to: from, epoch });
            }
            BatchDecision::Fenced(epoch) => {
                self.send(Message::Fenced { to: from, epoch });
            }
            BatchDecision::Unsynced => {}
        }
    }

    fn sync(&mut self, from: usize, to: usize, epoch: u64, known: bool) {
        match self.hosts[to].fencing.accept_sync(epoch, true) {
            SyncDecision::Fenced(epoch) => {
                self.send(Message::Fenced { to: from, epoch });
                return;
            }
            SyncDecision::Duplicate => {}
            SyncDecision::Partial | SyncDecision::Complete => self.hosts[to].known = known,
        }
        self.send(Message::Synced { to: from, epoch });
    }

    fn apply(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        match step {
            Step::Crash(at) => next.hosts[at] = Host { dead: true, ..Host::default() },
            Step::Submit(at) => next.submit(at)?,
            Step::Read(at) => next.observe(at, self.store),
            Step::TakeOver(at, witness) => next.take_over(at, witness)?,
            Step::Renew(at, witness) => next.renew(at, witness)?,
            Step::Claim(at, witness) => next.claim(at, witness)?,
            Step::Deliver(message) => next.deliver(message),
        }
        next.prune();
        (next != *self).then_some(next)
    }

    /// Drops messages that cannot change any state, whenever they arrive.
    fn prune(&mut self) {
        let (hosts, store) = (self.hosts, self.store);
        self.messages.retain(|&message| may_change_state(&hosts, store, message));
    }

    fn steps(&self) -> Vec<Step> {
        // The search ends at a violation.
        if self.starts > 1 {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for at in (0..HOSTS).filter(|&at| !self.hosts[at].dead) {
            self.host_steps(at, &mut steps);
        }
        for &message in &self.messages {
            if receiver(message).is_none_or(|to| !self.hosts[to].dead) {
                steps.push(Step::Deliver(message));
            }
        }
        steps
    }

    /// Adds the steps of a host that may change the state.
    fn host_steps(&self, at: usize, steps: &mut Vec<Step>) {
        let host = self.hosts[at];
        steps.push(Step::Crash(at));
        if host.observed.is_none_or(|observed| observed.epoch < self.store.epoch) {
            steps.push(Step::Read(at));
        }
        if host.fencing.home_epoch != 0 && !host.known {
            steps.push(Step::Submit(at));
        }
        let Some(observed) = host.observed.filter(|last| last.epoch < LAST_EPOCH) else { return };
        let others = (0..HOSTS).filter(|&other| other != at).map(Some);
        for witness in others.chain([None]) {
            if observed.witness == Some(at) {
                steps.push(Step::TakeOver(at, witness));
            }
            if host.fencing.home_epoch != 0 {
                steps.push(Step::Renew(at, witness));
            }
            if self.hosts[observed.home].dead {
                steps.push(Step::Claim(at, witness));
            }
        }
    }

    fn successors(&self) -> Vec<Self> {
        self.steps().into_iter().filter_map(|step| self.apply(step)).collect()
    }
}

fn assignment(record: Record, at: usize) -> Assignment {
    match record.witness {
        Some(_) if record.home == at => Assignment::Home,
        None if record.home == at => Assignment::SoleHome,
        Some(witness) if witness == at => Assignment::Witness,
        _ => Assignment::Unassigned,
    }
}

fn may_change_state(hosts: &[Host; HOSTS], store: Record, message: Message) -> bool {
    let fencing_of = |at: usize| hosts[at].fencing;
    match message {
        Message::Swap { expect, .. } => store.epoch == expect,
        Message::Swapped { record } => {
            let home = hosts[record.home];
            !home.dead && home.observed.is_none_or(|observed| observed.epoch < record.epoch)
        }
        // Stale acknowledgements are kept: the rules under test have to reject them.
        Message::Recorded { to, .. } => !hosts[to].dead,
        Message::Synced { to, epoch } => {
            !hosts[to].dead
                && fencing_of(to).home_epoch == epoch
                && fencing_of(to).replication == Replication::Syncing
        }
        Message::Fenced { to, epoch } => !hosts[to].dead && fencing_of(to).fence < epoch,
        Message::Sync { from, to, epoch, .. } | Message::Record { from, to, epoch } => {
            let accepted = fencing_of(to).fence <= epoch;
            let fences_sender = !hosts[from].dead && fencing_of(from).fence < fencing_of(to).fence;
            !hosts[to].dead && (accepted || fences_sender)
        }
    }
}

/// Returns the receiving host of a message, none for the store.
fn receiver(message: Message) -> Option<usize> {
    match message {
        Message::Record { to, .. }
        | Message::Recorded { to, .. }
        | Message::Fenced { to, .. }
        | Message::Sync { to, .. }
        | Message::Synced { to, .. } => Some(to),
        Message::Swap { .. } => None,
        Message::Swapped { record } => Some(record.home),
    }
}

/// Returns the steps that lead along a path of states.
fn trace(path: &[State]) -> Vec<Step> {
    let step = |from: &State, to: &State| {
        from.steps().into_iter().find(|&step| from.apply(step).as_ref() == Some(to))
    };
    path.windows(2).filter_map(|pair| step(&pair[0], &pair[1])).collect()
}

#[test]
fn fencing_never_starts_twice() {
    let start = State::initial();
    let mut states = 0;
    for state in bfs_reach(start.clone(), State::successors) {
        states += 1;
        if state.starts > 1 {
            let path = bfs(&start, State::successors, |state| state.starts > 1);
            panic!("started twice: {:#?}", trace(&path.unwrap_or_default()));
        }
    }
    println!("states searched: {states}");
}
