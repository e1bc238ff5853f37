//! Placement: which back end runs a task, and when.
//!
//! One placer owns the slots of the back ends in its host's share. A task stays
//! in the placer's queue until a slot is free and worth taking.

mod admission;
mod arrivals;
mod backend;
mod bands;
mod baselines;
mod completion;
mod declared;
mod dispatch;
mod effect;
mod estimate;
mod fit;
mod health;
mod held;
mod line;
mod placer;
mod policy;
mod policy_input;
mod pool;
mod queue;
mod rack;
mod rebuild;
mod report;
mod room;
mod seat;
mod share;
mod sizes;
mod speed;
mod status;
mod teams;
mod tick;
mod timer;
mod waiting;

pub use effect::{PlaceEffect, PlacerSetup};
pub use placer::Placer;
pub use policy::{PolicyPlugin, policy_names};
pub use policy_input::PolicyInput;
pub use status::{Condition, ServerStatus};
