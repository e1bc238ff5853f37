//! State of one shard on one host.

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

/// Interval at which expired ids are removed from the table, in milliseconds.
const SWEEP_INTERVAL_MS: u64 = 60_000;

/// Last record read or watched.
#[derive(Debug)]
pub(crate) struct ObservedRecord {
    /// Revision of the key.
    pub(crate) revision: u64,
    /// Last valid record.
    pub(crate) record: Option<ShardRecord>,
    /// Whether the key was since deleted or holds an invalid value.
    pub(crate) invalid: bool,
}

/// State of one shard on one host, whatever its role.
#[derive(Debug)]
pub(crate) struct Replica {
    /// Number of the shard.
    pub(crate) shard: u32,
    /// Epochs that decide what this host may do.
    pub(crate) fencing: FencingState,
    /// Last record read or watched.
    pub(crate) observed: Option<ObservedRecord>,
    /// Recorded ids.
    pub(crate) table: IdTable,
    /// Epoch of the table that this host is receiving as witness, 0 for none.
    pub(crate) syncing_epoch: u64,
    /// Ids that wait for the witness's acknowledgement or for a home.
    pub(crate) pending: BTreeMap<SubmissionId, PendingId>,
    /// Pending ids that are not in a batch yet.
    pub(crate) queue: Vec<SubmissionId>,
    /// Tickets of requests to confirm "not run" that are not in a batch yet.
    pub(crate) confirmations: Vec<u64>,
    /// Batch that the witness has not acknowledged yet.
    pub(crate) in_flight: Option<Batch>,
    /// Epoch under which this host, as home, sent its table to the witness.
    pub(crate) copied_epoch: u64,
    /// Epoch under which this host, as home, offered the shard to the witness.
    pub(crate) offered_epoch: u64,
    /// Epoch under which the home offered the shard to this host, its witness.
    pub(crate) yielded_epoch: u64,
    /// Host to which this host, as home, transfers the shard.
    pub(crate) successor: Option<Peer>,
    /// Open store call.
    pub(crate) call: Option<StoreCall>,
    /// Earliest time of the next store call; none if there is no delay.
    pub(crate) retry_at: Option<Time>,
    /// Number of consecutive failed store calls.
    pub(crate) failures: u32,
    /// Id of a write whose reply was lost.
    pub(crate) unconfirmed_write: Option<u64>,
    /// Whether the record has to be read before the next write.
    pub(crate) needs_read: bool,
    /// When the shard may be claimed because its table is lost.
    pub(crate) claim_at: Time,
    /// When a fenced home renews the record, unless it has changed by then.
    pub(crate) renew_at: Time,
    /// When waiting tickets are refused.
    pub(crate) stall_at: Time,
    /// When expired ids are next removed from the table.
    pub(crate) sweep_at: Time,
}

impl Replica {
    /// Creates the state of a shard whose record has not been read.
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

    /// Takes the actions that the current state of the shard and the hosts requires.
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

    /// Handles the timers that are due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        self.expire_call(cx);
        if cx.now >= self.sweep_at {
            self.table.remove_expired(cx.now);
            self.sweep_at = cx.jittered(SWEEP_INTERVAL_MS);
        }
        if cx.now >= self.stall_at {
            let cause = self.stall_cause();
            self.refuse_waiting(cx, cause);
        }
        self.reconcile(cx);
    }

    /// Returns the earliest timer after the timers due at `now` were handled.
    fn next_deadline(&self, now: Time) -> Time {
        let next_claim = if self.claim_at > now { self.claim_at } else { Time::NEVER };
        let next_call = match &self.call {
            Some(call) => call.expires_at,
            None => self.retry_at.unwrap_or(Time::NEVER),
        };
        next_call.min(next_claim).min(self.stall_at).min(self.sweep_at)
    }

    /// Applies a record that is newer than the observed one.
    pub(crate) fn apply_record(
        &mut self,
        cx: &mut Context<'_>,
        revision: u64,
        record: ShardRecord,
    ) {
        let old_epoch = self.fencing.home_epoch;
        let old_home = self.home_peer().cloned();
        self.fencing.observe_record(record.epoch, assignment(&record, &cx.shared.me));
        self.observed = Some(ObservedRecord { revision, record: Some(record), invalid: false });
        self.failures = 0;
        self.needs_read = false;
        self.retry_at = None;
        self.renew_at = Time::NEVER;
        self.apply_role_change(cx, old_epoch, old_home);
    }

    /// Handles a record that was deleted or overwritten with an invalid value.
    ///
    /// No host may claim the shard, since its home may still be serving. Home
    /// and witness continue with the last valid record, and the log line alerts
    /// operators.
    pub(crate) fn apply_invalid_record(&mut self, cx: &mut Context<'_>, revision: u64) {
        let record = self.observed.take().and_then(|observed| observed.record);
        self.observed = Some(ObservedRecord { revision, record, invalid: true });
        cx.log(Level::Error, "shard_record_broken", self.shard, Vec::new());
    }

    fn apply_role_change(&mut self, cx: &mut Context<'_>, old_epoch: u64, old_home: Option<Peer>) {
        let new_epoch = self.fencing.home_epoch;
        if old_epoch == 0 && new_epoch != 0 {
            self.log_record(cx, "shard_gained");
            if old_home.is_some() {
                cx.count(Metric::Takeovers, 1);
            }
            self.readmit_waiting(cx);
        } else if old_epoch != 0 && new_epoch == 0 {
            self.log_record(cx, "shard_lost");
            self.successor = None;
            self.readmit_waiting(cx);
        } else if new_epoch != old_epoch {
            self.log_record(cx, "shard_renewed");
            self.requeue();
        } else if new_epoch == 0 && old_home.as_ref() != self.home_peer() {
            self.readmit_waiting(cx);
        }
        self.drop_unneeded_table(new_epoch);
    }

    /// Clears the table unless this host is the home, or a witness that has the
    /// table or is receiving it.
    ///
    /// A late record of an earlier epoch must not clear a table that the witness
    /// has received since; a takeover would then start all its ids again.
    fn drop_unneeded_table(&mut self, home_epoch: u64) {
        if self.syncing_epoch < self.fencing.fence {
            self.syncing_epoch = 0;
        }
        if home_epoch == 0 && self.fencing.synced_epoch == 0 && self.syncing_epoch == 0 {
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

    /// Returns the last valid record.
    pub(crate) fn record(&self) -> Option<&ShardRecord> {
        self.observed.as_ref().and_then(|observed| observed.record.as_ref())
    }

    /// Returns the home in the last valid record.
    pub(crate) fn home_peer(&self) -> Option<&Peer> {
        self.record().map(|record| &record.home)
    }

    /// Returns the status of the shard on host `me`.
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
            home: self.home_peer().cloned(),
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

/// Returns the role that a record assigns to `me`.
fn assignment(record: &ShardRecord, me: &Peer) -> Assignment {
    if record.home == *me {
        return if record.witness.is_some() { Assignment::Home } else { Assignment::SoleHome };
    }
    if record.witness.as_ref() == Some(me) { Assignment::Witness } else { Assignment::Unassigned }
}
