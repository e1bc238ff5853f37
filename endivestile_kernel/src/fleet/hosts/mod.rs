//! Membership of the other hosts, and the frames exchanged with them.

pub(crate) mod frames;
pub(crate) mod membership;
