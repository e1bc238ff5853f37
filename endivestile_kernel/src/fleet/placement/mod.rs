//! Which worker a task is started on, and what is known of workers and tasks.

pub(crate) mod dispatch;
pub(crate) mod duration_model;
pub(crate) mod durations;
pub(crate) mod goal;
pub(crate) mod health;
pub(crate) mod stalls;
pub(crate) mod tick;
pub(crate) mod two_choices;
