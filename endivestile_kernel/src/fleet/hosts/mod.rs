//! Membership of the other hosts, and the frames exchanged with them.

pub(crate) mod config_lag;
pub(crate) mod frames;
pub(crate) mod membership;
