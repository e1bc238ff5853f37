//! The thread that runs the links between hosts and the calls to the store.

use std::thread;

use tokio::runtime::{Builder, Handle};

use crate::error::RunError;

/// A single-threaded runtime in a background thread; tasks on it must not block.
#[derive(Debug)]
pub(crate) struct NetRuntime {
    /// Handle of the runtime.
    handle: Handle,
}

impl NetRuntime {
    /// Starts the thread.
    pub(crate) fn start() -> Result<Self, RunError> {
        let failed = |source| RunError::Thread { step: "start-net", source };
        let runtime = Builder::new_current_thread().enable_all().build().map_err(failed)?;
        let handle = runtime.handle().clone();
        let thread = thread::Builder::new().name("net".to_owned());
        thread.spawn(move || runtime.block_on(std::future::pending::<()>())).map_err(failed)?;
        Ok(Self { handle })
    }

    /// Returns the handle that starts tasks on the thread.
    pub(crate) fn handle(&self) -> &Handle {
        &self.handle
    }
}
