//! One shard on one host.

use std::collections::BTreeMap;

use crate::shard::context::Context;
use crate::shard::effect::{ShardRole, ShardStatus};
use crate::shard::fencing::{Assignment, FencingState, Replication};
use crate::shard::home::Batch;
use crate::shard::id_table::IdTable;
use crate::shard::pending::PendingId;
use crate::shard::record::ShardRecord;
use crate::shard::store_call::StoreCall;
use crate::{Level, Metric, Peer, SubmissionId, Time};

/// Period at which a table is searched for ids to forget, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// The last record seen.
#[derive(Debug)]
pub(crate) struct ObservedRecord {
    /// Revision of the key.
    pub(crate) revision: u64,
    /// The last record that could be read.
    pub(crate) record: Option<ShardRecord>,
    /// Whether the key was deleted since, or holds something else.
    pub(crate) invalid: bool,
}

/// One shard on one host.
#[derive(Debug)]
pub(crate) struct Replica {
    /// Number of the shard.
    pub(crate) shard: u32,
    /// What this host may do.
    pub(crate) fencing: FencingState,
    /// The last record seen.
    pub(crate) observed: Option<ObservedRecord>,
    /// Ids remembered.
    pub(crate) table: IdTable,
    /// Epoch of the parts of a table received, 0 when none.
    pub(crate) syncing_epoch: u64,
    /// Ids waiting for the witness or for a home.
    pub(crate) pending: BTreeMap<SubmissionId, PendingId>,
    /// Waiting ids that are in no batch yet.
    pub(crate) queue: Vec<SubmissionId>,
    /// Tickets that wait for a confirmation and are in no batch yet.
    pub(crate) confirmations: Vec<u64>,
    /// The batch on its way.
    pub(crate) in_flight: Option<Batch>,
    /// Epoch under which the table was sent to the witness.
    pub(crate) copied_epoch: u64,
    /// Epoch under which the shard was offered to the witness.
    pub(crate) offered_epoch: u64,
    /// Epoch under which the home offered the shard to this host.
    pub(crate) yielded_epoch: u64,
    /// The host that is to have the shard.
    pub(crate) successor: Option<Peer>,
    /// The open store call.
    pub(crate) call: Option<StoreCall>,
    /// No store call is made before it.
    pub(crate) retry_at: Option<Time>,
    /// Store calls that failed in a row.
    pub(crate) failures: u32,
    /// Number of a write whose answer was lost.
    pub(crate) unconfirmed_write: Option<u64>,
    /// Whether the record has to be read before anything is written.
    pub(crate) needs_read: bool,
    /// The shard may be claimed anew from then on, its table being lost.
    pub(crate) claim_at: Time,
    /// A fenced home writes the record anew at it, if nobody else did.
    pub(crate) renew_at: Time,
    /// Waiting tickets are refused at it.
    pub(crate) stall_at: Time,
    /// The table is searched for ids to forget at it.
    pub(crate) sweep_at: Time,
}

impl Replica {
    /// Makes the state of a shard of which nothing is known.
    pub(crate) fn new(shard: u32) -> Self {
        Self {
            shard,
            fencing: FencingState::default(),
            observed: None,
            table: IdTable::default(),
            syncing_epoch: 0,
            pending: BTreeMap::new(),
            queue: Vec::new(),
            confirmations: Vec::new(),
            in_flight: None,
            copied_epoch: 0,
            offered_epoch: 0,
            yielded_epoch: 0,
            successor: None,
            call: None,
            retry_at: None,
            failures: 0,
            unconfirmed_write: None,
            needs_read: false,
            claim_at: Time::NEVER,
            renew_at: Time::NEVER,
            stall_at: Time::NEVER,
            sweep_at: Time::ZERO,
        }
    }

    /// Does whatever the state of the shard and of the hosts calls for.
    pub(crate) fn reconcile(&mut self, cx: &mut Context<'_>) {
        if let Some(cause) = self.blocked_cause(cx) {
            self.refuse_waiting(cx, cause);
        }
        self.update_claim_timer(cx);
        self.call_store(cx);
        self.send_table(cx);
        self.offer_shard(cx);
        self.process_queue(cx);
        cx.shared.wake_at(self.next_deadline(cx.now));
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        self.expire_call(cx);
        if cx.now >= self.sweep_at {
            self.table.forget(cx.now);
            self.sweep_at = cx.jittered(SWEEP_INTERVAL_MS);
        }
        if cx.now >= self.stall_at {
            let cause = self.stall_cause();
            self.refuse_waiting(cx, cause);
        }
        self.reconcile(cx);
    }

