//! Ownership of worker pools, and how it changes.

pub(crate) mod balance;
pub(crate) mod candidates;
pub(crate) mod claim;
pub(crate) mod direct_transfer;
pub(crate) mod partition;
pub(crate) mod pools;
pub(crate) mod role;
