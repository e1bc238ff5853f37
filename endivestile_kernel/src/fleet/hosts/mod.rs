//! The other hosts: which answer, and the frames to and from them.

pub(crate) mod frames;
pub(crate) mod membership;
