//! Jobs on workers that are driven by start, stop and hold under fencing
//! tokens, with hosts that find each other in the store.

mod admission;
mod core;
mod course;
mod evacuation;
mod front;
mod hosts;
mod job;
mod lag;
mod measure;
mod msg;
mod outcome;
mod ownership;
mod placement;
mod scheduler;
mod serve;
mod state;
mod table;
mod workers;

pub use core::{Fleet, FleetEffect, FleetEvent, FleetSetup, ListRole};
pub use evacuation::ZoneState;
pub use hosts::membership::HostEntry;
pub use job::{Job, JobEnd, Reason, Step};
pub use measure::{Count, Gauge, Span};
pub use msg::{DirectTransfer, JobMsg, Report, RoomFigure};
pub use ownership::pools::{HOST_KEY_PREFIX, POOL_KEY_PREFIX};
pub use table::{Limits, Route, RouteTable, ServiceRule};
pub use workers::call::{WorkerCall, worker_call_deadline};
pub use workers::protocol::{
    CallError, EndRecord, RenewReply, RenewRequest, RunEnd, RunStatus, StartRequest, StartResult,
    StopRequest, WorkerEntry,
};
