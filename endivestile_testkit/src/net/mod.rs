//! The network between availability zones: distances and cuts.

mod client_process;
mod relay;
mod topology;

pub(crate) use relay::ZoneRelay;
pub(crate) use topology::Topology;
