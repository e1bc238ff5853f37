//! The workers that this host owns: their leases, runs and room.

pub(crate) mod call;
pub(crate) mod driver;
pub(crate) mod evacuation;
pub(crate) mod owned;
pub(crate) mod protocol;
pub(crate) mod run;
