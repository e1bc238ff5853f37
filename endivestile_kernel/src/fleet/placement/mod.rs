//! Which worker a task is started on, and what is known of workers and tasks.

pub(crate) mod choice;
pub(crate) mod dispatch;
pub(crate) mod durations;
pub(crate) mod estimate;
pub(crate) mod fit;
pub(crate) mod health;
pub(crate) mod stalls;
pub(crate) mod watchdog;
