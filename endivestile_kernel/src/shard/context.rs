//! What all shards of a host have in common, and the context of one event.

use std::collections::BTreeMap;

use endivestile_config::model::{Name, WitnessZone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::shard::effect::{ShardEffect, ShardSetup};
use crate::shard::record::MAX_CLOCK_SKEW_S;
use crate::{Cause, Class, Level, Metric, Msg, Note, Peer, SubmissionId, Time, View};

/// Time from the first sight of the store to the first claim of a shard, in
/// milliseconds: hosts that start together see each other and the records first.
const STARTUP_CLAIM_DELAY_MS: u64 = 500;

/// A ticket that waits, and where.
#[derive(Debug)]
pub(crate) struct Ticket {
    /// Shard.
    pub(crate) shard: u32,
    /// The id to be started; none when only "not run" is to be confirmed.
    pub(crate) id: Option<SubmissionId>,
}

/// State that all shards share.
#[derive(Debug)]
pub(crate) struct SharedState {
    /// This incarnation.
    pub(crate) me: Peer,
    /// Availability zone of this host.
    pub(crate) zone: Name,
    /// Seconds since 1970 at [`Time::ZERO`].
    start_wall_s: u64,
    /// Resubmission window in seconds.
    pub(crate) window_s: u64,
    /// Where witnesses are kept.
    pub(crate) witness_zone: WitnessZone,
    /// Source of write ids and jitter.
    rng: SmallRng,
    /// Number of the next store call.
    last_token: u64,
    /// Number of the next batch of records.
    last_batch: u64,
    /// Open store calls and their shards.
    pub(crate) open_calls: BTreeMap<u64, u32>,
    /// Waiting tickets.
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    /// Unowned shards are not claimed before it.
    pub(crate) first_claim: Time,
    /// No shard is handed to another host before it.
    pub(crate) rebalance_at: Time,
    /// Whether this host is stopping.
    pub(crate) draining: bool,
    /// A stopping host waits for its shards to change hands until then.
    pub(crate) drain_deadline: Time,
    /// Whether no shard of a stopping host can change hands.
    pub(crate) transfer_blocked: bool,
    /// Earliest instant at which something is due.
    pub(crate) next_wake: Time,
}

impl SharedState {
    /// Makes the state of a host that starts.
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

    /// Returns the seconds since 1970 by this host's monotonic clock.
    pub(crate) fn wall_s(&self, now: Time) -> u64 {
        self.start_wall_s + now.as_micros() / 1_000_000
    }

    /// Notes that something is due at `at`.
    pub(crate) fn wake_at(&mut self, at: Time) {
        self.next_wake = self.next_wake.min(at);
    }
}

/// What comes with every event.
pub(crate) struct Env<'a> {
    /// Now, on this host's clock.
    pub(crate) now: Time,
    /// The hosts.
    pub(crate) view: &'a View,
    /// What is asked of the kernel.
    pub(crate) effects: &'a mut Vec<ShardEffect>,
}

impl<'a> Env<'a> {
    /// Returns the event with the state that it changes.
    pub(crate) fn with(self, shared: &'a mut SharedState) -> Context<'a> {
        Context { now: self.now, view: self.view, shared, effects: self.effects }
    }
}

/// One event on its way through the shards.
pub(crate) struct Context<'a> {
    /// Now, on this host's clock.
    pub(crate) now: Time,
    /// The hosts.
    pub(crate) view: &'a View,
    /// State that all shards share.
    pub(crate) shared: &'a mut SharedState,
    /// What is asked of the kernel.
    pub(crate) effects: &'a mut Vec<ShardEffect>,
}

impl Context<'_> {
    /// Notes the first sight of the store.
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

    /// Counts an event.
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

    /// Refuses a ticket; of its id nothing can be proved.
    pub(crate) fn refuse(&mut self, ticket: u64, cause: Cause) {
        if self.shared.tickets.remove(&ticket).is_some() {
            self.effects.push(ShardEffect::Refused { ticket, class: Class::Unknown, cause });
        }
    }

    /// Sends a ticket back for admission.
    pub(crate) fn readmit(&mut self, ticket: u64) {
        if self.shared.tickets.remove(&ticket).is_some() {
            self.effects.push(ShardEffect::Readmit { ticket });
        }
    }

    /// Returns a number for a store call of a shard.
    pub(crate) fn register_call(&mut self, shard: u32) -> u64 {
        self.shared.last_token += 1;
        self.shared.open_calls.insert(self.shared.last_token, shard);
        self.shared.last_token
    }

    /// Returns a number for a batch.
    pub(crate) fn next_batch(&mut self) -> u64 {
        self.shared.last_batch += 1;
        self.shared.last_batch
    }

    /// Returns a number that no other write of any host bears, as good as surely.
    pub(crate) fn write_id(&mut self) -> u64 {
        self.shared.rng.random()
    }

    /// Returns an instant between half of `millis` and `millis` from now.
    pub(crate) fn jittered(&mut self, millis: u64) -> Time {
        let micros = millis * 1_000;
        let wait = self.shared.rng.random_range(micros / 2..=micros);
        self.now.after_us(wait)
    }

    /// Returns when an id that arrives now may be forgotten.
    pub(crate) fn forget_at(&self) -> Time {
        self.now.after_ms((self.shared.window_s + 2 * MAX_CLOCK_SKEW_S) * 1_000)
    }
}
