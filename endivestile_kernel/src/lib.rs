//! All decisions of the dispatcher: no input or output, no threads, no clock
//! of its own. Every scenario can be repeated event by event.

mod answer;
mod event;
mod id;
mod msg;
mod order;
mod peer;
mod place;
mod submission;
mod time;
mod view;

pub use answer::{Answer, Cause, Class, Failure, Refusal};
pub use event::{CallId, Effect, Event, Level, Metric, Note, PlatformState, StoreOp, Stored};
pub use id::{Form, IdError, MAX_ID, SubmissionId};
pub use msg::{Ask, Frame, Known, Msg, Registration};
pub use order::{AttemptId, End, Figure, Order, Outcome, TaskKey};
pub use peer::Peer;
pub use place::{
    Choice, Condition, PlaceEffect, Placer, PlacerSetup, PolicyPlugin, ServerStatus, policy_names,
};
pub use submission::{MAX_TASKS, Need, Submission, Target, Task};
pub use time::Time;
pub use view::{HostState, HostView, View};
