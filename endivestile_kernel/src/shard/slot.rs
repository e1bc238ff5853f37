//! One shard on one host.

use std::collections::BTreeMap;

use crate::shard::call::Call;
use crate::shard::core::Cx;
use crate::shard::effect::{Role, ShardStatus};
use crate::shard::home::Flight;
use crate::shard::record::ShardRecord;
use crate::shard::rule::{Backing, Seat, Standing};
use crate::shard::table::Table;
use crate::shard::wait::Pending;
use crate::{Level, Metric, Peer, SubmissionId, Time};

/// Period at which a table is searched for ids to forget, in milliseconds.
const SWEEP_MS: u64 = 60_000;

/// The last record seen.
#[derive(Debug)]
pub(crate) struct Seen {
    /// Revision of the key.
    pub(crate) revision: u64,
    /// The last record that could be read.
    pub(crate) record: Option<ShardRecord>,
    /// Whether the key was deleted since, or holds something else.
    pub(crate) broken: bool,
}

/// One shard on one host.
#[derive(Debug)]
pub(crate) struct Slot {
    /// Number of the shard.
    pub(crate) shard: u32,
    /// What this host may do.
    pub(crate) standing: Standing,
    /// The last record seen.
    pub(crate) seen: Option<Seen>,
    /// Ids remembered.
    pub(crate) table: Table,
    /// Epoch of the parts of a table received, 0 when none.
    pub(crate) syncing: u64,
    /// Ids waiting for the witness or for a home.
    pub(crate) pending: BTreeMap<SubmissionId, Pending>,
    /// Waiting ids that are in no batch yet.
    pub(crate) queue: Vec<SubmissionId>,
    /// Tickets that wait for a confirmation and are in no batch yet.
    pub(crate) asks: Vec<u64>,
    /// The batch on its way.
    pub(crate) flight: Option<Flight>,
    /// Epoch under which the table was sent to the witness.
    pub(crate) sync_sent: u64,
    /// Epoch under which the shard was offered to the witness.
    pub(crate) yield_sent: u64,
    /// Epoch under which the home offered the shard to this host.
    pub(crate) yielded: u64,
    /// The host that is to have the shard.
    pub(crate) heir: Option<Peer>,
    /// The open store call.
    pub(crate) call: Option<Call>,
    /// No store call is made before it.
    pub(crate) retry: Option<Time>,
    /// Store calls that failed in a row.
    pub(crate) fails: u32,
    /// Number of a write whose answer was lost.
    pub(crate) doubt: Option<u64>,
    /// Whether the record has to be read before anything is written.
    pub(crate) reread: bool,
    /// The shard may be claimed anew from then on, its table being lost.
    pub(crate) claim_at: Time,
    /// A fenced home writes the record anew at it, if nobody else did.
    pub(crate) renew_at: Time,
    /// Waiting tickets are refused at it.
    pub(crate) stall: Time,
    /// The table is searched for ids to forget at it.
    pub(crate) sweep: Time,
}

impl Slot {
    /// Makes the state of a shard of which nothing is known.
    pub(crate) fn new(shard: u32) -> Self {
        Self {
            shard,
            standing: Standing::default(),
            seen: None,
            table: Table::default(),
            syncing: 0,
            pending: BTreeMap::new(),
            queue: Vec::new(),
            asks: Vec::new(),
            flight: None,
            sync_sent: 0,
            yield_sent: 0,
            yielded: 0,
            heir: None,
            call: None,
            retry: None,
            fails: 0,
            doubt: None,
            reread: false,
            claim_at: Time::NEVER,
            renew_at: Time::NEVER,
            stall: Time::NEVER,
            sweep: Time::ZERO,
        }
    }

    /// Does whatever the state of the shard and of the hosts calls for.
    pub(crate) fn settle(&mut self, cx: &mut Cx<'_>) {
        if let Some(cause) = self.blocked(cx) {
            self.refuse_waiting(cx, cause);
        }
        self.watch_loss(cx);
        self.call_store(cx);
        self.send_table(cx);
        self.send_yield(cx);
        self.pump(cx);
        cx.core.wake(self.deadline(cx.now));
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        self.drop_call(cx);
        if cx.now >= self.sweep {
            self.table.forget(cx.now);
            self.sweep = cx.jittered(SWEEP_MS);
        }
        if cx.now >= self.stall {
            let cause = self.stall_cause();
            self.refuse_waiting(cx, cause);
        }
        self.settle(cx);
    }

