//! Who may start a submission whose id is the caller's own.
//!
//! Ids are cut into shards. Each shard has a home, which alone starts
//! submissions, and a witness, which remembers every id before its first task
//! starts; the platform's store holds who is which, under an epoch.

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
