//! State shared by all shards of a host, and the context of one event.

use std::collections::BTreeMap;

use endivestile_config::model::{Name, WitnessZone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::shard::effect::{ShardEffect, ShardSetup};
use crate::shard::record::MAX_CLOCK_SKEW_S;
use crate::{Cause, Class, Level, Metric, Msg, Note, Peer, SubmissionId, Time, View};

/// Delay between the first contact with the store and the first claim of a
/// shard, in milliseconds.
///
/// Hosts that start together discover each other and read the records first.
const STARTUP_CLAIM_DELAY_MS: u64 = 500;

/// A request that waits for admission.
#[derive(Debug)]
pub(crate) struct Ticket {
    /// Shard of the id.
    pub(crate) shard: u32,
    /// Id to start; none for a request to confirm "not run".
    pub(crate) id: Option<SubmissionId>,
}

/// State shared by all shards of a host.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// This incarnation.
    pub(crate) me: Peer,
    /// Availability zone of this host.
    pub(crate) zone: Name,
    /// Wall clock at [`Time::ZERO`], in seconds since 1970.
    start_wall_s: u64,
    /// Resubmission window in seconds.
    pub(crate) window_s: u64,
    /// Zone in which witnesses are preferred.
    pub(crate) witness_zone: WitnessZone,
    /// Random numbers for write ids and jitter.
    rng: SmallRng,
    /// Token of the last store call.
    last_token: u64,
    /// Number of the last batch.
    last_batch: u64,
    /// Shards of the open store calls, by token.
    pub(crate) open_calls: BTreeMap<u64, u32>,
    /// Requests that wait for admission, by ticket.
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    /// Earliest time to claim a shard without a record.
    pub(crate) first_claim: Time,
    /// Time of the next check for shards to give to other hosts.
    pub(crate) rebalance_at: Time,
    /// Whether this host is draining before a planned stop.
    pub(crate) draining: bool,
    /// Latest time until which a draining host waits for its shards to be transferred.
    pub(crate) drain_deadline: Time,
    /// Whether a draining host cannot transfer its shards: it has no live peer, or
    /// the deadline has passed.
    pub(crate) transfer_blocked: bool,
    /// Time of the next timer.
    pub(crate) next_wake: Time,
}

impl SharedState {
    /// Creates the state of a host at startup.
    pub(crate) fn new(setup: ShardSetup) -> Self {
        Self {
            me: setup.me,
            zone: setup.zone,
            start_wall_s: setup.wall_s,
            window_s: 0,
            witness_zone: WitnessZone::default(),
            rng: SmallRng::seed_from_u64(setup.seed),
            last_token: 0,
            last_batch: 0,
            open_calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            first_claim: Time::NEVER,
            rebalance_at: Time::ZERO,
            draining: false,
            drain_deadline: Time::NEVER,
            transfer_blocked: false,
            next_wake: Time::NEVER,
        }
    }

    /// Returns the wall clock in seconds since 1970, derived from the monotonic clock.
    pub(crate) fn wall_s(&self, now: Time) -> u64 {
        self.start_wall_s + now.as_micros() / 1_000_000
    }

    /// Schedules a tick at `at` or earlier.
    pub(crate) fn wake_at(&mut self, at: Time) {
        self.next_wake = self.next_wake.min(at);
    }
}

/// Time, hosts and output list that come with an event.
pub(crate) struct Env<'a> {
    /// Current time on this host's clock.
    pub(crate) now: Time,
    /// Known hosts and their states.
    pub(crate) view: &'a View,
    /// Effects for the kernel to carry out.
    pub(crate) effects: &'a mut Vec<ShardEffect>,
}

impl<'a> Env<'a> {
    /// Adds the shared state.
    pub(crate) fn with(self, shared: &'a mut SharedState) -> Context<'a> {
        Context { now: self.now, view: self.view, shared, effects: self.effects }
    }
}

/// Context in which a shard handles one event.
pub(crate) struct Context<'a> {
    /// Current time on this host's clock.
    pub(crate) now: Time,
    /// Known hosts and their states.
    pub(crate) view: &'a View,
    /// State shared by all shards.
    pub(crate) shared: &'a mut SharedState,
    /// Effects for the kernel to carry out.
    pub(crate) effects: &'a mut Vec<ShardEffect>,
}

impl Context<'_> {
    /// Starts the delay of the first claim once the store answers.
    pub(crate) fn start_claim_delay(&mut self) {
        if self.view.store_available && self.shared.first_claim == Time::NEVER {
            self.shared.first_claim = self.now.after_ms(STARTUP_CLAIM_DELAY_MS);
            self.shared.wake_at(self.shared.first_claim);
        }
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, to: Peer, msg: Msg) {
        self.effects.push(ShardEffect::Send { to, msg });
    }

    /// Adds `by` to a counter.
    pub(crate) fn count(&mut self, metric: Metric, by: u64) {
        self.effects.push(ShardEffect::Count(metric, by));
    }

    /// Writes a log line about a shard.
    pub(crate) fn log(
        &mut self,
        level: Level,
        event: &'static str,
        shard: u32,
        mut pairs: Vec<(&'static str, String)>,
    ) {
        pairs.insert(0, ("shard", shard.to_string()));
        self.effects.push(ShardEffect::Log(Note { level, event, id: None, pairs }));
    }

    /// Grants a ticket.
    pub(crate) fn grant(&mut self, ticket: u64) {
        if self.shared.tickets.remove(&ticket).is_some() {
            self.effects.push(ShardEffect::Granted { ticket });
        }
    }

    /// Refuses a ticket with class `Unknown`: whether its id has run cannot be determined.
    pub(crate) fn refuse(&mut self, ticket: u64, cause: Cause) {
        if self.shared.tickets.remove(&ticket).is_some() {
            self.effects.push(ShardEffect::Refused { ticket, class: Class::Unknown, cause });
        }
    }

    /// Returns a ticket to the kernel, which requests admission again.
    pub(crate) fn readmit(&mut self, ticket: u64) {
        if self.shared.tickets.remove(&ticket).is_some() {
            self.effects.push(ShardEffect::Readmit { ticket });
        }
    }

    /// Registers a store call of a shard and returns its token.
    pub(crate) fn register_call(&mut self, shard: u32) -> u64 {
        self.shared.last_token += 1;
        self.shared.open_calls.insert(self.shared.last_token, shard);
        self.shared.last_token
    }

    /// Returns the number of a new batch.
    pub(crate) fn next_batch(&mut self) -> u64 {
        self.shared.last_batch += 1;
        self.shared.last_batch
    }

    /// Returns a random number that identifies a write, practically unique across hosts.
    pub(crate) fn write_id(&mut self) -> u64 {
        self.shared.rng.random()
    }

    /// Returns a random time between `millis / 2` and `millis` from now.
    pub(crate) fn jittered(&mut self, millis: u64) -> Time {
        let micros = millis * 1_000;
        let delay_us = self.shared.rng.random_range(micros / 2..=micros);
        self.now.after_us(delay_us)
    }

    /// Returns when an id that arrives now may be dropped from the table.
    pub(crate) fn retention_end(&self) -> Time {
        self.now.after_ms((self.shared.window_s + 2 * MAX_CLOCK_SKEW_S) * 1_000)
    }
}
