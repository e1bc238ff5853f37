//! Tells a worker to stop a task.

use std::sync::Arc;
use std::time::Duration;

use endivestile_config::model::Name;
use endivestile_kernel::AttemptId;

use super::calls::Env;
use crate::thread_pool::Work;

/// Longest time for the call, in milliseconds; the lease ends the task anyway.
const STOP_MS: u64 = 2_000;

/// A task to stop.
#[derive(Debug)]
pub(crate) struct Stop {
    /// Its call.
    pub(crate) attempt: AttemptId,
    /// The worker.
    pub(crate) address: Name,
}

impl Work for Stop {
    type Env = Arc<Env>;

    fn perform(self, env: &Arc<Env>) {
        let url = format!("http://{}/v1/tasks/{}", self.address, env.key(self.attempt));
        let call = env.agents.get(&self.address).delete(&url).config();
        let call = call.timeout_global(Some(Duration::from_millis(STOP_MS))).build();
        if let Err(e) = call.call() {
            log::debug!(
                "event=stop_failed step=stop-task peer={} error={:?}",
                self.address,
                e.to_string()
            );
        }
    }
}
