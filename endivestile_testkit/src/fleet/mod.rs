//! Simulation of a whole deployment's fleets in virtual time, with fakes of the store and of
//! workers that have leases, fencing tokens and a capacity.

mod calls;
mod check;
mod host;
mod link_reset;
mod load;
mod returned_jobs;
mod store;
mod story;
mod worker;
mod worker_calls;
mod world;

pub use load::{JobKind, LoadResult};
pub use story::run_fleet_story;
pub(crate) use worker::{Behaviour, Worker};
pub use world::FleetWorld;