    /// Returns when something is due, after what was due at `now` was done.
    fn deadline(&self, now: Time) -> Time {
        let claim = if self.claim_at > now { self.claim_at } else { Time::NEVER };
        let call = match &self.call {
            Some(call) => call.lost_at,
            None => self.retry.unwrap_or(Time::NEVER),
        };
        call.min(claim).min(self.stall).min(self.sweep)
    }

    /// Takes in a record that is later than the last one seen.
    pub(crate) fn see(&mut self, cx: &mut Cx<'_>, revision: u64, record: ShardRecord) {
        let before = self.standing.home;
        let owner = self.owner().cloned();
        self.standing.see(record.epoch, seat(&record, &cx.core.me));
        self.seen = Some(Seen { revision, record: Some(record), broken: false });
        self.fails = 0;
        self.reread = false;
        self.retry = None;
        self.renew_at = Time::NEVER;
        self.change_role(cx, before, owner);
    }

    /// Takes in that the record was deleted or overwritten past the tools.
    ///
    /// Nobody may claim the shard then, for its home may be serving on; home
    /// and witness go on by the last record, and operators see the log line.
    pub(crate) fn see_broken(&mut self, cx: &mut Cx<'_>, revision: u64) {
        let record = self.seen.take().and_then(|seen| seen.record);
        self.seen = Some(Seen { revision, record, broken: true });
        cx.log(Level::Error, "shard_record_broken", self.shard, Vec::new());
    }

    fn change_role(&mut self, cx: &mut Cx<'_>, before: u64, owner: Option<Peer>) {
        let after = self.standing.home;
        if before == 0 && after != 0 {
            self.log_owner(cx, "shard_gained");
            if owner.is_some() {
                cx.count(Metric::Takeovers, 1);
            }
            self.move_waiting(cx);
        } else if before != 0 && after == 0 {
            self.log_owner(cx, "shard_lost");
            self.heir = None;
            self.move_waiting(cx);
        } else if after != before {
            self.log_owner(cx, "shard_renewed");
            self.requeue();
        } else if after == 0 && owner.as_ref() != self.owner() {
            self.move_waiting(cx);
        }
        self.drop_table(after);
    }

    /// Drops a table that no role needs.
    ///
    /// A late record of an earlier epoch must not cost a witness the table
    /// that it got meanwhile: it would take over without knowing any id.
    fn drop_table(&mut self, home: u64) {
        if self.syncing < self.standing.fence {
            self.syncing = 0;
        }
        if home == 0 && self.standing.synced == 0 && self.syncing == 0 {
            self.table.clear();
        }
    }

    fn log_owner(&self, cx: &mut Cx<'_>, event: &'static str) {
        let Some(record) = self.record() else { return };
        let witness = record.witness.as_ref().map_or_else(String::new, Peer::to_string);
        let pairs = vec![
            ("epoch", record.epoch.to_string()),
            ("home", record.home.to_string()),
            ("witness", witness),
            ("ids", self.table.len().to_string()),
        ];
        cx.log(Level::Info, event, self.shard, pairs);
    }

    /// Returns the last record seen.
    pub(crate) fn record(&self) -> Option<&ShardRecord> {
        self.seen.as_ref().and_then(|seen| seen.record.as_ref())
    }

    /// Returns the home by the last record seen.
    pub(crate) fn owner(&self) -> Option<&Peer> {
        self.record().map(|record| &record.home)
    }

    /// Returns how the shard stands, for `me`.
    pub(crate) fn status(&self, me: &Peer) -> ShardStatus {
        let record = self.record();
        let witness = record.and_then(|record| record.witness.clone());
        let role = match () {
            () if self.standing.home != 0 => Role::Home,
            () if witness.as_ref() == Some(me) => Role::Witness,
            () => Role::Other,
        };
        let epoch = record.map_or(0, |record| record.epoch);
        ShardStatus {
            shard: self.shard,
            home: self.owner().cloned(),
            witness,
            epoch,
            role,
            synced: match role {
                Role::Home => self.standing.backing == Backing::Witnessed,
                Role::Witness => self.standing.synced == epoch,
                Role::Other => false,
            },
            ids: self.table.len(),
        }
    }
}

/// Returns the place of `me` in a record.
fn seat(record: &ShardRecord, me: &Peer) -> Seat {
    if record.home == *me {
        return if record.witness.is_some() { Seat::Home } else { Seat::Alone };
    }
    if record.witness.as_ref() == Some(me) { Seat::Witness } else { Seat::Other }
}
