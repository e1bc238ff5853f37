//! A witness: remembers ids for a home, and refuses a home of the past.

use crate::shard::core::Cx;
use crate::shard::rule::{SyncVerdict, Verdict};
use crate::shard::slot::Slot;
use crate::{Known, Msg, Peer};

impl Slot {
    /// Takes in a batch of a home.
    pub(crate) fn witness_batch(
        &mut self,
        cx: &mut Cx<'_>,
        from: &Peer,
        epoch: u64,
        batch: u64,
        ids: Vec<Known>,
    ) {
        let shard = self.shard;
        match self.standing.witness_record(epoch) {
            Verdict::Recorded => {
                ids.into_iter().for_each(|known| self.table.insert(known));
                cx.send(from.clone(), Msg::Recorded { shard, epoch, batch });
            }
            Verdict::Fenced(epoch) => cx.send(from.clone(), Msg::Fenced { shard, epoch }),
            Verdict::Unsynced => {}
        }
    }

    /// Takes in a part of a home's table.
    pub(crate) fn witness_part(
        &mut self,
        cx: &mut Cx<'_>,
        from: &Peer,
        epoch: u64,
        ids: Vec<Known>,
        last: bool,
    ) {
        let shard = self.shard;
        match self.standing.witness_sync(epoch, last) {
            SyncVerdict::Fenced(epoch) => cx.send(from.clone(), Msg::Fenced { shard, epoch }),
            SyncVerdict::Again => cx.send(from.clone(), Msg::Synced { shard, epoch }),
            SyncVerdict::Part => self.take_part(epoch, ids),
            SyncVerdict::Whole => {
                self.take_part(epoch, ids);
                self.syncing = 0;
                cx.send(from.clone(), Msg::Synced { shard, epoch });
            }
        }
    }

    /// The home's table is the truth: what is left of an older one goes first.
    fn take_part(&mut self, epoch: u64, ids: Vec<Known>) {
        if self.syncing != epoch {
            self.syncing = epoch;
            self.table.clear();
        }
        ids.into_iter().for_each(|known| self.table.insert(known));
    }

    /// Takes in the home's offer of the shard.
    pub(crate) fn take_yield(&mut self, epoch: u64) {
        if self.standing.synced == epoch {
            self.yielded = epoch;
        }
    }
}
