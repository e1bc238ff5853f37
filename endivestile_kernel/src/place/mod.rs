//! Placement: which back end runs a task, and when.
//!
//! One placer owns the slots of the back ends in its host's share. A task stays
//! in the placer's queue until a slot is free and worth taking.

mod admission;
mod arrivals;
mod backend;
mod bands;
mod baselines;
mod choice;
mod declared;
mod dispatch;
mod due;
mod effect;
mod ending;
mod estimate;
mod fit;
mod health;
mod held;
mod line;
mod placer;
mod policy;
mod pool;
mod queue;
mod rack;
mod report;
mod room;
mod seat;
mod share;
mod sharing;
mod sizes;
mod speed;
mod status;
mod teams;
mod timer;
mod waiting;

pub use choice::Choice;
pub use effect::{PlaceEffect, PlacerSetup};
pub use placer::Placer;
pub use policy::{PolicyPlugin, policy_names};
pub use status::{Condition, ServerStatus};
