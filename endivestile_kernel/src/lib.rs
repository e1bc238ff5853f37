//! The dispatcher's logic as a deterministic state machine: no I/O, no threads and no clock of its
//! own, so that every scenario can be replayed event by event.

mod answer;
mod answer_cache;
mod channel;
mod event;
pub mod fleet;
mod forwards;
mod id;
pub mod intake;
mod kernel;
mod membership;
mod mint;
mod msg;
mod peer;
mod place;
mod placement;
mod retry_budget;
mod routes;
mod run;
mod runs;
mod shard;
mod submission;
mod time;
mod view;

pub use answer::{Answer, Cause, Class, Failure, Refusal};
pub use event::{CallId, Effect, Event, Level, Metric, Note, PlatformState, StoreOp, StoreResult};
pub use id::{IdError, IdForm, MAX_ID, SubmissionId};
pub use kernel::{HostStatus, Kernel, Setup, Status};
pub use membership::SeedHost;
pub use msg::{Ask, Frame, FrameExtension, KnownId, Msg, Registration};
pub use peer::Peer;
pub use place::{
    Condition, PlaceEffect, Placer, PlacerSetup, PolicyInput, PolicyPlugin, ServerStatus,
    policy_names,
};
pub use placement::{AttemptEnd, AttemptId, Outcome, PlaceRequest, TargetLoad, TaskKey};
pub use shard::{
    Admission, Assignment, BatchDecision, FencingState, MAX_CLOCK_SKEW_S, Replication, ShardEffect,
    ShardRecord, ShardRole, ShardSetup, ShardStatus, Shards, SyncDecision, too_far_ahead,
};
pub use submission::{MAX_TASKS, Need, Submission, Target, Task};
pub use time::Time;
pub use view::{HostState, HostView, View};
