//! Workers owned by this host: their leases, runs and free capacity.

pub(crate) mod call;
pub(crate) mod capacity;
pub(crate) mod crash_evidence;
pub(crate) mod driver;
pub(crate) mod evacuation;
pub(crate) mod owned;
pub(crate) mod protocol;
pub(crate) mod run;
