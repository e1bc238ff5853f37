//! Fleets of a whole deployment in virtual time, over fakes of the store and of
//! workers with leases, fences and room.

mod calls;
mod check;
mod host;
mod load;
mod store;
mod story;
mod visits;
mod worker;
mod world;

pub use load::{Kind, Served};
pub use story::tell_fleet;
pub(crate) use worker::{Behaviour, Worker};
pub use world::FleetWorld;
