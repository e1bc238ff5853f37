//! A call that sends a task to a backend.

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

/// Path at which workers accept tasks.
const WORKER_PATH: &str = "/v1/run";
/// Header with the processor share that a worker reserves, in thousandths of a core.
const CPU_HEADER: &str = "Cpu-Milli";
/// Header with the memory that a worker reserves, in MiB.
const MEMORY_HEADER: &str = "Memory-Mb";
/// Header with the number of accelerators that a worker reserves.
const ACCELERATOR_HEADER: &str = "Accelerators";
/// Longest body of an error response, in bytes, that is read to reuse the connection.
const MAX_DISCARDED_BYTES: u64 = 64 << 10;

/// A call that sends a task to a backend.
#[derive(Debug)]
pub(crate) struct TaskCall {
    /// The attempt to run the task.
    pub(crate) attempt: AttemptId,
    /// Address of the backend.
    pub(crate) address: Name,
    /// Path to call; empty for a worker.
    pub(crate) path: Name,
    /// The task with its deadline.
    pub(crate) request: PlaceRequest,
}

impl TaskCall {
    /// Returns whether the backend is a worker.
    pub(crate) fn is_worker(&self) -> bool {
        self.path.is_empty()
    }

    /// Makes the call and returns its outcome.
    fn execute(&self, context: &CallContext) -> AttemptEnd {
        let remaining = self.request.deadline.since(context.clock.now());
        if remaining.is_zero() {
            // The call waited for a thread until its deadline and sent nothing.
            // The backend is not at fault and not reported as unreachable.
            log::warn!("event=no_thread step=start-task peer={}", self.address);
            return AttemptEnd::Busy;
        }
        match self.send(context, remaining) {
            Ok(response) => self.read(context, response),
            Err(Error::ConnectionFailed) => AttemptEnd::Unreachable,
            Err(e) => self.lost(&e.to_string()),
        }
    }

    /// Sends the task. After any error but `ConnectionFailed` the task may be running.
    fn send(&self, context: &CallContext, remaining: Duration) -> Result<Response<Body>, Error> {
        let path = if self.is_worker() { WORKER_PATH } else { &self.path };
        let remaining_ms = remaining.as_millis().max(1).to_string();
        let mut call = context
            .clients
            .get(&self.address)
            .post(format!("http://{}{path}", self.address))
            .header(TASK_HEADER, context.task_key(self.attempt))
            .header(DEADLINE_HEADER, &remaining_ms);
        if let Target::Need(need) = &self.request.task.target {
            call = call.header(LEASE_HEADER, &remaining_ms);
            for (name, value) in resource_headers(need) {
                call = call.header(name, value);
            }
        }
        let call = call.config().timeout_global(Some(remaining)).build();
        call.send(self.request.task.work.as_ref())
    }

    /// Reads the response to its end.
    fn read(&self, context: &CallContext, mut response: Response<Body>) -> AttemptEnd {
        let status = response.status().as_u16();
        if status != 200 {
            let end = classify_error(status, &response);
            let _ = response.body_mut().with_config().limit(MAX_DISCARDED_BYTES).read_to_vec();
            return end;
        }
        if !is_delimited(&response) {
            // Such a body ends with the connection, so that a truncated answer
            // would look complete and be returned to the caller.
            return self.lost("the response has neither Content-Length nor chunked encoding");
        }
        match response.body_mut().with_config().limit(context.answer_limit).read_to_vec() {
            Ok(body) => AttemptEnd::Answered(Bytes::from(body)),
            Err(e) => self.lost(&e.to_string()),
        }
    }

    /// Logs the reason why the answer was lost; the task may have run.
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
        let guard = CallGuard { context, attempt: self.attempt, end: AttemptEnd::Lost };
        guard.complete(self.execute(context));
    }
}

/// Ends the call as lost if its thread panics; otherwise the kernel would wait forever.
struct CallGuard<'a> {
    /// State shared by all calls.
    context: &'a CallContext,
    /// The attempt to run the task.
    attempt: AttemptId,
    /// Outcome of the call.
    end: AttemptEnd,
}

impl CallGuard<'_> {
    /// Ends the call with its outcome.
    fn complete(mut self, end: AttemptEnd) {
        self.end = end;
    }
}

impl Drop for CallGuard<'_> {
    fn drop(&mut self) {
        self.context.finish(self.attempt, std::mem::replace(&mut self.end, AttemptEnd::Lost));
    }
}

/// Returns the headers with the resources that a worker reserves.
fn resource_headers(need: &Need) -> [(&'static str, String); 3] {
    [
        (CPU_HEADER, need.cpu_milli.to_string()),
        (MEMORY_HEADER, need.memory_mb.to_string()),
        (ACCELERATOR_HEADER, need.accelerators.to_string()),
    ]
}

/// Classifies an error response. The task did not run only if an overload status
/// comes with the not-run header.
fn classify_error(status: u16, response: &Response<Body>) -> AttemptEnd {
    let not_run = response.headers().get(NOT_RUN_HEADER).and_then(|raw| raw.to_str().ok());
    match (status, not_run) {
        (429 | 503, Some("busy")) => AttemptEnd::Busy,
        (429 | 503, Some("leaving")) => AttemptEnd::Leaving,
        _ => AttemptEnd::Rejected(status),
    }
}

/// Returns whether a truncated body can be detected.
fn is_delimited(response: &Response<Body>) -> bool {
    let headers = response.headers();
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}
