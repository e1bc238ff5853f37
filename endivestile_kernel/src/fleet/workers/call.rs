//! Calls to workers and their timeouts.

use crate::Time;
use crate::fleet::workers::protocol::{RenewRequest, StartRequest, StopRequest};

/// Time for the reply to a lease renewal beyond the wait that it asks for, in milliseconds.
/// Short enough that a dead connection costs one renewal and not the lease.
pub(crate) const RENEW_MARGIN_MS: u64 = 120;
/// Time for the reply to a start or stop, in milliseconds: fifty round trips between zones.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 100;

/// A call to a worker, to be sent now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// Start a task.
    Start(StartRequest),
    /// Stop a run.
    Stop(StopRequest),
    /// Renew the lease and list the runs; the number identifies the reply.
    Renew(u64, RenewRequest),
}

/// Returns when a call that is sent now times out.
pub fn worker_call_deadline(call: &WorkerCall, now: Time) -> Time {
    match call {
        WorkerCall::Renew(_, request) => now.after_ms(u64::from(request.wait_ms) + RENEW_MARGIN_MS),
        WorkerCall::Start(_) | WorkerCall::Stop(_) => now.after_ms(REQUEST_TIMEOUT_MS),
    }
}
