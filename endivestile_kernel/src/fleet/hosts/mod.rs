//! The other hosts: which answer, and the frames to and from them.

pub(crate) mod link;
pub(crate) mod members;
