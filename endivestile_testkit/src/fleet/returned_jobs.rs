//! Frames of a host that returns every job of another host.

use endivestile_kernel::fleet::{JobEnd, JobMsg, Reason};
use endivestile_kernel::{Frame, Msg};

/// Retry delay that a host without capacity reports, in milliseconds.
const NO_ROOM_RETRY_MS: u64 = 2_000;

/// Replaces the jobs in a frame by cancellations, which their receiver answers with an end: a host
/// that returns its jobs takes none of them.
pub(crate) fn refuse_jobs(mut frame: Frame) -> Frame {
    for msg in &mut frame.msgs {
        if let Msg::Job(JobMsg::Submit { serial, .. }) = msg {
            *msg = Msg::Job(JobMsg::Cancel { serial: *serial });
        }
    }
    frame
}

/// Replaces the ends of those cancellations by the end of a job that does not fit the capacity.
pub(crate) fn report_no_room(mut frame: Frame) -> Frame {
    for msg in &mut frame.msgs {
        if let Msg::Job(JobMsg::Ended { end, .. }) = msg
            && *end == JobEnd::Lost(Reason::Cancelled)
        {
            let retry = frame.sent.after_ms(NO_ROOM_RETRY_MS);
            *end = JobEnd::NotRun { reason: Reason::NoRoom, retry };
        }
    }
    frame
}
