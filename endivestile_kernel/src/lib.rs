//! All decisions of the dispatcher: no input or output, no threads, no clock
//! of its own. Every scenario can be repeated event by event.

mod answer;
mod budget;
mod channel;
mod event;
pub mod fleet;
mod hosts;
mod id;
mod kernel;
mod mint;
mod msg;
mod order;
mod passed;
mod past;
mod peer;
mod place;
mod routes;
mod run;
mod runs;
mod shard;
mod submission;
mod time;
mod view;

pub use answer::{Answer, Cause, Class, Failure, Refusal};
pub use event::{CallId, Effect, Event, Level, Metric, Note, PlatformState, StoreOp, Stored};
pub use hosts::Seed;
pub use id::{Form, IdError, MAX_ID, SubmissionId};
pub use kernel::{HostStatus, Kernel, Setup, Status};
pub use msg::{Ask, Frame, Known, Msg, Registration};
pub use order::{AttemptId, End, Figure, Order, Outcome, TaskKey};
pub use peer::Peer;
pub use place::{
    Condition, PlaceEffect, Placer, PlacerSetup, PolicyInput, PolicyPlugin, ServerStatus,
    policy_names,
};
pub use shard::{
    Admission, Assignment, BatchDecision, FencingState, MAX_CLOCK_SKEW_S, Replication, ShardEffect,
    ShardRecord, ShardRole, ShardSetup, ShardStatus, Shards, SyncDecision, too_far_ahead,
};
pub use submission::{MAX_TASKS, Need, Submission, Target, Task};
pub use time::Time;
pub use view::{HostState, HostView, View};
