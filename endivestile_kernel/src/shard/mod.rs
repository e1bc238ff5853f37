//! Admission of submissions with caller-chosen ids, each started at most once.
//!
//! Ids are partitioned into shards. The home of a shard is the only host that
//! starts its submissions. The witness keeps a copy of every id before the
//! first task of that submission starts. A record in the platform's store
//! names both; each change of the record raises its epoch.

mod admission;
mod balance;
mod context;
mod effect;
mod fencing;
mod home;
mod id_table;
mod ownership;
mod pending;
mod record;
mod replica;
mod shards;
mod store_call;
mod witness;

pub use effect::{Admission, ShardEffect, ShardRole, ShardSetup, ShardStatus};
pub use fencing::{Assignment, BatchDecision, FencingState, Replication, SyncDecision};
pub use record::{MAX_CLOCK_SKEW_S, ShardRecord, too_far_ahead};
pub use shards::Shards;
