//! The rules that decide who may start, shared with the model checker.

/// How the home's table is held a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Replication {
    /// The witness does not hold the whole table yet.
    #[default]
    Syncing,
    /// The record names no witness.
    Unreplicated,
    /// The witness holds the whole table.
    InSync,
}

/// A host's place in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Assignment {
    /// Home, with a witness.
    Home,
    /// Home without a witness.
    SoleHome,
    /// Witness.
    Witness,
    /// Neither.
    Unassigned,
}

/// What a witness makes of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BatchDecision {
    /// Remember the ids and acknowledge.
    Accept,
    /// Refuse: this epoch is in force or under way.
    Fenced(u64),
    /// Say nothing: the table is not whole.
    Unsynced,
}

/// What a witness makes of a part of the home's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncDecision {
    /// Refuse: this epoch is in force or under way.
    Fenced(u64),
    /// Take the part in.
    Partial,
    /// Take the part in; the table is whole.
    Complete,
    /// The table is whole already; only say so again.
    Duplicate,
}

/// What one host may do in one shard: the part of its state that decides starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct FencingState {
    /// Epochs below it are refused.
    pub fence: u64,
    /// Epoch under which this host is the home, 0 when it is not.
    pub home_epoch: u64,
    /// How the home's table is held a second time.
    pub replication: Replication,
    /// Epoch for which this host, as witness, holds the whole table, 0 when for none.
    pub synced_epoch: u64,
}

impl FencingState {
    /// Takes in a record of the store.
    ///
    /// Records come late and repeated: one below the fence changes nothing,
    /// or a witness in the middle of a take-over would acknowledge again.
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

    /// Returns whether the home may start an id that was acknowledged under `acked`.
    ///
    /// Without the witness's word a paused former home would start on waking
    /// what its successor started meanwhile.
    pub fn may_start(&self, acked: Option<u64>) -> bool {
        if self.home_epoch == 0 || self.fence > self.home_epoch {
            return false;
        }
        match self.replication {
            Replication::Syncing => false,
            Replication::Unreplicated => true,
            Replication::InSync => acked == Some(self.home_epoch),
        }
    }

    /// Returns whether the home may send batches to its witness.
    pub fn may_send_batch(&self) -> bool {
        self.home_epoch != 0
            && self.fence <= self.home_epoch
            && self.replication == Replication::InSync
    }

    /// Judges a batch that a home sends under `epoch`.
    pub fn check_batch(&self, epoch: u64) -> BatchDecision {
        if epoch < self.fence {
            return BatchDecision::Fenced(self.fence);
        }
        // A witness that holds only a part would, after a take-over, start again what it never saw.
        if self.synced_epoch != epoch {
            return BatchDecision::Unsynced;
        }
        BatchDecision::Accept
    }

    /// Judges a part of the table that a home sends under `epoch`.
    pub fn accept_sync(&mut self, epoch: u64, last: bool) -> SyncDecision {
        if epoch < self.fence {
            return SyncDecision::Fenced(self.fence);
        }
        if self.synced_epoch == epoch {
            return SyncDecision::Duplicate;
        }
        // A home of the past learns here that it was replaced: the fence stops
        // it, and it gives the role up with the record.
        self.fence = epoch;
        self.synced_epoch = 0;
        if !last {
            return SyncDecision::Partial;
        }
        self.synced_epoch = epoch;
        SyncDecision::Complete
    }

    /// Takes in that the witness holds the whole table under `epoch`.
    pub fn witness_synced(&mut self, epoch: u64) {
        if self.home_epoch == epoch && self.replication == Replication::Syncing {
            self.replication = Replication::InSync;
        }
    }

    /// Takes in that the witness refused, being at `epoch`.
    pub fn raise_fence(&mut self, epoch: u64) {
        self.fence = self.fence.max(epoch);
    }

    /// Raises the fence for the take-over of a record at `epoch`, and returns the next epoch.
    ///
    /// The fence comes before the swap: the other way round the former home
    /// could have an id acknowledged after the record had moved. Returns none
    /// when this host does not hold the whole table for that record.
    pub fn begin_takeover(&mut self, epoch: u64) -> Option<u64> {
        if epoch == 0 || self.synced_epoch != epoch || self.fence > epoch + 1 {
            return None;
        }
        self.fence = epoch + 1;
        Some(epoch + 1)
    }

    /// Returns the next epoch for the home's own swap on a record at `epoch`.
    pub fn renewal_epoch(&self, epoch: u64) -> Option<u64> {
        let owner = epoch != 0 && self.home_epoch == epoch && self.fence <= epoch + 1;
        owner.then_some(epoch + 1)
    }

    /// Raises the fence for a claim of a shard whose table is lost, and returns the next epoch.
    pub fn begin_claim(&mut self, epoch: u64) -> u64 {
        self.fence = self.fence.max(epoch + 1);
        self.fence
    }
}
