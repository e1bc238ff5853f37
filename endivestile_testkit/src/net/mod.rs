//! Simulated network between availability zones: latency and partitions.

mod client_process;
mod relay;
mod topology;

pub(crate) use relay::ZoneRelay;
pub(crate) use topology::Topology;
