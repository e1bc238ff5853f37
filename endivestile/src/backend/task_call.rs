//! One call to a back end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use endivestile_config::model::Name;
use endivestile_kernel::{AttemptEnd, AttemptId, Need, PlaceRequest, Target};
use endivestile_wire::call::{DEADLINE_HEADER, LEASE_HEADER, NOT_RUN_HEADER, TASK_HEADER};
use ureq::http::Response;
use ureq::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ureq::{Body, Error};

use super::calls::CallContext;
use crate::thread_pool::Work;

/// Path on which workers take tasks.
const WORKER_PATH: &str = "/v1/run";
/// Header with the processor time that a worker sets aside, in thousandths of a core.
const CPU_HEADER: &str = "Cpu-Milli";
/// Header with the memory that a worker sets aside, in MiB.
const MEMORY_HEADER: &str = "Memory-Mb";
/// Header with the accelerators that a worker sets aside.
const ACCELERATOR_HEADER: &str = "Accelerators";
/// Longest body of an error status that is read to keep the connection, in bytes.
const DISCARDED: u64 = 64 << 10;

/// A task on its way to a back end.
#[derive(Debug)]
pub(crate) struct TaskCall {
    /// Number of the call.
    pub(crate) attempt: AttemptId,
    /// Address of the back end.
    pub(crate) address: Name,
    /// Path to call; empty for a worker.
    pub(crate) path: Name,
    /// The order.
    pub(crate) request: PlaceRequest,
}

impl TaskCall {
    /// Returns whether a worker runs it.
    pub(crate) fn is_worker(&self) -> bool {
        self.path.is_empty()
    }

    /// Makes the call and says how it ended.
    fn end(&self, context: &CallContext) -> AttemptEnd {
        let left = self.request.deadline.since(context.clock.now());
        if left.is_zero() {
            // It waited for a thread until its deadline and nothing was sent:
            // no fault of the back end, which therefore is not called out of reach.
            log::warn!("event=no_thread step=start-task peer={}", self.address);
            return AttemptEnd::Busy;
        }
        match self.send(context, left) {
            Ok(response) => self.read(context, response),
            Err(Error::ConnectionFailed) => AttemptEnd::Unreachable,
            Err(e) => self.lost(&e.to_string()),
        }
    }

    /// Sends the task; every error but a missing connection leaves open whether it runs.
    fn send(&self, context: &CallContext, left: Duration) -> Result<Response<Body>, Error> {
        let path = if self.is_worker() { WORKER_PATH } else { &self.path };
        let left_ms = left.as_millis().max(1).to_string();
        let mut call = context
            .clients
            .get(&self.address)
            .post(format!("http://{}{path}", self.address))
            .header(TASK_HEADER, context.task_key(self.attempt))
            .header(DEADLINE_HEADER, &left_ms);
        if let Target::Need(need) = &self.request.task.target {
            call = call.header(LEASE_HEADER, &left_ms);
            for (name, value) in amounts(need) {
                call = call.header(name, value);
            }
        }
        let call = call.config().timeout_global(Some(left)).build();
        call.send(self.request.task.work.as_ref())
    }

    /// Reads the answer to its end.
    fn read(&self, context: &CallContext, mut response: Response<Body>) -> AttemptEnd {
        let status = response.status().as_u16();
        if status != 200 {
            let end = refusal(status, &response);
            let _ = response.body_mut().with_config().limit(DISCARDED).read_to_vec();
            return end;
        }
        if !is_framed(&response) {
            // Such an answer ends where the connection ends, so half of it
            // looks whole, and a caller would get a cut answer as complete.
            return self.lost("neither Content-Length nor chunks");
        }
        match response.body_mut().with_config().limit(context.answer_limit).read_to_vec() {
            Ok(body) => AttemptEnd::Answered(Bytes::from(body)),
            Err(e) => self.lost(&e.to_string()),
        }
    }

    /// The task may have run and its answer is gone.
    fn lost(&self, reason: &str) -> AttemptEnd {
        log::debug!("event=answer_lost step=call peer={} error={reason:?}", self.address);
        AttemptEnd::Lost
    }
}

impl Work for TaskCall {
    type Env = Arc<CallContext>;

    fn perform(self, context: &Arc<CallContext>) {
        if !context.is_open(self.attempt) {
            return;
        }
        let ending = Ending { context, attempt: self.attempt, end: AttemptEnd::Lost };
        ending.close(self.end(context));
    }
}

/// Ends the call as lost if its thread panics; the kernel would wait for ever otherwise.
struct Ending<'a> {
    /// What all calls share.
    context: &'a CallContext,
    /// Number of the call.
    attempt: AttemptId,
    /// How it ends.
    end: AttemptEnd,
}

impl Ending<'_> {
    /// Ends the call.
    fn close(mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for Ending<'_> {
    fn drop(&mut self) {
        self.context.finish(self.attempt, std::mem::replace(&mut self.end, AttemptEnd::Lost));
    }
}

/// Returns what a worker sets aside.
fn amounts(need: &Need) -> [(&'static str, String); 3] {
    [
        (CPU_HEADER, need.cpu_milli.to_string()),
        (MEMORY_HEADER, need.memory_mb.to_string()),
        (ACCELERATOR_HEADER, need.accelerators.to_string()),
    ]
}

/// Reads an error status; only a status of overload with the header says that nothing ran.
fn refusal(status: u16, response: &Response<Body>) -> AttemptEnd {
    let word = response.headers().get(NOT_RUN_HEADER).and_then(|word| word.to_str().ok());
    match (status, word) {
        (429 | 503, Some("busy")) => AttemptEnd::Busy,
        (429 | 503, Some("leaving")) => AttemptEnd::Leaving,
        _ => AttemptEnd::Rejected(status),
    }
}

/// Returns whether the end of the body can be told from a cut.
fn is_framed(response: &Response<Body>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
