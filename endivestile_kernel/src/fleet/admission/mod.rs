//! Which jobs wait, in which order, and which are refused.

pub(crate) mod order;
pub(crate) mod queue;
pub(crate) mod shedding;