    /// Returns when something is due, after what was due at `now` was done.
    fn next_deadline(&self, now: Time) -> Time {
        let claim = if self.claim_at > now { self.claim_at } else { Time::NEVER };
        let call = match &self.call {
            Some(call) => call.expires_at,
            None => self.retry_at.unwrap_or(Time::NEVER),
        };
        call.min(claim).min(self.stall_at).min(self.sweep_at)
    }

    /// Takes in a record that is later than the last one seen.
    pub(crate) fn apply_record(
        &mut self,
        cx: &mut Context<'_>,
        revision: u64,
        record: ShardRecord,
    ) {
        let before = self.fencing.home_epoch;
        let home = self.home().cloned();
        self.fencing.observe_record(record.epoch, assignment(&record, &cx.shared.me));
        self.observed = Some(ObservedRecord { revision, record: Some(record), invalid: false });
        self.failures = 0;
        self.needs_read = false;
        self.retry_at = None;
        self.renew_at = Time::NEVER;
        self.apply_role_change(cx, before, home);
    }

    /// Takes in that the record was deleted or overwritten past the tools.
    ///
    /// Nobody may claim the shard then, for its home may be serving on; home
    /// and witness go on by the last record, and operators see the log line.
    pub(crate) fn apply_invalid_record(&mut self, cx: &mut Context<'_>, revision: u64) {
        let record = self.observed.take().and_then(|observed| observed.record);
        self.observed = Some(ObservedRecord { revision, record, invalid: true });
        cx.log(Level::Error, "shard_record_broken", self.shard, Vec::new());
    }

    fn apply_role_change(&mut self, cx: &mut Context<'_>, before: u64, home: Option<Peer>) {
        let after = self.fencing.home_epoch;
        if before == 0 && after != 0 {
            self.log_record(cx, "shard_gained");
            if home.is_some() {
                cx.count(Metric::Takeovers, 1);
            }
            self.readmit_waiting(cx);
        } else if before != 0 && after == 0 {
            self.log_record(cx, "shard_lost");
            self.successor = None;
            self.readmit_waiting(cx);
        } else if after != before {
            self.log_record(cx, "shard_renewed");
            self.requeue();
        } else if after == 0 && home.as_ref() != self.home() {
            self.readmit_waiting(cx);
        }
        self.drop_unneeded_table(after);
    }

    /// Drops a table that no role needs.
    ///
    /// A late record of an earlier epoch must not cost a witness the table
    /// that it got meanwhile: it would take over without knowing any id.
    fn drop_unneeded_table(&mut self, home: u64) {
        if self.syncing_epoch < self.fencing.fence {
            self.syncing_epoch = 0;
        }
        if home == 0 && self.fencing.synced_epoch == 0 && self.syncing_epoch == 0 {
            self.table.clear();
        }
    }

    fn log_record(&self, cx: &mut Context<'_>, event: &'static str) {
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
        self.observed.as_ref().and_then(|observed| observed.record.as_ref())
    }

    /// Returns the home by the last record seen.
    pub(crate) fn home(&self) -> Option<&Peer> {
        self.record().map(|record| &record.home)
    }

    /// Returns how the shard stands, for `me`.
    pub(crate) fn status(&self, me: &Peer) -> ShardStatus {
        let record = self.record();
        let witness = record.and_then(|record| record.witness.clone());
        let role = match () {
            () if self.fencing.home_epoch != 0 => ShardRole::Home,
            () if witness.as_ref() == Some(me) => ShardRole::Witness,
            () => ShardRole::Other,
        };
        let epoch = record.map_or(0, |record| record.epoch);
        ShardStatus {
            shard: self.shard,
            home: self.home().cloned(),
            witness,
            epoch,
            role,
            synced: match role {
                ShardRole::Home => self.fencing.replication == Replication::InSync,
                ShardRole::Witness => self.fencing.synced_epoch == epoch,
                ShardRole::Other => false,
            },
            ids: self.table.len(),
        }
    }
}

/// Returns the place of `me` in a record.
fn assignment(record: &ShardRecord, me: &Peer) -> Assignment {
    if record.home == *me {
        return if record.witness.is_some() { Assignment::Home } else { Assignment::SoleHome };
    }
    if record.witness.as_ref() == Some(me) { Assignment::Witness } else { Assignment::Unassigned }
}
