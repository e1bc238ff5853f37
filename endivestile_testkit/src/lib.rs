//! Test kit for the workspace: stand-ins for the platform's store, backend servers
//! and workers, runners that start entry hosts as processes against them, and
//! simulated worlds in virtual time.
//!
//! Used by tests, examples and experiments only, not by the product's binaries.

mod caller;
mod crowd;
mod deploy;
mod event_queue;
mod fleet;
mod lock;
mod machine;
mod net;
mod platform;
mod soak;
mod step;
mod store;
mod timer;
mod world;

pub use caller::{Caller, Reply};
pub use crowd::{Crowd, Head, Payload, open_files, peak_mb};
pub use deploy::{DaemonCommand, Deployment, HostProcess, Plan, wait_for};
pub use fleet::{FleetWorld, JobKind, LoadResult, run_fleet_story};
pub use machine::{BackendStandIn, MachineFault, MachineSpec, TaskStart, WorkerStandIn, echo};
pub use platform::{PlatformHost, PlatformSignal, PlatformStandIn, WorkerFault};
pub use soak::{Soak, SoakReport};
pub use store::{CallCounts, StoreStandIn};
pub use world::{BackendMode, CallLog, SimTaskStart, SubmitCall, WALL_S, World, run_story};
