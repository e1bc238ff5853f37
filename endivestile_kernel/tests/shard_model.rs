//! Exhaustive search of the rules of starting: three hosts, one id, few epochs.
//!
//! A message once sent may arrive at any time, in any order, repeatedly or
//! never; swaps take effect late or without an answer; hosts crash, and a host
//! that is not scheduled is a paused one. Suspicion may be wrong at any time;
//! only "gone" is true.

use endivestile_kernel::{Assignment, BatchDecision, FencingState, Replication, SyncDecision};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const HOSTS: usize = 3;
const LAST_EPOCH: u64 = 3;

/// A record of the store; with a floor, the id belongs to a lost table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct Record {
    epoch: u64,
    home: usize,
    witness: Option<usize>,
    floor: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Mail {
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
    seen: Option<Record>,
    /// Whether the table holds the id.
    known: bool,
    /// Whether the id waits for the witness.
    pending: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
struct State {
    hosts: [Host; HOSTS],
    store: Record,
    /// Messages sent, in order.
    mail: Vec<Mail>,
    starts: u8,
}

/// One step of the search, for the trace of a breach.
#[derive(Debug, Clone, Copy)]
enum Step {
    Crash(usize),
    Submit(usize),
    Read(usize),
    TakeOver(usize, Option<usize>),
    Renew(usize, Option<usize>),
    Claim(usize, Option<usize>),
    Deliver(Mail),
}

impl State {
    fn initial() -> Self {
        let host = Host::default();
        let store = Record { epoch: 1, home: 0, witness: Some(1), floor: false };
        let mut state = Self { hosts: [host; HOSTS], store, mail: Vec::new(), starts: 0 };
        state.see(0, store);
        state
    }

    /// Sends a message; none when it was sent before.
    fn post(&mut self, mail: Mail) -> Option<()> {
        let at = self.mail.binary_search(&mail).err()?;
        self.mail.insert(at, mail);
        Some(())
    }

    fn see(&mut self, at: usize, record: Record) {
        let host = &mut self.hosts[at];
        if host.seen.is_some_and(|seen| seen.epoch >= record.epoch) {
            return;
        }
        host.fencing.observe_record(record.epoch, seat(record, at));
        host.seen = Some(record);
        if host.fencing.home_epoch == 0 {
            host.pending = false;
            host.known &= host.fencing.synced_epoch != 0;
        } else if let Some(to) = record.witness {
            let (epoch, known) = (record.epoch, host.known);
            self.post(Mail::Sync { from: at, to, epoch, known });
        }
    }

    fn start(&mut self, at: usize) {
        self.hosts[at].known = true;
        self.hosts[at].pending = false;
        self.starts += 1;
    }

    fn submit(&mut self, at: usize) -> Option<()> {
        let host = self.hosts[at];
        let seen = host.seen.filter(|seen| !seen.floor && !host.known)?;
        if host.fencing.home_epoch == 0 {
            return None;
        }
        if host.fencing.may_start(None) {
            self.start(at);
            return Some(());
        }
        self.hosts[at].pending = true;
        let to = seen.witness.filter(|_| host.fencing.may_send_batch())?;
        let epoch = host.fencing.home_epoch;
        self.post(Mail::Record { from: at, to, epoch })
    }

    fn swap(&mut self, at: usize, epoch: u64, witness: Option<usize>, floor: bool) -> Option<()> {
        if epoch > LAST_EPOCH {
            return None;
        }
        let expect = self.hosts[at].seen?.epoch;
        let record = Record { epoch, home: at, witness, floor };
        self.post(Mail::Swap { expect, record })
    }

    fn take_over(&mut self, at: usize, witness: Option<usize>) -> Option<()> {
        let seen = self.hosts[at].seen.filter(|seen| seen.witness == Some(at))?;
        let epoch = self.hosts[at].fencing.begin_takeover(seen.epoch)?;
        self.swap(at, epoch, witness, seen.floor)
    }

    fn renew(&mut self, at: usize, witness: Option<usize>) -> Option<()> {
        let seen = self.hosts[at].seen?;
        let epoch = self.hosts[at].fencing.renewal_epoch(seen.epoch)?;
        self.swap(at, epoch, witness, seen.floor)
    }

    fn claim(&mut self, at: usize, witness: Option<usize>) -> Option<()> {
        let seen = self.hosts[at].seen?;
        let spare = |peer: usize| peer == at || self.hosts[peer].dead;
        if !self.hosts[seen.home].dead || !seen.witness.is_none_or(spare) {
            return None;
        }
        let epoch = self.hosts[at].fencing.begin_claim(seen.epoch);
        self.swap(at, epoch, witness, true)
    }

    fn deliver(&mut self, mail: Mail) {
        match mail {
            Mail::Record { from, to, epoch } => self.record(from, to, epoch),
            Mail::Recorded { to, epoch } => {
                let host = self.hosts[to];
                if host.pending && host.fencing.may_start(Some(epoch)) {
                    self.start(to);
                }
            }
            Mail::Fenced { to, epoch } => self.hosts[to].fencing.raise_fence(epoch),
            Mail::Sync { from, to, epoch, known } => self.sync(from, to, epoch, known),
            Mail::Synced { to, epoch } => self.hosts[to].fencing.witness_synced(epoch),
            Mail::Swap { expect, record } => {
                if self.store.epoch == expect {
                    self.store = record;
                    self.post(Mail::Swapped { record });
                }
            }
            Mail::Swapped { record } => self.see(record.home, record),
        }
    }

    fn record(&mut self, from: usize, to: usize, epoch: u64) {
        match self.hosts[to].fencing.check_batch(epoch) {
            BatchDecision::Accept => {
                self.hosts[to].known = true;
                self.post(Mail::Recorded { to: from, epoch });
            }
            BatchDecision::Fenced(epoch) => {
                self.post(Mail::Fenced { to: from, epoch });
            }
            BatchDecision::Unsynced => {}
        }
    }

    fn sync(&mut self, from: usize, to: usize, epoch: u64, known: bool) {
        match self.hosts[to].fencing.accept_sync(epoch, true) {
            SyncDecision::Fenced(epoch) => {
                self.post(Mail::Fenced { to: from, epoch });
                return;
            }
            SyncDecision::Duplicate => {}
            SyncDecision::Partial | SyncDecision::Complete => self.hosts[to].known = known,
        }
        self.post(Mail::Synced { to: from, epoch });
    }

    fn apply(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        match step {
            Step::Crash(at) => next.hosts[at] = Host { dead: true, ..Host::default() },
            Step::Submit(at) => next.submit(at)?,
            Step::Read(at) => next.see(at, self.store),
            Step::TakeOver(at, witness) => next.take_over(at, witness)?,
            Step::Renew(at, witness) => next.renew(at, witness)?,
            Step::Claim(at, witness) => next.claim(at, witness)?,
            Step::Deliver(mail) => next.deliver(mail),
        }
        next.prune();
        (next != *self).then_some(next)
    }

    /// Drops the messages that can change nothing any more, whenever they arrive.
    fn prune(&mut self) {
        let (hosts, store) = (self.hosts, self.store);
        self.mail.retain(|&mail| matters(&hosts, store, mail));
    }

    fn steps(&self) -> Vec<Step> {
        // A breach is final: nothing is searched behind it.
        if self.starts > 1 {
            return Vec::new();
        }
        let mut steps = Vec::new();
        for at in (0..HOSTS).filter(|&at| !self.hosts[at].dead) {
            self.host_steps(at, &mut steps);
        }
        for &mail in &self.mail {
            if receiver(mail).is_none_or(|to| !self.hosts[to].dead) {
                steps.push(Step::Deliver(mail));
            }
        }
        steps
    }

    /// Adds the steps of a host that may change something.
    fn host_steps(&self, at: usize, steps: &mut Vec<Step>) {
        let host = self.hosts[at];
        steps.push(Step::Crash(at));
        if host.seen.is_none_or(|seen| seen.epoch < self.store.epoch) {
            steps.push(Step::Read(at));
        }
        if host.fencing.home_epoch != 0 && !host.known {
            steps.push(Step::Submit(at));
        }
        let Some(seen) = host.seen.filter(|seen| seen.epoch < LAST_EPOCH) else { return };
        let others = (0..HOSTS).filter(|&other| other != at).map(Some);
        for witness in others.chain([None]) {
            if seen.witness == Some(at) {
                steps.push(Step::TakeOver(at, witness));
            }
            if host.fencing.home_epoch != 0 {
                steps.push(Step::Renew(at, witness));
            }
            if self.hosts[seen.home].dead {
                steps.push(Step::Claim(at, witness));
            }
        }
    }

    fn successors(&self) -> Vec<Self> {
        self.steps().into_iter().filter_map(|step| self.apply(step)).collect()
    }
}

fn seat(record: Record, at: usize) -> Assignment {
    match record.witness {
        Some(_) if record.home == at => Assignment::Home,
        None if record.home == at => Assignment::SoleHome,
        Some(witness) if witness == at => Assignment::Witness,
        _ => Assignment::Unassigned,
    }
}

fn matters(hosts: &[Host; HOSTS], store: Record, mail: Mail) -> bool {
    let fencing = |at: usize| hosts[at].fencing;
    match mail {
        Mail::Swap { expect, .. } => store.epoch == expect,
        Mail::Swapped { record } => {
            let home = hosts[record.home];
            !home.dead && home.seen.is_none_or(|seen| seen.epoch < record.epoch)
        }
        // Whether a stale one matters is for the rules to say.
        Mail::Recorded { to, .. } => !hosts[to].dead,
        Mail::Synced { to, epoch } => {
            !hosts[to].dead
                && fencing(to).home_epoch == epoch
                && fencing(to).replication == Replication::Syncing
        }
        Mail::Fenced { to, epoch } => !hosts[to].dead && fencing(to).fence < epoch,
        Mail::Sync { from, to, epoch, .. } | Mail::Record { from, to, epoch } => {
            let news = fencing(to).fence <= epoch;
            let fences = !hosts[from].dead && fencing(from).fence < fencing(to).fence;
            !hosts[to].dead && (news || fences)
        }
    }
}

/// Returns the host that a message goes to, none for the store.
fn receiver(mail: Mail) -> Option<usize> {
    match mail {
        Mail::Record { to, .. }
        | Mail::Recorded { to, .. }
        | Mail::Fenced { to, .. }
        | Mail::Sync { to, .. }
        | Mail::Synced { to, .. } => Some(to),
        Mail::Swap { .. } => None,
        Mail::Swapped { record } => Some(record.home),
    }
}

/// Returns the steps between the states of a path.
fn trace(path: &[State]) -> Vec<Step> {
    let step = |from: &State, to: &State| {
        from.steps().into_iter().find(|&step| from.apply(step).as_ref() == Some(to))
    };
    path.windows(2).filter_map(|pair| step(&pair[0], &pair[1])).collect()
}

#[test]
fn standing_never_starts_twice() {
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
