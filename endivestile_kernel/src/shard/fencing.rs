//! Fencing rules that decide which host may start submissions of a shard.
//!
//! The model checker in `tests/shard_model.rs` runs the same code.

/// Replication state of the home's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Replication {
    /// The witness does not have the whole table yet.
    #[default]
    Syncing,
    /// There is no witness.
    Unreplicated,
    /// The witness has the whole table.
    InSync,
}

/// Role that a record assigns to a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Assignment {
    /// Home, with a witness.
    Home,
    /// Home without a witness.
    SoleHome,
    /// Witness.
    Witness,
    /// Neither home nor witness.
    Unassigned,
}

/// A witness's decision on a batch of ids.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchDecision {
    /// Store the ids and acknowledge the batch.
    Accept,
    /// Reject the batch: the fence is at this later epoch.
    Fenced(u64),
    /// Ignore the batch: the witness lacks the home's whole table.
    Unsynced,
}

/// A witness's decision on a part of the home's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncDecision {
    /// Reject the part: the fence is at this later epoch.
    Fenced(u64),
    /// Store the part; more will follow.
    Partial,
    /// Store the part, which completes the table, and acknowledge.
    Complete,
    /// Acknowledge again: the table is already complete.
    Duplicate,
}

/// Epochs of one host in one shard, which decide what the host may do.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FencingState {
    /// Lowest epoch from which messages and records are accepted.
    pub fence: u64,
    /// Epoch of this host as home, 0 when it is not the home.
    pub home_epoch: u64,
    /// Replication state of the table while this host is the home.
    pub replication: Replication,
    /// Epoch for which this host has the home's whole table as witness, 0 for none.
    pub synced_epoch: u64,
}

impl FencingState {
    /// Applies a record read from the store.
    ///
    /// Records may arrive late or twice. A record below the fence is ignored;
    /// otherwise a witness that has begun a takeover would acknowledge batches
    /// of the old home again.
    pub fn observe_record(&mut self, epoch: u64, assignment: Assignment) {
        if epoch < self.fence {
            return;
        }
        self.fence = epoch;
        if self.synced_epoch != epoch {
            self.synced_epoch = 0;
        }
        match assignment {
            Assignment::Home | Assignment::SoleHome if self.home_epoch == epoch => {}
            Assignment::Home => self.become_home(epoch, Replication::Syncing),
            Assignment::SoleHome => self.become_home(epoch, Replication::Unreplicated),
            Assignment::Witness | Assignment::Unassigned => self.home_epoch = 0,
        }
    }

    fn become_home(&mut self, epoch: u64, replication: Replication) {
        self.home_epoch = epoch;
        self.replication = replication;
    }

    /// Returns whether the home may start an id that the witness acknowledged
    /// under epoch `acked_epoch`.
    ///
    /// Without the acknowledgement a former home that resumes after a pause
    /// would start ids that its successor has started in the meantime.
    pub fn may_start(&self, acked_epoch: Option<u64>) -> bool {
        if self.home_epoch == 0 || self.fence > self.home_epoch {
            return false;
        }
        match self.replication {
            Replication::Syncing => false,
            Replication::Unreplicated => true,
            Replication::InSync => acked_epoch == Some(self.home_epoch),
        }
    }

    /// Returns whether the home may send batches to its witness.
    pub fn may_send_batch(&self) -> bool {
        self.home_epoch != 0
            && self.fence <= self.home_epoch
            && self.replication == Replication::InSync
    }

    /// Decides on a batch that a home sent under `epoch`.
    pub fn check_batch(&self, epoch: u64) -> BatchDecision {
        if epoch < self.fence {
            return BatchDecision::Fenced(self.fence);
        }
        // With a partial table, a takeover by this witness would start missing ids again.
        if self.synced_epoch != epoch {
            return BatchDecision::Unsynced;
        }
        BatchDecision::Accept
    }

    /// Decides on a part of the table that a home sent under `epoch`.
    pub fn accept_sync(&mut self, epoch: u64, last: bool) -> SyncDecision {
        if epoch < self.fence {
            return SyncDecision::Fenced(self.fence);
        }
        if self.synced_epoch == epoch {
            return SyncDecision::Duplicate;
        }
        // If this host is a former home that has not seen the new record yet, the
        // fence stops it; it drops the role when the record arrives.
        self.fence = epoch;
        self.synced_epoch = 0;
        if !last {
            return SyncDecision::Partial;
        }
        self.synced_epoch = epoch;
        SyncDecision::Complete
    }

    /// Handles the witness's confirmation that it has the whole table of `epoch`.
    pub fn witness_synced(&mut self, epoch: u64) {
        if self.home_epoch == epoch && self.replication == Replication::Syncing {
            self.replication = Replication::InSync;
        }
    }

    /// Raises the fence to `epoch`, at which the witness rejected a message.
    pub fn raise_fence(&mut self, epoch: u64) {
        self.fence = self.fence.max(epoch);
    }

    /// Raises the fence for the takeover of a record at `epoch` and returns the next epoch.
    ///
    /// The fence has to rise before the record is swapped; otherwise this host
    /// could still acknowledge ids of the former home after the swap. Returns
    /// none if this host does not have the whole table of that record's home.
    pub fn begin_takeover(&mut self, epoch: u64) -> Option<u64> {
        if epoch == 0 || self.synced_epoch != epoch || self.fence > epoch + 1 {
            return None;
        }
        self.fence = epoch + 1;
        Some(epoch + 1)
    }

    /// Returns the epoch under which the home may replace its own record at `epoch`.
    pub fn renewal_epoch(&self, epoch: u64) -> Option<u64> {
        let is_home = epoch != 0 && self.home_epoch == epoch && self.fence <= epoch + 1;
        is_home.then_some(epoch + 1)
    }

    /// Raises the fence for the claim of a shard without a table and returns the next epoch.
    pub fn begin_claim(&mut self, epoch: u64) -> u64 {
        self.fence = self.fence.max(epoch + 1);
        self.fence
    }
}
