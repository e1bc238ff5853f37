//! Queueing order of waiting tasks, and load shedding.

pub(crate) mod order;
pub(crate) mod queue;
pub(crate) mod shedding;
