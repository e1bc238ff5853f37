//! What all shards of a host have in common, and the context of one event.

use std::collections::BTreeMap;

use endivestile_config::model::{Name, WitnessZone};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::shard::effect::{ShardEffect, ShardSetup};
use crate::shard::record::MARGIN_S;
use crate::{Cause, Class, Level, Metric, Msg, Note, Peer, SubmissionId, Time, View};

/// Time from the first sight of the store to the first claim of a shard, in
/// milliseconds: hosts that start together see each other and the records first.
const START_MS: u64 = 500;

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
pub(crate) struct Core {
    /// This incarnation.
    pub(crate) me: Peer,
    /// Availability zone of this host.
    pub(crate) zone: Name,
    /// Seconds since 1970 at [`Time::ZERO`].
    wall_s: u64,
    /// Resubmission window in seconds.
    pub(crate) window_s: u64,
    /// Where witnesses are kept.
    pub(crate) witness: WitnessZone,
    /// Source of write ids and jitter.
    rng: SmallRng,
    /// Number of the next store call.
    token: u64,
    /// Number of the next batch of records.
    batch: u64,
    /// Open store calls and their shards.
    pub(crate) calls: BTreeMap<u64, u32>,
    /// Waiting tickets.
    pub(crate) tickets: BTreeMap<u64, Ticket>,
    /// Unowned shards are not claimed before it.
    pub(crate) open: Time,
    /// No shard is handed to another host before it.
    pub(crate) move_at: Time,
    /// Whether this host is stopping.
    pub(crate) leaving: bool,
    /// A stopping host waits for its shards to change hands until then.
    pub(crate) leave_by: Time,
    /// Whether no shard of a stopping host can change hands.
    pub(crate) stuck: bool,
    /// Earliest instant at which something is due.
    pub(crate) due: Time,
}

impl Core {
    /// Makes the state of a host that starts.
    pub(crate) fn new(setup: ShardSetup) -> Self {
        Self {
            me: setup.me,
            zone: setup.zone,
            wall_s: setup.wall_s,
            window_s: 0,
            witness: WitnessZone::default(),
            rng: SmallRng::seed_from_u64(setup.seed),
            token: 0,
            batch: 0,
            calls: BTreeMap::new(),
            tickets: BTreeMap::new(),
            open: Time::NEVER,
            move_at: Time::ZERO,
            leaving: false,
            leave_by: Time::NEVER,
            stuck: false,
            due: Time::NEVER,
        }
    }

    /// Returns the seconds since 1970 by this host's monotonic clock.
    pub(crate) fn wall_s(&self, now: Time) -> u64 {
        self.wall_s + now.as_micros() / 1_000_000
    }

    /// Notes that something is due at `at`.
    pub(crate) fn wake(&mut self, at: Time) {
        self.due = self.due.min(at);
    }
}

/// What comes with every event.
pub(crate) struct Event<'a> {
    /// Now, on this host's clock.
    pub(crate) now: Time,
    /// The hosts.
    pub(crate) view: &'a View,
    /// What is asked of the kernel.
    pub(crate) out: &'a mut Vec<ShardEffect>,
}

impl<'a> Event<'a> {
    /// Returns the event with the state that it changes.
    pub(crate) fn with(self, core: &'a mut Core) -> Cx<'a> {
        Cx { now: self.now, view: self.view, core, out: self.out }
    }
}

/// One event on its way through the shards.
pub(crate) struct Cx<'a> {
    /// Now, on this host's clock.
    pub(crate) now: Time,
    /// The hosts.
    pub(crate) view: &'a View,
    /// State that all shards share.
    pub(crate) core: &'a mut Core,
    /// What is asked of the kernel.
    pub(crate) out: &'a mut Vec<ShardEffect>,
}

impl Cx<'_> {
    /// Notes the first sight of the store.
    pub(crate) fn open_store(&mut self) {
        if self.view.store && self.core.open == Time::NEVER {
            self.core.open = self.now.after_ms(START_MS);
            self.core.wake(self.core.open);
        }
    }

    /// Sends a message.
    pub(crate) fn send(&mut self, to: Peer, msg: Msg) {
        self.out.push(ShardEffect::Send { to, msg });
    }

    /// Counts an event.
    pub(crate) fn count(&mut self, metric: Metric, by: u64) {
        self.out.push(ShardEffect::Count(metric, by));
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
        self.out.push(ShardEffect::Log(Note { level, event, id: None, pairs }));
    }

    /// Grants a ticket.
    pub(crate) fn grant(&mut self, ticket: u64) {
        if self.core.tickets.remove(&ticket).is_some() {
            self.out.push(ShardEffect::Granted { ticket });
        }
    }

    /// Refuses a ticket; of its id nothing can be proved.
    pub(crate) fn refuse(&mut self, ticket: u64, cause: Cause) {
        if self.core.tickets.remove(&ticket).is_some() {
            self.out.push(ShardEffect::Refused { ticket, class: Class::Unknown, cause });
        }
    }

    /// Sends a ticket back for admission.
    pub(crate) fn moved(&mut self, ticket: u64) {
        if self.core.tickets.remove(&ticket).is_some() {
            self.out.push(ShardEffect::Moved { ticket });
        }
    }

    /// Returns a number for a store call of a shard.
    pub(crate) fn open_call(&mut self, shard: u32) -> u64 {
        self.core.token += 1;
        self.core.calls.insert(self.core.token, shard);
        self.core.token
    }

    /// Returns a number for a batch.
    pub(crate) fn next_batch(&mut self) -> u64 {
        self.core.batch += 1;
        self.core.batch
    }

    /// Returns a number that no other write of any host bears, as good as surely.
    pub(crate) fn write_id(&mut self) -> u64 {
        self.core.rng.random()
    }

    /// Returns an instant between half of `millis` and `millis` from now.
    pub(crate) fn jittered(&mut self, millis: u64) -> Time {
        let micros = millis * 1_000;
        let wait = self.core.rng.random_range(micros / 2..=micros);
        self.now.after_us(wait)
    }

    /// Returns when an id that arrives now may be forgotten.
    pub(crate) fn forget_at(&self) -> Time {
        self.now.after_ms((self.core.window_s + 2 * MARGIN_S) * 1_000)
    }
}
