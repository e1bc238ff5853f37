//! Admission and queueing order of jobs and their tasks, and load shedding.

pub(crate) mod forecast;
pub(crate) mod load;
pub(crate) mod order;
pub(crate) mod queue;
pub(crate) mod share;
pub(crate) mod shedding;
