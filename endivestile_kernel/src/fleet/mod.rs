//! Jobs on workers that are driven by start, stop and hold under fencing
//! tokens, with hosts that find each other in the store.

mod call;
mod choice;
mod claim;
mod core;
mod course;
mod dispatch;
mod driver;
mod durations;
mod estimate;
mod front;
mod hand_over;
mod health;
mod job;
mod link;
mod measure;
mod members;
mod msg;
mod outcome;
mod overload;
mod owned;
mod parts;
mod pools;
mod queue;
mod run;
mod scheduler;
mod serve;
mod stalls;
mod state;
mod table;
mod turns;
mod watchdog;
mod worker;

pub use call::{Call as WorkerCall, due as worker_call_due};
pub use core::{Fleet, FleetEffect, FleetEvent, FleetSetup};
pub use job::{Job, JobEnd, Reason, Step};
pub use measure::{Count, Span};
pub use members::HostEntry;
pub use msg::{HandOver, JobMsg, Report, RoomFigure};
pub use pools::{HOST_KEYS, POOL_KEYS};
pub use table::{Limits, Route, RouteTable, ServiceRule};
pub use worker::{
    CallFault, EndRow, Held, HoldOrder, RunEnd, RunRow, StartEnd, StartOrder, StopOrder,
    WorkerEntry,
};
