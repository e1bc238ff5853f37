//! A witness: remembers ids for a home, and refuses a home of the past.

use crate::shard::context::Context;
use crate::shard::fencing::{BatchDecision, SyncDecision};
use crate::shard::replica::Replica;
use crate::{KnownId, Msg, Peer};

impl Replica {
    /// Takes in a batch of a home.
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

    /// Takes in a part of a home's table.
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

    /// The home's table is the truth: what is left of an older one goes first.
    fn insert_part(&mut self, epoch: u64, ids: Vec<KnownId>) {
        if self.syncing_epoch != epoch {
            self.syncing_epoch = epoch;
            self.table.clear();
        }
        ids.into_iter().for_each(|known| self.table.insert(known));
    }

    /// Takes in the home's offer of the shard.
    pub(crate) fn handle_yield(&mut self, epoch: u64) {
        if self.fencing.synced_epoch == epoch {
            self.yielded_epoch = epoch;
        }
    }
}
