//! Calls to workers, and by when they have to be answered.

use crate::Time;
use crate::fleet::workers::worker::{HoldOrder, StartOrder, StopOrder};

/// Time for the answer to a hold beyond that wait, in milliseconds; a
/// connection that has gone silent costs one renewal and no lease.
pub(crate) const HOLD_SLACK_MS: u64 = 120;
/// Time for the answer to a start or stop, in milliseconds: fifty round trips
/// between zones.
pub(crate) const ORDER_MS: u64 = 100;

/// A call to the worker that is to be made now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Start a task.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Renew the lease and look.
    Hold(u64, HoldOrder),
}

/// Returns by when a call has to be answered.
pub fn due(call: &Call, now: Time) -> Time {
    match call {
        Call::Hold(_, order) => now.after_ms(u64::from(order.wait) + HOLD_SLACK_MS),
        Call::Start(_) | Call::Stop(_) => now.after_ms(ORDER_MS),
    }
}
