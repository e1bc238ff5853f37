//! Fleets of a whole deployment in virtual time, over fakes of the store and of
//! workers with leases, fences and room.

mod calls;
mod check;
mod host;
mod load;
mod store;
mod story;
mod worker;
mod worker_calls;
mod world;

pub use load::{JobKind, LoadResult};
pub use story::run_fleet_story;
pub(crate) use worker::{Behaviour, Worker};
pub use world::FleetWorld;
