//! Calls to workers, and by when they have to be answered.

use crate::Time;
use crate::fleet::workers::protocol::{RenewRequest, StartRequest, StopRequest};

/// Time for the answer to a hold beyond that wait, in milliseconds; a
/// connection that has gone silent costs one renewal and no lease.
pub(crate) const RENEW_MARGIN_MS: u64 = 120;
/// Time for the answer to a start or stop, in milliseconds: fifty round trips
/// between zones.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 100;

/// A call to the worker that is to be made now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// Start a task.
    Start(StartRequest),
    /// Stop a run.
    Stop(StopRequest),
    /// Renew the lease and look.
    Renew(u64, RenewRequest),
}

/// Returns by when a call has to be answered.
pub fn worker_call_deadline(call: &WorkerCall, now: Time) -> Time {
    match call {
        WorkerCall::Renew(_, order) => now.after_ms(u64::from(order.wait_ms) + RENEW_MARGIN_MS),
        WorkerCall::Start(_) | WorkerCall::Stop(_) => now.after_ms(REQUEST_TIMEOUT_MS),
    }
}
