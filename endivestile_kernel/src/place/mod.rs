//! Placement: which backend runs a task, and when.
//!
//! Each host has one placer. It owns the slots of the backends in its host's share
//! and keeps a task queued until a slot is free and worth taking.

mod admission;
mod arrival_rate;
mod backend;
mod baselines;
mod capacity_bands;
mod completion;
mod declared;
mod dispatch;
mod effect;
mod endpoint;
mod estimate;
mod fit;
mod health;
mod placer;
mod policy;
mod policy_input;
mod pool;
mod queue;
mod rack;
mod rebuild;
mod report;
mod resources;
mod run_time;
mod share;
mod status;
mod task_table;
mod team_queue;
mod teams;
mod tick;
mod timer;
mod waiting;
mod work_by_size;

pub use effect::{PlaceEffect, PlacerSetup};
pub use placer::Placer;
pub use policy::{PolicyPlugin, policy_names};
pub use policy_input::PolicyInput;
pub use status::{Condition, ServerStatus};
