//! The workers that this host owns: their leases, runs and room.

pub(crate) mod call;
pub(crate) mod driver;
pub(crate) mod evacuated;
pub(crate) mod owned;
pub(crate) mod run;
pub(crate) mod worker;
