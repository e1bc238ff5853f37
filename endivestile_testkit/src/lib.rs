//! Stand-ins for the platform: its store, backend servers and workers.
//!
//! Tests, the quickstart and the experiments use them; no product binary does.

mod lock;
mod store;

pub use store::{Counts, StoreStandIn};
