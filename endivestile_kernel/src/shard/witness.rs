//! Witness side of a shard: stores the home's ids and fences off former homes.

use crate::shard::context::Context;
use crate::shard::fencing::{BatchDecision, SyncDecision};
use crate::shard::replica::Replica;
use crate::{KnownId, Msg, Peer};

impl Replica {
    /// Handles a batch of ids from a home.
    pub(crate) fn handle_batch(
        &mut self,
        cx: &mut Context<'_>,
        from: &Peer,
        epoch: u64,
        batch: u64,
        ids: Vec<KnownId>,
    ) {
        let shard = self.shard;
        match self.fencing.check_batch(epoch) {
            BatchDecision::Accept => {
                ids.into_iter().for_each(|known| self.table.insert(known));
                cx.send(from.clone(), Msg::Recorded { shard, epoch, batch });
            }
            BatchDecision::Fenced(epoch) => cx.send(from.clone(), Msg::Fenced { shard, epoch }),
            BatchDecision::Unsynced => {}
        }
    }

    /// Handles a part of a home's table.
    pub(crate) fn handle_sync(
        &mut self,
        cx: &mut Context<'_>,
        from: &Peer,
        epoch: u64,
        ids: Vec<KnownId>,
        last: bool,
    ) {
        let shard = self.shard;
        match self.fencing.accept_sync(epoch, last) {
            SyncDecision::Fenced(epoch) => cx.send(from.clone(), Msg::Fenced { shard, epoch }),
            SyncDecision::Duplicate => cx.send(from.clone(), Msg::Synced { shard, epoch }),
            SyncDecision::Partial => self.insert_part(epoch, ids),
            SyncDecision::Complete => {
                self.insert_part(epoch, ids);
                self.syncing_epoch = 0;
                cx.send(from.clone(), Msg::Synced { shard, epoch });
            }
        }
    }

    /// Stores a part of the home's table; the first part replaces any older table.
    fn insert_part(&mut self, epoch: u64, ids: Vec<KnownId>) {
        if self.syncing_epoch != epoch {
            self.syncing_epoch = epoch;
            self.table.clear();
        }
        ids.into_iter().for_each(|known| self.table.insert(known));
    }

    /// Handles the home's offer of the shard.
    pub(crate) fn handle_yield(&mut self, epoch: u64) {
        if self.fencing.synced_epoch == epoch {
            self.yielded_epoch = epoch;
        }
    }
}
