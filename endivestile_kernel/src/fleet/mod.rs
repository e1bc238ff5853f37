//! Jobs on workers that are driven by start, stop and hold under fencing
//! tokens, with hosts that find each other in the store.

mod admission;
mod assignment;
mod completion;
mod core;
mod evacuation;
mod front;
mod hosts;
mod job;
mod job_log;
mod job_state;
mod lag;
mod metrics;
mod msg;
mod ownership;
mod placement;
mod route_table;
mod scheduler;
mod workers;

pub use core::{Fleet, FleetEffect, FleetEvent, FleetSetup, PoolRole};
pub use evacuation::EvacuationState;
pub use hosts::members::HostEntry;
pub use job::{Job, JobEnd, Reason, Step};
pub use metrics::{Count, Gauge, Span};
pub use msg::{HandOver, HostReport, JobMsg, ServiceCapacity};
pub use ownership::pools::{HOST_KEYS, POOL_KEYS};
pub use route_table::{Limits, Route, RouteTable, ServiceLimits};
pub use workers::call::{Call as WorkerCall, due as worker_call_due};
pub use workers::worker::{
    CallFault, EndRow, Held, HoldOrder, RunEnd, RunRow, StartEnd, StartOrder, StopOrder,
    WorkerEntry,
};
