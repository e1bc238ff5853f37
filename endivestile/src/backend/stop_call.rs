//! A call that stops a task at a worker.

use std::sync::Arc;
use std::time::Duration;

use endivestile_config::model::Name;
use endivestile_kernel::AttemptId;

use super::calls::CallContext;
use crate::thread_pool::Work;

/// Timeout of the call, in milliseconds. If it fails, the lease ends the task.
const STOP_TIMEOUT_MS: u64 = 2_000;

/// A call that stops a task.
#[derive(Debug)]
pub(crate) struct StopCall {
    /// The attempt that started the task.
    pub(crate) attempt: AttemptId,
    /// Address of the worker.
    pub(crate) address: Name,
}

impl Work for StopCall {
    type Env = Arc<CallContext>;

    fn perform(self, context: &Arc<CallContext>) {
        let url = format!("http://{}/v1/tasks/{}", self.address, context.task_key(self.attempt));
        let call = context.clients.get(&self.address).delete(&url).config();
        let call = call.timeout_global(Some(Duration::from_millis(STOP_TIMEOUT_MS))).build();
        if let Err(e) = call.call() {
            log::debug!(
                "event=stop_failed step=stop-task peer={} error={:?}",
                self.address,
                e.to_string()
            );
        }
    }
}
