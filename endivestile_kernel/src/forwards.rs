//! Calls that were passed on, or wait to be passed on again.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::run::Waiter;
use crate::{Peer, Submission, Time};

/// What was passed on.
#[derive(Debug, Clone)]
pub(crate) enum Forwarded {
    /// A submission.
    Submission(Arc<Submission>),
    /// A question or a cancellation.
    Ask,
}

/// A call that another host is to answer.
#[derive(Debug, Clone)]
pub(crate) struct Forward {
    /// Who waits.
    pub(crate) waiter: Waiter,
    /// What was passed on.
    pub(crate) request: Forwarded,
    /// To whom.
    pub(crate) to: Peer,
    /// When to give up.
    pub(crate) due: Time,
    /// Hosts that have passed it on, this one among them.
    pub(crate) hops: u8,
    /// Until when another home is waited for.
    pub(crate) until: Time,
}

/// A submission that waits for its shard to get a usable home.
#[derive(Debug, Clone)]
pub(crate) struct Parked {
    /// Who waits.
    pub(crate) waiter: Waiter,
    /// What is to run.
    pub(crate) submission: Arc<Submission>,
    /// Hosts that have passed it on.
    pub(crate) hops: u8,
    /// Until when to wait.
    pub(crate) until: Time,
}

/// All calls passed on or parked.
#[derive(Debug, Default)]
pub(crate) struct Forwards {
    forwards: BTreeMap<u64, Forward>,
    due: BTreeSet<(Time, u64)>,
    parked: BTreeMap<(Time, u64), Parked>,
    next: u64,
}

impl Forwards {
    /// Notes a call as passed on and returns its number.
    pub(crate) fn add(&mut self, forward: Forward) -> u64 {
        self.next += 1;
        self.due.insert((forward.due, self.next));
        self.forwards.insert(self.next, forward);
        self.next
    }

    /// Takes a call that was passed on back.
    pub(crate) fn take(&mut self, call: u64) -> Option<Forward> {
        let forward = self.forwards.remove(&call)?;
        self.due.remove(&(forward.due, call));
        Some(forward)
    }

    /// Parks a submission until `at`.
    pub(crate) fn park(&mut self, at: Time, parked: Parked) {
        self.next += 1;
        self.parked.insert((at, self.next), parked);
    }

    /// Returns a call that was passed on and not answered in time.
    pub(crate) fn pop_late(&mut self, now: Time) -> Option<Forward> {
        let &(due, call) = self.due.first()?;
        if due > now { None } else { self.take(call) }
    }

    /// Returns a parked submission whose time has come.
    pub(crate) fn pop_parked(&mut self, now: Time) -> Option<Parked> {
        let (&(at, number), _) = self.parked.first_key_value()?;
        if at > now { None } else { self.parked.remove(&(at, number)) }
    }

    /// Takes back all calls passed on to hosts that `pick` picks.
    pub(crate) fn take_to(&mut self, pick: impl Fn(&Peer) -> bool) -> Vec<Forward> {
        let picked = self.forwards.iter().filter(|(_, forward)| pick(&forward.to));
        let calls: Vec<u64> = picked.map(|(call, _)| *call).collect();
        calls.into_iter().filter_map(|call| self.take(call)).collect()
    }

    /// Returns when the next step is due.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let late = self.due.first().map(|&(due, _)| due);
        let parked = self.parked.first_key_value().map(|(&(at, _), _)| at);
        [late, parked].into_iter().flatten().min()
    }

    /// Returns how many calls are passed on or parked.
    pub(crate) fn len(&self) -> usize {
        self.forwards.len() + self.parked.len()
    }
}
