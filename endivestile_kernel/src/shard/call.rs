//! Calls of a shard to the platform's store.

use crate::shard::core::Cx;
use crate::shard::effect::ShardEffect;
use crate::shard::plan::Step;
use crate::shard::record::ShardRecord;
use crate::shard::slot::Slot;
use crate::{Level, StoreOp, Stored, Time};

/// Most store calls of all shards of a host at once.
const MAX_CALLS: usize = 8;
/// Pause after a first failed call, in milliseconds; it doubles with each further one.
const RETRY_MS: u64 = 50;
/// Longest pause after failed calls, in milliseconds.
const MAX_RETRY_MS: u64 = 3_200;
/// Time after which a call without an answer counts as lost, in milliseconds.
const LOST_MS: u64 = 5_000;
/// Pause after a read that brought no news, in milliseconds.
const POLL_MS: u64 = 100;
/// Pause when too many calls are open, in milliseconds.
const BUSY_MS: u64 = 10;

/// An open call to the store.
#[derive(Debug)]
pub(crate) struct Call {
    /// Number of the call.
    token: u64,
    /// The record that it writes; none when it reads.
    write: Option<ShardRecord>,
    /// When it counts as lost.
    pub(crate) lost_at: Time,
}

impl Slot {
    /// Makes the store call that the shard needs next, if any.
    pub(crate) fn call_store(&mut self, cx: &mut Cx<'_>) {
        if self.call.is_some() || self.retry.is_some_and(|retry| cx.now < retry) {
            return;
        }
        self.retry = None;
        if !cx.view.store {
            return;
        }
        let step = self.next_step(cx);
        if step != Step::Rest && cx.core.calls.len() >= MAX_CALLS {
            self.retry = Some(cx.jittered(BUSY_MS));
            return;
        }
        match step {
            Step::Rest => {}
            Step::Read => self.read(cx),
            Step::Claim => self.claim(cx),
            Step::TakeOver => self.take_over(cx),
            Step::Renew(witness) => self.renew(cx, witness),
        }
    }

    fn read(&mut self, cx: &mut Cx<'_>) {
        let op = StoreOp::Get { key: ShardRecord::key(self.shard) };
        self.open_call(cx, op, None);
    }

    pub(crate) fn write(&mut self, cx: &mut Cx<'_>, record: ShardRecord) {
        let op = StoreOp::Swap {
            key: ShardRecord::key(self.shard),
            revision: self.seen.as_ref().map_or(0, |seen| seen.revision),
            value: record.encode(),
        };
        self.open_call(cx, op, Some(record));
    }

    fn open_call(&mut self, cx: &mut Cx<'_>, op: StoreOp, write: Option<ShardRecord>) {
        let token = cx.open_call(self.shard);
        let lost_at = cx.now.after_ms(LOST_MS);
        self.call = Some(Call { token, write, lost_at });
        cx.out.push(ShardEffect::Store { token, op });
    }

    /// Takes in the end of a store call.
    pub(crate) fn stored(&mut self, cx: &mut Cx<'_>, token: u64, stored: Stored) {
        let Some(call) = self.call.take_if(|call| call.token == token) else { return };
        match (call.write, stored) {
            (Some(record), Stored::Swapped(revision)) => self.see(cx, revision, record),
            (None, Stored::Value { revision, value }) => {
                self.reread = false;
                self.retry = Some(cx.jittered(POLL_MS));
                self.note_doubt(cx, &value);
                self.found(cx, revision, &value);
            }
            (Some(_), Stored::Raced) => self.pause(cx),
            (write, _) => {
                // The write may have taken effect: only the record itself can tell.
                self.doubt = write.map(|record| record.write).or(self.doubt);
                self.pause(cx);
            }
        }
    }

    /// Gives up a call to which no answer came.
    pub(crate) fn drop_call(&mut self, cx: &mut Cx<'_>) {
        let Some(call) = &self.call else { return };
        if cx.now < call.lost_at {
            return;
        }
        let token = call.token;
        cx.core.calls.remove(&token);
        self.stored(cx, token, Stored::Lost);
    }

    /// Takes in a value read or watched.
    pub(crate) fn found(&mut self, cx: &mut Cx<'_>, revision: u64, value: &[u8]) {
        let news = self.seen.as_ref().is_none_or(|seen| seen.revision < revision);
        if revision == 0 || !news {
            return;
        }
        match ShardRecord::decode(value) {
            Some(record) => self.see(cx, revision, record),
            None => self.see_broken(cx, revision),
        }
    }

    /// Says whether a write whose answer was lost had taken effect.
    fn note_doubt(&mut self, cx: &mut Cx<'_>, value: &[u8]) {
        let Some(write) = self.doubt.take() else { return };
        let found = ShardRecord::decode(value).is_some_and(|record| record.write == write);
        let pairs = vec![("write", format!("{write:x}")), ("effect", found.to_string())];
        cx.log(Level::Info, "shard_write_doubt", self.shard, pairs);
    }

    /// Reads the record next, after a pause that grows with every failure.
    fn pause(&mut self, cx: &mut Cx<'_>) {
        let millis = (RETRY_MS << self.fails.min(16)).min(MAX_RETRY_MS);
        self.fails += 1;
        self.reread = true;
        self.retry = Some(cx.jittered(millis));
    }
}
