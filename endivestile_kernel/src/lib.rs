//! All decisions of the dispatcher: no input or output, no threads, no clock
//! of its own. Every scenario can be repeated event by event.

mod answer;
mod event;
mod id;
mod msg;
mod order;
mod peer;
mod shard;
mod submission;
mod time;
mod view;

pub use answer::{Answer, Cause, Class, Failure, Refusal};
pub use event::{CallId, Effect, Event, Level, Metric, Note, PlatformState, StoreOp, Stored};
pub use id::{Form, IdError, MAX_ID, SubmissionId};
pub use msg::{Ask, Frame, Known, Msg, Registration};
pub use order::{AttemptId, End, Figure, Order, Outcome, TaskKey};
pub use peer::Peer;
pub use shard::{
    Admit, Backing, MARGIN_S, Role, Seat, ShardEffect, ShardRecord, ShardSetup, ShardStatus,
    Shards, Standing, SyncVerdict, Verdict, too_early,
};
pub use submission::{MAX_TASKS, Need, Submission, Target, Task};
pub use time::Time;
pub use view::{HostState, HostView, View};
