//! Jobs on workers that accept start, stop and lease renewal calls under fencing
//! tokens. Hosts discover each other through the store.

mod admission;
mod assignment;
mod completion;
mod core;
mod evacuation;
mod forward_notice;
mod front;
mod hosts;
mod job;
mod job_log;
mod job_state;
mod lag;
mod leases;
mod metrics;
mod msg;
mod ownership;
mod placement;
mod read_share;
mod route_table;
mod scheduler;
mod workers;

pub use admission::forecast::{Ahead, Demand, Grounds, Snapshot, Verdict, delay_class};
pub use admission::queue::{Queue, QueueKey, SizeClass};
pub use admission::share::Shares;
pub use core::{Fleet, FleetEffect, FleetEvent, FleetSetup};
pub use evacuation::EvacuationState;
pub use forward_notice::{ForwardNotice, ForwardStep};
pub use hosts::config_lag::ConfigLag;
pub use hosts::membership::HostEntry;
pub use job::{Job, JobEnd, Reason, Step};
pub use leases::{Leases, LostOwner};
pub use metrics::{Count, Gauge, Span};
pub(crate) use msg::NOTICE_VERSION;
pub use msg::{
    DirectTransfer, HostReport, JobCrashes, JobMsg, ServiceCapacity, TaskCrashes, WorkerLoss,
};
pub use ownership::pools::{HOST_KEY_PREFIX, POOL_KEY_PREFIX};
pub use ownership::role::PoolRole;
pub use placement::matching::{
    Conditions, NoMatch, Reservation, RunView, TaskView, UsualRange, UsualSizes, WorkerView,
    choose_worker, reserve_worker,
};
pub use placement::round::Round;
pub use placement::stalls::{AwaitedRun, Prospect};
pub use placement::zone_choice::{
    HomeZone, JobShape, OtherZone, StayReason, ZoneVerdict, choose_zone,
};
pub use placement::zone_figures::{ZoneChoice, ZoneFigures, ZoneLayout};
pub use read_share::{ReadShare, operator_watch_ms};
pub use route_table::{Limits, Route, RouteTable, ServiceLimits};
pub use workers::call::{WorkerCall, worker_call_deadline};
pub use workers::capacity::{CapacitySource, CapacityUse, WorkerCapacity};
pub use workers::crash_evidence::{CrashEvidence, CrashVerdict, LostWorker, TaskKey};
pub use workers::protocol::{
    CallError, EndRecord, RenewReply, RenewRequest, RunEnd, RunStatus, StartRequest, StartResult,
    StopRequest, WorkerEntry,
};
