//! Calls forwarded to other hosts, and submissions parked for another attempt.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::run::Waiter;
use crate::{Peer, Submission, Time};

/// The request of a forwarded call.
#[derive(Debug, Clone)]
pub(crate) enum ForwardedRequest {
    /// A submission.
    Submission(Arc<Submission>),
    /// A query or a cancellation.
    Ask,
}

/// A call forwarded to another host, which answers it.
#[derive(Debug, Clone)]
pub(crate) struct Forward {
    /// Recipient of the answer.
    pub(crate) waiter: Waiter,
    /// The request.
    pub(crate) request: ForwardedRequest,
    /// Host to which it was forwarded.
    pub(crate) to: Peer,
    /// When to give up.
    pub(crate) due: Time,
    /// Number of times it was forwarded, including by this host.
    pub(crate) hops: u8,
    /// Until when to wait for another home.
    pub(crate) park_until: Time,
}

/// A submission waiting for its shard to get a usable home.
#[derive(Debug, Clone)]
pub(crate) struct Parked {
    /// Recipient of the answer.
    pub(crate) waiter: Waiter,
    /// The submission.
    pub(crate) submission: Arc<Submission>,
    /// Number of times it was forwarded.
    pub(crate) hops: u8,
    /// Until when to wait for a usable home.
    pub(crate) park_until: Time,
}

/// All forwarded calls and parked submissions.
#[derive(Debug, Default)]
pub(crate) struct Forwards {
    forwards: BTreeMap<u64, Forward>,
    due: BTreeSet<(Time, u64)>,
    parked: BTreeMap<(Time, u64), Parked>,
    next: u64,
}

impl Forwards {
    /// Adds a forwarded call and returns its number.
    pub(crate) fn add(&mut self, forward: Forward) -> u64 {
        self.next += 1;
        self.due.insert((forward.due, self.next));
        self.forwards.insert(self.next, forward);
        self.next
    }

    /// Removes and returns a forwarded call.
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

    /// Removes and returns a forwarded call that was not answered in time.
    pub(crate) fn pop_late(&mut self, now: Time) -> Option<Forward> {
        let &(due, call) = self.due.first()?;
        if due > now { None } else { self.take(call) }
    }

    /// Removes and returns a parked submission that is due.
    pub(crate) fn pop_parked(&mut self, now: Time) -> Option<Parked> {
        let (&(at, number), _) = self.parked.first_key_value()?;
        if at > now { None } else { self.parked.remove(&(at, number)) }
    }

    /// Removes and returns all calls forwarded to hosts that match `predicate`.
    pub(crate) fn take_to(&mut self, predicate: impl Fn(&Peer) -> bool) -> Vec<Forward> {
        let matching = self.forwards.iter().filter(|(_, forward)| predicate(&forward.to));
        let calls: Vec<u64> = matching.map(|(call, _)| *call).collect();
        calls.into_iter().filter_map(|call| self.take(call)).collect()
    }

    /// Returns when the next step is due.
    pub(crate) fn deadline(&self) -> Option<Time> {
        let late = self.due.first().map(|&(due, _)| due);
        let parked = self.parked.first_key_value().map(|(&(at, _), _)| at);
        [late, parked].into_iter().flatten().min()
    }

    /// Returns the number of forwarded calls and parked submissions.
    pub(crate) fn len(&self) -> usize {
        self.forwards.len() + self.parked.len()
    }
}
