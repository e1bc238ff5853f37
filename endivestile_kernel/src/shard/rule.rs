//! The rules that decide who may start, shared with the model checker.

/// How the home's table is held a second time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub enum Backing {
    /// The witness does not hold the whole table yet.
    #[default]
    Missing,
    /// The record names no witness.
    Alone,
    /// The witness holds the whole table.
    Witnessed,
}

/// A host's place in a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Seat {
    /// Home, with a witness.
    Home,
    /// Home without a witness.
    Alone,
    /// Witness.
    Witness,
    /// Neither.
    Other,
}

/// What a witness makes of a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Remember the ids and acknowledge.
    Recorded,
    /// Refuse: this epoch is in force or under way.
    Fenced(u64),
    /// Say nothing: the table is not whole.
    Unsynced,
}

/// What a witness makes of a part of the home's table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncVerdict {
    /// Refuse: this epoch is in force or under way.
    Fenced(u64),
    /// Take the part in.
    Part,
    /// Take the part in; the table is whole.
    Whole,
    /// The table is whole already; only say so again.
    Again,
}

/// What one host may do in one shard: the part of its state that decides starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Standing {
    /// Epochs below it are refused.
    pub fence: u64,
    /// Epoch under which this host is the home, 0 when it is not.
    pub home: u64,
    /// How the home's table is held a second time.
    pub backing: Backing,
    /// Epoch for which this host, as witness, holds the whole table, 0 when for none.
    pub synced: u64,
}

impl Standing {
    /// Takes in a record of the store.
    ///
    /// Records come late and repeated: one below the fence changes nothing,
    /// or a witness in the middle of a take-over would acknowledge again.
    pub fn see(&mut self, epoch: u64, seat: Seat) {
        if epoch < self.fence {
            return;
        }
        self.fence = epoch;
        if self.synced != epoch {
            self.synced = 0;
        }
        match seat {
            Seat::Home | Seat::Alone if self.home == epoch => {}
            Seat::Home => self.become_home(epoch, Backing::Missing),
            Seat::Alone => self.become_home(epoch, Backing::Alone),
            Seat::Witness | Seat::Other => self.home = 0,
        }
    }

    fn become_home(&mut self, epoch: u64, backing: Backing) {
        self.home = epoch;
        self.backing = backing;
    }

    /// Returns whether the home may start an id that was acknowledged under `acked`.
    ///
    /// Without the witness's word a paused former home would start on waking
    /// what its successor started meanwhile.
    pub fn may_start(&self, acked: Option<u64>) -> bool {
        if self.home == 0 || self.fence > self.home {
            return false;
        }
        match self.backing {
            Backing::Missing => false,
            Backing::Alone => true,
            Backing::Witnessed => acked == Some(self.home),
        }
    }

    /// Returns whether the home may send batches to its witness.
    pub fn may_record(&self) -> bool {
        self.home != 0 && self.fence <= self.home && self.backing == Backing::Witnessed
    }

    /// Judges a batch that a home sends under `epoch`.
    pub fn witness_record(&self, epoch: u64) -> Verdict {
        if epoch < self.fence {
            return Verdict::Fenced(self.fence);
        }
        // A witness that holds only a part would, after a take-over, start again what it never saw.
        if self.synced != epoch {
            return Verdict::Unsynced;
        }
        Verdict::Recorded
    }

    /// Judges a part of the table that a home sends under `epoch`.
    pub fn witness_sync(&mut self, epoch: u64, last: bool) -> SyncVerdict {
        if epoch < self.fence {
            return SyncVerdict::Fenced(self.fence);
        }
        if self.synced == epoch {
            return SyncVerdict::Again;
        }
        // A home of the past learns here that it was replaced: the fence stops
        // it, and it gives the role up with the record.
        self.fence = epoch;
        self.synced = 0;
        if !last {
            return SyncVerdict::Part;
        }
        self.synced = epoch;
        SyncVerdict::Whole
    }

    /// Takes in that the witness holds the whole table under `epoch`.
    pub fn home_synced(&mut self, epoch: u64) {
        if self.home == epoch && self.backing == Backing::Missing {
            self.backing = Backing::Witnessed;
        }
    }

    /// Takes in that the witness refused, being at `epoch`.
    pub fn home_fenced(&mut self, epoch: u64) {
        self.fence = self.fence.max(epoch);
    }

    /// Raises the fence for the take-over of a record at `epoch`, and returns the next epoch.
    ///
    /// The fence comes before the swap: the other way round the former home
    /// could have an id acknowledged after the record had moved. Returns none
    /// when this host does not hold the whole table for that record.
    pub fn take_over(&mut self, epoch: u64) -> Option<u64> {
        if epoch == 0 || self.synced != epoch || self.fence > epoch + 1 {
            return None;
        }
        self.fence = epoch + 1;
        Some(epoch + 1)
    }

    /// Returns the next epoch for the home's own swap on a record at `epoch`.
    pub fn renew(&self, epoch: u64) -> Option<u64> {
        let owner = epoch != 0 && self.home == epoch && self.fence <= epoch + 1;
        owner.then_some(epoch + 1)
    }

    /// Raises the fence for a claim of a shard whose table is lost, and returns the next epoch.
    pub fn claim(&mut self, epoch: u64) -> u64 {
        self.fence = self.fence.max(epoch + 1);
        self.fence
    }
}
