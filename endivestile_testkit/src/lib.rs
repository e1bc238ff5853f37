//! Stand-ins for the platform: its store, backend servers and workers.
//!
//! Tests, the quickstart and the experiments use them; no product binary does.

mod lock;
mod machine;
mod store;
mod world;

pub use machine::{BackendStandIn, Fault, Spec, Start, WorkerStandIn, echo};
pub use store::{Counts, StoreStandIn};
pub use world::{CallLog, Mode, Started, Submit, WALL_S, World, tell};
