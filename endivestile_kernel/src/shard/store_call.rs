//! Calls of a shard to the platform's store.

use crate::shard::context::Context;
use crate::shard::effect::ShardEffect;
use crate::shard::ownership::StoreStep;
use crate::shard::record::ShardRecord;
use crate::shard::replica::Replica;
use crate::{Level, StoreOp, StoreResult, Time};

/// Maximum number of open store calls of a host, over all shards.
const MAX_OPEN_CALLS: usize = 8;
/// Backoff after the first failed call, in milliseconds; doubles with each further failure.
const MIN_RETRY_MS: u64 = 50;
/// Maximum backoff after failed calls, in milliseconds.
const MAX_RETRY_MS: u64 = 3_200;
/// Timeout of a store call, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 5_000;
/// Delay after a read that returned no newer record, in milliseconds.
const READ_INTERVAL_MS: u64 = 100;
/// Delay before a retry when too many calls are open, in milliseconds.
const BUSY_RETRY_MS: u64 = 10;

/// An open call to the store.
#[derive(Debug)]
pub(crate) struct StoreCall {
    /// Token that the reply carries.
    token: u64,
    /// Record that the call writes; none for a read.
    write: Option<ShardRecord>,
    /// When the call times out.
    pub(crate) expires_at: Time,
}

impl Replica {
    /// Starts the store call that the shard needs next, if any.
    pub(crate) fn call_store(&mut self, cx: &mut Context<'_>) {
        if self.call.is_some() || self.retry_at.is_some_and(|at| cx.now < at) {
            return;
        }
        self.retry_at = None;
        if !cx.view.store_available {
            return;
        }
        let step = self.next_step(cx);
        if step != StoreStep::Idle && cx.shared.open_calls.len() >= MAX_OPEN_CALLS {
            self.retry_at = Some(cx.jittered(BUSY_RETRY_MS));
            return;
        }
        match step {
            StoreStep::Idle => {}
            StoreStep::Read => self.read_record(cx),
            StoreStep::Claim => self.claim(cx),
            StoreStep::TakeOver => self.take_over(cx),
            StoreStep::Renew(witness) => self.renew(cx, witness),
        }
    }

    fn read_record(&mut self, cx: &mut Context<'_>) {
        let op = StoreOp::Get { key: ShardRecord::key(self.shard) };
        self.start_call(cx, op, None);
    }

    pub(crate) fn write_record(&mut self, cx: &mut Context<'_>, record: ShardRecord) {
        let op = StoreOp::Swap {
            key: ShardRecord::key(self.shard),
            revision: self.observed.as_ref().map_or(0, |observed| observed.revision),
            value: record.encode(),
        };
        self.start_call(cx, op, Some(record));
    }

    fn start_call(&mut self, cx: &mut Context<'_>, op: StoreOp, write: Option<ShardRecord>) {
        let token = cx.register_call(self.shard);
        let expires_at = cx.now.after_ms(CALL_TIMEOUT_MS);
        self.call = Some(StoreCall { token, write, expires_at });
        cx.effects.push(ShardEffect::Store { token, op });
    }

    /// Handles the reply to a store call.
    pub(crate) fn handle_store_reply(
        &mut self,
        cx: &mut Context<'_>,
        token: u64,
        stored: StoreResult,
    ) {
        let Some(call) = self.call.take_if(|call| call.token == token) else { return };
        match (call.write, stored) {
            (Some(record), StoreResult::Swapped(revision)) => {
                self.apply_record(cx, revision, record)
            }
            (None, StoreResult::Value { revision, value }) => {
                self.needs_read = false;
                self.retry_at = Some(cx.jittered(READ_INTERVAL_MS));
                self.log_unconfirmed_write(cx, &value);
                self.apply_value(cx, revision, &value);
            }
            (Some(_), StoreResult::Raced) => self.back_off(cx),
            (write, _) => {
                // A write without a reply may have taken effect, which only a read can show.
                self.unconfirmed_write =
                    write.map(|record| record.write).or(self.unconfirmed_write);
                self.back_off(cx);
            }
        }
    }

    /// Gives up a call that has timed out.
    pub(crate) fn expire_call(&mut self, cx: &mut Context<'_>) {
        let Some(call) = &self.call else { return };
        if cx.now < call.expires_at {
            return;
        }
        let token = call.token;
        cx.shared.open_calls.remove(&token);
        self.handle_store_reply(cx, token, StoreResult::Lost);
    }

    /// Applies a value that was read or watched, if it is newer.
    pub(crate) fn apply_value(&mut self, cx: &mut Context<'_>, revision: u64, value: &[u8]) {
        let newer = self.observed.as_ref().is_none_or(|observed| observed.revision < revision);
        if revision == 0 || !newer {
            return;
        }
        match ShardRecord::decode(value) {
            Some(record) => self.apply_record(cx, revision, record),
            None => self.apply_invalid_record(cx, revision),
        }
    }

    /// Logs whether a write without a reply took effect.
    fn log_unconfirmed_write(&mut self, cx: &mut Context<'_>, value: &[u8]) {
        let Some(write) = self.unconfirmed_write.take() else { return };
        let applied = ShardRecord::decode(value).is_some_and(|record| record.write == write);
        let pairs = vec![("write", format!("{write:x}")), ("effect", applied.to_string())];
        cx.log(Level::Info, "shard_write_doubt", self.shard, pairs);
    }

    /// Schedules a read of the record after an exponential backoff.
    fn back_off(&mut self, cx: &mut Context<'_>) {
        let backoff_ms = (MIN_RETRY_MS << self.failures.min(16)).min(MAX_RETRY_MS);
        self.failures += 1;
        self.needs_read = true;
        self.retry_at = Some(cx.jittered(backoff_ms));
    }
}
