//! Who may start a submission whose id is the caller's own.
//!
//! Ids are cut into shards. Each shard has a home, which alone starts
//! submissions, and a witness, which remembers every id before its first task
//! starts; the platform's store holds who is which, under an epoch.

mod admit;
mod balance;
mod call;
mod core;
mod effect;
mod home;
mod plan;
mod record;
mod rule;
mod shards;
mod slot;
mod table;
mod wait;
mod witness;

pub use effect::{Admit, Role, ShardEffect, ShardSetup, ShardStatus};
pub use record::{MARGIN_S, ShardRecord, too_early};
pub use rule::{Backing, Seat, Standing, SyncVerdict, Verdict};
pub use shards::Shards;
