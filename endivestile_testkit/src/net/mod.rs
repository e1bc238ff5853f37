//! The network between availability zones: distances and cuts.

mod owner;
mod relay;
mod zones;

pub(crate) use relay::Relay;
pub(crate) use zones::Zones;
