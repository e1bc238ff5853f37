//! Placement of tasks on workers, and the statistics of workers and tasks behind it.

pub(crate) mod dispatch;
pub(crate) mod duration_model;
pub(crate) mod durations;
pub(crate) mod forwarding;
pub(crate) mod goal;
pub(crate) mod health;
pub(crate) mod matching;
pub(crate) mod round;
pub(crate) mod stalls;
pub(crate) mod tick;
pub(crate) mod two_choices;
pub(crate) mod zone_choice;
pub(crate) mod zone_figures;
