//! Which host owns which workers, and how that changes.

pub(crate) mod balance;
pub(crate) mod claim;
pub(crate) mod hand_over;
pub(crate) mod parts;
pub(crate) mod pools;
pub(crate) mod turns;
